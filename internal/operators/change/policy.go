package change

import (
	"slices"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
)

// policy decides whether an edit may go on when the configuration is newer
// than its author knows.
type policy struct {
	conflict errkind.Kind // of the error when a race was lost
	known    uint64       // newest generation that the edit takes into account, 0: the first one read
}

// allow refuses an update that would take back what its author does not know.
func (p *policy) allow(u update) error {
	if p.known == 0 {
		p.known = u.base.generation()
	}
	if p.known >= u.base.generation() {
		return nil
	}
	return p.stale(u)
}

// stale returns an error when the difference between the known and the
// accepted generation matters: the update would remove or change something
// that is accepted, or plans a change for a subject that got a planned change
// since. The older generation itself is no longer held anywhere, so an entry
// that the update changes counts as changed since.
func (p *policy) stale(u update) error {
	since := sheet.Diff(nil, &config.Config{Changes: p.acceptedSince(u.base.config)})
	touched := u.difference.Touching(since)
	matters := slices.DeleteFunc(slices.Clone(u.difference), func(e sheet.Entry) bool {
		return e.Action == sheet.Added && !slices.Contains(touched, e)
	})
	if len(matters) == 0 {
		return nil
	}
	return errkind.Errorf(errkind.SheetStale,
		"made on generation %d, but generation %d is accepted; nothing was changed\nthe sheet would change:\n%s%s",
		p.known, u.base.generation(), matters, listed("planned changes accepted since:", since))
}

func (p *policy) acceptedSince(c *config.Config) []config.PlannedChange {
	return slices.DeleteFunc(slices.Clone(c.Changes), func(have config.PlannedChange) bool {
		return have.Generation <= p.known
	})
}

// withoutPruned returns a copy of old without the due changes that next does not
// hold. Only pruning removes a due change, so their absence is no decision of
// another operator and must not count as a conflict.
func withoutPruned(old, next *config.Config) *config.Config {
	kept := sheet.Copy(old)
	left := map[string]bool{}
	for _, c := range next.Changes {
		left[c.ID] = true
	}
	kept.Changes = slices.DeleteFunc(kept.Changes, func(c config.PlannedChange) bool {
		return !left[c.ID] && !c.At.After(next.AcceptedAt)
	})
	return kept
}

func listed(title string, d sheet.Difference) string {
	if len(d) == 0 {
		return ""
	}
	return "\n" + title + "\n" + d.String()
}

// merge decides after a lost race whether the edit may be derived again from
// the newer state: when the other update already did the same, or when both
// touch different subjects. What the edit would change in the newer state
// counts as well, because a sheet lists more than it changes and would take
// the other update back.
func (p *policy) merge(u update, out outcome, edit Edit) error {
	p.known = out.current.generation()
	again, err := edit(out.current.config)
	if err != nil {
		return err
	}
	left := sheet.Diff(out.current.config, again)
	if len(left) == 0 {
		return nil
	}
	theirs := sheet.Diff(withoutPruned(u.base.config, out.current.config), out.current.config)
	if out.ambiguous {
		return errkind.Errorf(errkind.OutcomeUnread,
			"the answer was lost and generation %d does not show whether the change was part of it; accepted meanwhile:\n%s",
			out.current.generation(), theirs)
	}
	overlap := theirs.Touching(append(left, u.difference...))
	if len(overlap) == 0 {
		return nil
	}
	return errkind.Errorf(p.conflict,
		"another operator's generation %d came first; nothing was changed\nthe other changed:\n%s\nrefused:\n%s",
		out.current.generation(), overlap, u.difference)
}
