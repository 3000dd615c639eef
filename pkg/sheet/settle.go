package sheet

import (
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// RemoveObsoleteChanges removes from next the planned changes that the edit
// added although they are obsolete; see config.Config.ObsoleteChanges. Applying
// a sheet again that lists a change which was pruned in the meantime therefore
// changes nothing. Changes that were accepted before stay.
//
// An added leave that is old enough to have been pruned, and that no later
// change makes obsolete, is refused with a SheetStale error: it can no longer
// be determined whether it is new or was followed by a join. Adding it could
// take a backend server out of service, and dropping it could leave one in
// service.
func RemoveObsoleteChanges(next *config.Config, now time.Time) error {
	for dropObsolete(next, now) {
	}
	horizon := next.PruneHorizon(now)
	for _, c := range next.Changes {
		if isAddedByEdit(next, c) && c.Kind == config.Leave && !c.At.After(horizon) {
			return errkind.Errorf(errkind.SheetStale,
				"planned change %s is over %s past and is not among the accepted ones, which are kept for that long; give it a newer time or leave it out",
				changeEntry(c).Name, config.ChangeRetention)
		}
	}
	return nil
}

// dropObsolete removes the added changes that are obsolete at now and reports
// whether there were any. Removing one can make another obsolete: a join, once
// the leave before it is removed.
func dropObsolete(next *config.Config, now time.Time) bool {
	obsolete, before := next.ObsoleteChanges(now), len(next.Changes)
	next.Changes = slices.DeleteFunc(next.Changes, func(c config.PlannedChange) bool {
		return isAddedByEdit(next, c) && obsolete[c.ID]
	})
	return len(next.Changes) < before
}

// isAddedByEdit reports whether c carries a generation after next's, which is
// still the generation that the edit was made on.
func isAddedByEdit(next *config.Config, c config.PlannedChange) bool {
	return c.Generation > next.Generation
}
