package cli

import "context"

// SheetApplyCmd applies a sheet to the accepted configuration.
type SheetApplyCmd struct {
	File string `arg:"" help:"Sheet, CSV."`
	WaitFlags
}

// Run implements the command.
func (c *SheetApplyCmd) Run(ctx context.Context, env *Env) error {
	if err := c.check(env); err != nil {
		return err
	}
	s, err := env.readSheet(c.File)
	if err != nil {
		return err
	}
	editor, err := env.Editor()
	if err != nil {
		return err
	}
	result, err := editor.ApplySheet(ctx, s)
	if err != nil {
		return err
	}
	env.printResult(result)
	return c.wait(ctx, env, result)
}
