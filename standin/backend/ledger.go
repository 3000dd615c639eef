package backend

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Ledger holds counts and times of a server since New, across restarts.
type Ledger struct {
	ID                 string         `json:"id"`
	Service            string         `json:"service"`
	Runs               map[string]int `json:"runs"`   // number of runs by order ID
	Starts             []time.Time    `json:"starts"` // start times of requests and feeds, in order
	Sheds              int            `json:"sheds"`
	Aborted            int            `json:"aborted"` // started, but cancelled or past the deadline
	OverCapacityStarts int            `json:"over_capacity_starts"`
	Restarts           int            `json:"restarts"`
	LastStart          time.Time      `json:"last_start"` // last of Starts, or zero
	FeedsOpen          int            `json:"feeds_open"`
	FeedsStarted       int            `json:"feeds_started"`
	InProgress         int            `json:"in_progress"`

	changes  []inProgressChange
	copiedAt time.Time
}

// inProgressChange is a change of the number of requests in progress, with the
// integral of that number over time until the change, in request-seconds.
type inProgressChange struct {
	at             time.Time
	count          int
	integralBefore float64
}

// ledgerState is the part of the ledger that is kept under the server's lock.
type ledgerState struct {
	runs               map[string]int
	starts             []time.Time
	sheds              int
	aborted            int
	overCapacityStarts int
	restarts           int
	lastStart          time.Time
	feedsOpen          int
	feedsStarted       int
	changes            []inProgressChange
}

func newLedgerState() ledgerState {
	return ledgerState{runs: map[string]int{}, changes: []inProgressChange{{at: time.Now()}}}
}

// recordInProgress records the number of requests in progress from now on.
func (l *ledgerState) recordInProgress(now time.Time, count int) {
	last := l.changes[len(l.changes)-1]
	l.changes = append(l.changes, inProgressChange{now, count, last.integralUpTo(now)})
}

// integralUpTo returns the integral until at, which must lie before the next
// change.
func (c inProgressChange) integralUpTo(at time.Time) float64 {
	return c.integralBefore + float64(c.count)*at.Sub(c.at).Seconds()
}

// Ledger returns a copy of the ledger at this time.
func (s *Server) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.ledger
	return Ledger{
		ID: s.opts.ID, Service: s.opts.Service,
		Runs: maps.Clone(l.runs), Starts: slices.Clone(l.starts),
		Sheds: l.sheds, Aborted: l.aborted, OverCapacityStarts: l.overCapacityStarts,
		Restarts: l.restarts, LastStart: l.lastStart,
		FeedsOpen: l.feedsOpen, FeedsStarted: l.feedsStarted, InProgress: s.inProgress,
		changes: slices.Clone(l.changes), copiedAt: time.Now(),
	}
}

// InProgressAverage returns the time average of the number of requests in
// progress in the window. Parts of the window before New or after the copy was
// made are left out. It returns 0 for an empty window.
func (l Ledger) InProgressAverage(from, to time.Time) float64 {
	if len(l.changes) == 0 {
		return 0
	}
	if from.Before(l.changes[0].at) {
		from = l.changes[0].at
	}
	if to.After(l.copiedAt) {
		to = l.copiedAt
	}
	if !from.Before(to) {
		return 0
	}
	return (l.integralAt(to) - l.integralAt(from)) / to.Sub(from).Seconds()
}

func (l Ledger) integralAt(at time.Time) float64 {
	i := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].at.After(at) })
	return l.changes[max(i-1, 0)].integralUpTo(at)
}
