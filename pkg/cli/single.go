package cli

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/operators/change"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
)

// applyChange makes one planned change, effective at once if c has no time.
func (e *Env) applyChange(ctx context.Context, c sheet.Change, w WaitFlags) error {
	if err := w.check(e); err != nil {
		return err
	}
	editor, err := e.Editor()
	if err != nil {
		return err
	}
	if !c.At.IsZero() && c.At.Before(editor.Now()) {
		return errkind.Errorf(errkind.SettingInvalid, "--at: %s is in the past; leave it out to act now", c.At.Format(time.RFC3339))
	}
	edit := change.Planned(c)
	if c.At.IsZero() {
		edit = change.Immediate(c, editor.Now)
	}
	result, err := editor.Apply(ctx, edit)
	if err != nil {
		return err
	}
	e.printResult(result)
	return w.wait(ctx, e, result)
}

// printResult prints what an edit changed and which generation was accepted.
func (e *Env) printResult(r change.Result) {
	generation := sheet.CopyConfig(r.Config).Generation
	e.printDifference(r.Difference, generation)
	if len(r.Difference) == 0 {
		return
	}
	if r.ReadBack {
		e.Printf("the answer was lost; the change was found accepted by reading back\n")
	}
	e.Printf("generation %d accepted at %s\n", generation, r.Config.AcceptedAt.Format(time.RFC3339))
}
