package config

import (
	"slices"
	"time"
)

// Retention is how long a planned change stays in the configuration after it
// became due, whatever follows it. It keeps a day's changes for as long as the
// sheet that planned them is in use.
const Retention = 24 * time.Hour

// clockDifference is how far the clocks of two processes may differ.
const clockDifference = time.Second

// pruningPasses is how often Pruned drops what is settled: a join is settled
// once the leave before it is gone.
const pruningPasses = 2

// Pruned returns a copy of c without the settled changes; see Settled. The
// copy gives the same View as c at every instant from now on, and also from
// 1 s before. Changes that c's own generation accepted stay, so that an update
// whose answer was lost can be recognized by them.
func (c *Config) Pruned(now time.Time) *Config {
	if c == nil {
		return nil
	}
	next := *c
	next.Changes = slices.Clone(c.Changes)
	for range pruningPasses {
		settled := next.Settled(now)
		next.Changes = slices.DeleteFunc(next.Changes, func(ch PlannedChange) bool {
			return settled[ch.ID] && ch.Generation < c.Generation
		})
	}
	return &next
}

// Settled returns the IDs of the planned changes that no view depends on any
// more. A change that is due for longer than Retention is settled
//   - if a later change of its subject is due, too, or
//   - if it is a join, the only due change of its subject, and the next one is
//     not a join: a backend server without a due change serves anyway, unless
//     a join is ahead.
//
// A leave stays until a join follows it. Without it a backend server that
// returns under the same ID would come back into service unasked. What remains
// is therefore at most the changes planned or due within Retention, one leave
// for each backend server that left and did not join again, and one change for
// each failure domain, plus changes of one subject at the same instant.
func (c *Config) Settled(now time.Time) map[string]bool {
	v, horizon := c.View(c.passed(now)), c.Horizon(now)
	due := c.countDue(v.At)
	settled := map[string]bool{}
	for i := range c.Changes {
		ch := &c.Changes[i]
		if ch.At.After(horizon) {
			continue
		}
		d := v.deciding(ch)
		free := ch.Kind == Join && due[ch.Subject] == 1 && !d.joining()
		if free || ch.At.Before(d.due.At) {
			settled[ch.ID] = true
		}
	}
	return settled
}

// Horizon returns the latest time of a change that may be pruned at now.
func (c *Config) Horizon(now time.Time) time.Time {
	horizon, passed := now.Add(-Retention), c.passed(now)
	if passed.Before(horizon) {
		return passed
	}
	return horizon
}

// passed returns the latest time that every process has behind it. The clock
// that accepted c counts as well, so that one host whose clock is ahead cannot
// settle what others still have before them.
func (c *Config) passed(now time.Time) time.Time {
	if c.AcceptedAt.Before(now) {
		now = c.AcceptedAt
	}
	return now.Add(-clockDifference)
}

// countDue returns how many changes of each backend server are due at an
// instant.
func (c *Config) countDue(at time.Time) map[string]int {
	due := map[string]int{}
	for i := range c.Changes {
		if ch := &c.Changes[i]; !ch.ofDomain() && !ch.At.After(at) {
			due[ch.Subject]++
		}
	}
	return due
}
