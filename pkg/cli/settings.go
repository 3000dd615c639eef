package cli

import "github.com/knapweedpier/knapweedpier/internal/base/settings"

// Settings are the flags that all commands share.
type Settings = settings.Operator
