package cli

import (
	"context"

	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
)

// BackendLeaveCmd drains a backend server at once.
type BackendLeaveCmd struct {
	Name    string `arg:"" help:"Backend server."`
	Service string `required:"" help:"Service of the backend server."`
	WaitFlags
}

// Run implements the command.
func (c *BackendLeaveCmd) Run(ctx context.Context, env *Env) error {
	return env.applyChange(ctx, sheet.Change{Kind: config.Leave, Subject: c.Name, Service: c.Service}, c.WaitFlags)
}
