package settings

import (
	"fmt"
	"strings"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Fault is one setting that was refused.
type Fault struct {
	Field  string // flag name without hyphens
	Reason string
}

// String names the flag, its environment variable and the reason.
func (f Fault) String() string {
	return fmt.Sprintf("--%s (%s): %s", f.Field, variable(f.Field), f.Reason)
}

// Faults is the error of a check: all refused settings in the order of the
// flags. It is the cause of a SettingInvalid error.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

func (fs *Faults) add(field, format string, args ...any) {
	*fs = append(*fs, Fault{field, fmt.Sprintf(format, args...)})
}

// err returns the SettingInvalid error for the faults, or nil.
func (fs Faults) err() error {
	if len(fs) == 0 {
		return nil
	}
	return errkind.Wrap(fs, errkind.SettingInvalid, "check settings")
}

// variable returns the environment variable of a flag.
func variable(field string) string {
	return "KNAPWEEDPIER_" + strings.ToUpper(strings.ReplaceAll(field, "-", "_"))
}
