package cli

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
)

// DomainBackCmd brings a failure domain back into service.
type DomainBackCmd struct {
	Name string    `arg:"" help:"Failure domain."`
	At   time.Time `help:"Effective time, RFC 3339; now if not given." placeholder:"TIME"`
	WaitFlags
}

// Run implements the command.
func (c *DomainBackCmd) Run(ctx context.Context, env *Env) error {
	return env.applyChange(ctx, sheet.Change{Kind: config.DomainBack, Subject: c.Name, At: c.At}, c.WaitFlags)
}
