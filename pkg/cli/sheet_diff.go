package cli

import (
	"context"

	"github.com/knapweedpier/knapweedpier/pkg/sheet"
)

// SheetDiffCmd shows what applying a sheet would change.
type SheetDiffCmd struct {
	File string `arg:"" help:"Sheet, CSV."`
}

// Run implements the command.
func (c *SheetDiffCmd) Run(ctx context.Context, env *Env) error {
	s, err := env.readSheet(c.File)
	if err != nil {
		return err
	}
	editor, err := env.Editor()
	if err != nil {
		return err
	}
	current, err := editor.Current(ctx)
	if err != nil {
		return err
	}
	next, err := s.Apply(current, editor.Now())
	if err != nil {
		return err
	}
	generation := sheet.CopyConfig(current).Generation
	if s.BaseGeneration > 0 && s.BaseGeneration < generation {
		env.Printf("the sheet was made on generation %d, generation %d is accepted\n", s.BaseGeneration, generation)
	}
	env.printDifference(sheet.Diff(current, next), generation)
	for _, name := range s.Unlisted(next, editor.Now()) {
		env.Printf("  kept, not in the sheet: %s\n", name)
	}
	return nil
}

func (e *Env) printDifference(d sheet.Difference, generation uint64) {
	if len(d) == 0 {
		e.Printf("nothing to change, generation %d is accepted\n", generation)
		return
	}
	e.Printf("%s\n", d)
}
