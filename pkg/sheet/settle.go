package sheet

import (
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Settle removes the planned changes that an edit added to next although they
// are settled; see config.Config.Settled. A sheet that lists a change which
// was pruned in the meantime therefore changes nothing when it is applied
// again. What was accepted before stays.
//
// An added leave that is old enough to have been pruned, and that no later
// change settles, is refused with a SheetStale error: nothing tells any more
// whether it is new or was followed by a join, so that adding it could take a
// backend server out of service, and dropping it could leave one in service.
func Settle(next *config.Config, now time.Time) error {
	for dropSettled(next, now) {
	}
	horizon := next.Horizon(now)
	for _, c := range next.Changes {
		if isNew(next, c) && c.Kind == config.Leave && !c.At.After(horizon) {
			return errkind.Errorf(errkind.SheetStale,
				"planned change %s is over %s past and is not among the accepted ones, which are kept for that long; give it a newer time or leave it out",
				changeEntry(c).Name, config.Retention)
		}
	}
	return nil
}

// dropSettled removes what is settled now and reports whether it found any.
// More can be settled after it: a join once the leave before it is gone.
func dropSettled(next *config.Config, now time.Time) bool {
	settled, before := next.Settled(now), len(next.Changes)
	next.Changes = slices.DeleteFunc(next.Changes, func(c config.PlannedChange) bool {
		return isNew(next, c) && settled[c.ID]
	})
	return len(next.Changes) < before
}

func isNew(next *config.Config, c config.PlannedChange) bool {
	return c.Generation > next.Generation
}
