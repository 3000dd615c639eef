package config

import (
	"slices"
	"time"
)

// ChangeRetention is the minimum time for which a planned change stays in the
// configuration after its effective time, even if it is obsolete, so that the
// changes of a day are kept while the sheet that planned them is in use.
const ChangeRetention = 24 * time.Hour

// maxClockDifference is the largest assumed difference between the clocks of
// two processes.
const maxClockDifference = time.Second

// pruningPasses is the number of passes in which Pruned removes obsolete
// changes: a join can become obsolete only once the leave before it is
// removed.
const pruningPasses = 2

// Pruned returns a copy of c without obsolete changes; see ObsoleteChanges.
// The copy has the same View as c at every instant from 1 s before now on.
// Changes that c's own generation accepted stay, so that an update whose
// response was lost can be recognized by them.
func (c *Config) Pruned(now time.Time) *Config {
	if c == nil {
		return nil
	}
	next := *c
	next.Changes = slices.Clone(c.Changes)
	for range pruningPasses {
		obsolete := next.ObsoleteChanges(now)
		next.Changes = slices.DeleteFunc(next.Changes, func(ch PlannedChange) bool {
			return obsolete[ch.ID] && ch.Generation < c.Generation
		})
	}
	return &next
}

// ObsoleteChanges returns the IDs of the planned changes that no longer affect
// any view. A change that has been due for at least ChangeRetention is
// obsolete
//   - if a later change of its subject is also due, or
//   - if it is a join, the only due change of its subject, and the next one is
//     not a join: a backend server without a due change may serve anyway, unless
//     a join is pending.
//
// A leave stays until a join follows it: without the leave, a backend server
// that restarts with the same ID would return to service although nobody
// planned it. The changes that remain are therefore at most those planned or
// due within ChangeRetention, one leave for each backend server that left and
// did not join again, and one change for each failure domain, plus changes of
// one subject at the same instant.
func (c *Config) ObsoleteChanges(now time.Time) map[string]bool {
	v, horizon := c.View(c.passedEverywhere(now)), c.PruneHorizon(now)
	due := c.countDueByBackend(v.At)
	obsolete := map[string]bool{}
	for i := range c.Changes {
		ch := &c.Changes[i]
		if ch.At.After(horizon) {
			continue
		}
		d := v.changesOf(ch)
		noEffect := ch.Kind == Join && due[ch.Subject] == 1 && !d.joinPending()
		if noEffect || ch.At.Before(d.latestDue.At) {
			obsolete[ch.ID] = true
		}
	}
	return obsolete
}

// PruneHorizon returns the latest effective time of changes that may be pruned
// at now.
func (c *Config) PruneHorizon(now time.Time) time.Time {
	horizon, passed := now.Add(-ChangeRetention), c.passedEverywhere(now)
	if passed.Before(horizon) {
		return passed
	}
	return horizon
}

// passedEverywhere returns the latest time that has passed on the clocks of
// all processes. It is bounded by the time at which c was accepted, so that
// one host with a fast clock cannot prune changes that are still pending on
// others.
func (c *Config) passedEverywhere(now time.Time) time.Time {
	if c.AcceptedAt.Before(now) {
		now = c.AcceptedAt
	}
	return now.Add(-maxClockDifference)
}

// countDueByBackend returns the number of due changes of each backend server
// at the given time.
func (c *Config) countDueByBackend(at time.Time) map[string]int {
	due := map[string]int{}
	for i := range c.Changes {
		if ch := &c.Changes[i]; !ch.isDomainChange() && !ch.At.After(at) {
			due[ch.Subject]++
		}
	}
	return due
}
