package cli

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/errkind"
)

// SheetApplyCmd makes a sheet the accepted configuration.
type SheetApplyCmd struct {
	File        string        `arg:"" help:"Sheet, CSV."`
	Wait        bool          `help:"Wait until the generation is in force everywhere."`
	WaitTimeout time.Duration `help:"Longest wait with --wait, with its unit." default:"11s" env:"KNAPWEEDPIER_WAIT_TIMEOUT"`
}

// Run implements the command.
func (c *SheetApplyCmd) Run(ctx context.Context, env *Env) error {
	if c.Wait && env.InForce == nil {
		return errkind.New(errkind.SettingInvalid,
			"--wait: this program cannot ask the processes which generation is in force; nothing was applied")
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
	if !c.Wait || result.Config == nil {
		return nil
	}
	return env.waitInForce(ctx, result.Config.Generation, c.WaitTimeout)
}
