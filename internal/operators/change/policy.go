package change

import (
	"slices"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
)

// conflictPolicy decides whether an edit may continue when the configuration is
// newer than the generation that its author knows.
type conflictPolicy struct {
	conflict        errkind.Kind // of the error after a conflict with another update
	knownGeneration uint64       // newest generation that the edit takes into account, 0 for the first one read
}

// checkBase rejects an update that would revert changes that its author does not
// know.
func (p *conflictPolicy) checkBase(u update) error {
	if p.knownGeneration == 0 {
		p.knownGeneration = u.base.generation()
	}
	if p.knownGeneration >= u.base.generation() {
		return nil
	}
	return p.staleError(u)
}

// staleError returns an error if the update conflicts with generations accepted
// after the known one: it would remove or change an accepted entry, or it plans
// a change for a subject that has got a planned change since. The known
// generation is no longer stored anywhere, so every entry that the update
// removes or changes counts as changed since.
func (p *conflictPolicy) staleError(u update) error {
	addedSince := sheet.Diff(nil, &config.Config{Changes: p.changesAcceptedSince(u.base.config)})
	touched := u.difference.WithSubjectsOf(addedSince)
	relevant := slices.DeleteFunc(slices.Clone(u.difference), func(e sheet.Entry) bool {
		return e.Action == sheet.Added && !slices.Contains(touched, e)
	})
	if len(relevant) == 0 {
		return nil
	}
	return errkind.Errorf(errkind.SheetStale,
		"made on generation %d, but generation %d is accepted; nothing was changed\nthe sheet would change:\n%s%s",
		p.knownGeneration, u.base.generation(), relevant, formatSection("planned changes accepted since:", addedSince))
}

func (p *conflictPolicy) changesAcceptedSince(c *config.Config) []config.PlannedChange {
	return slices.DeleteFunc(slices.Clone(c.Changes), func(have config.PlannedChange) bool {
		return have.Generation <= p.knownGeneration
	})
}

// withoutPruned returns a copy of old without the due changes that next does not
// contain. Only pruning removes a due change, so their absence was not requested
// by another operator and must not count as a conflict.
func withoutPruned(old, next *config.Config) *config.Config {
	kept := sheet.CopyConfig(old)
	keptIDs := map[string]bool{}
	for _, c := range next.Changes {
		keptIDs[c.ID] = true
	}
	kept.Changes = slices.DeleteFunc(kept.Changes, func(c config.PlannedChange) bool {
		return !keptIDs[c.ID] && !c.At.After(next.AcceptedAt)
	})
	return kept
}

func formatSection(title string, d sheet.Difference) string {
	if len(d) == 0 {
		return ""
	}
	return "\n" + title + "\n" + d.String()
}

// checkRetry decides, after another update was accepted first, whether the edit
// may be derived again from the newer configuration. It may if the other update
// made the same changes, or if both change different subjects. The changes that
// the edit would make to the newer configuration count as well, because a sheet
// lists more than it changes and would revert the other update.
func (p *conflictPolicy) checkRetry(u update, out outcome, edit Edit) error {
	p.knownGeneration = out.current.generation()
	retried, err := edit(out.current.config)
	if err != nil {
		return err
	}
	remaining := sheet.Diff(out.current.config, retried)
	if len(remaining) == 0 {
		return nil
	}
	otherDifference := sheet.Diff(withoutPruned(u.base.config, out.current.config), out.current.config)
	if out.ambiguous {
		return errkind.Errorf(errkind.OutcomeUnread,
			"the answer was lost and generation %d does not show whether the change was part of it; accepted meanwhile:\n%s",
			out.current.generation(), otherDifference)
	}
	overlap := otherDifference.WithSubjectsOf(append(remaining, u.difference...))
	if len(overlap) == 0 {
		return nil
	}
	return errkind.Errorf(p.conflict,
		"another operator's generation %d came first; nothing was changed\nthe other changed:\n%s\nrefused:\n%s",
		out.current.generation(), overlap, u.difference)
}
