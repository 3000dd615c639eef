package backend

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Ledger is a copy of what a server has seen since it was made, across
// restarts.
type Ledger struct {
	ID                 string         `json:"id"`
	Service            string         `json:"service"`
	Runs               map[string]int `json:"runs"`   // per order ID
	Starts             []time.Time    `json:"starts"` // of requests, in order
	Sheds              int            `json:"sheds"`
	Aborted            int            `json:"aborted"` // started, but cancelled or past the deadline
	OverCapacityStarts int            `json:"over_capacity_starts"`
	Restarts           int            `json:"restarts"`
	LastStart          time.Time      `json:"last_start"` // of a request or feed
	FeedsOpen          int            `json:"feeds_open"`
	FeedsStarted       int            `json:"feeds_started"`
	InProgress         int            `json:"in_progress"`

	changes []change
	takenAt time.Time
}

// change is the number of requests in progress from one instant on, and the
// integral of that number up to the instant, in requests times seconds.
type change struct {
	at       time.Time
	value    int
	integral float64
}

type ledger struct {
	runs         map[string]int
	starts       []time.Time
	sheds        int
	aborted      int
	overCapacity int
	restarts     int
	lastStart    time.Time
	feedsOpen    int
	feedsStarted int
	changes      []change
}

func newLedger() ledger {
	return ledger{runs: map[string]int{}, changes: []change{{at: time.Now()}}}
}

// observe records the number of requests in progress from now on.
func (l *ledger) observe(now time.Time, value int) {
	last := l.changes[len(l.changes)-1]
	l.changes = append(l.changes, change{now, value, last.upTo(now)})
}

func (c change) upTo(at time.Time) float64 {
	return c.integral + float64(c.value)*at.Sub(c.at).Seconds()
}

// Ledger returns a copy of the ledger.
func (s *Server) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.ledger
	return Ledger{
		ID: s.opts.ID, Service: s.opts.Service,
		Runs: maps.Clone(l.runs), Starts: slices.Clone(l.starts),
		Sheds: l.sheds, Aborted: l.aborted, OverCapacityStarts: l.overCapacity,
		Restarts: l.restarts, LastStart: l.lastStart,
		FeedsOpen: l.feedsOpen, FeedsStarted: l.feedsStarted, InProgress: s.inProgress,
		changes: slices.Clone(l.changes), takenAt: time.Now(),
	}
}

// InProgressAverage returns the time average of requests in progress in the
// window. The part of the window outside the ledger's life is left out; an
// empty window gives 0.
func (l Ledger) InProgressAverage(from, to time.Time) float64 {
	if len(l.changes) == 0 {
		return 0
	}
	if from.Before(l.changes[0].at) {
		from = l.changes[0].at
	}
	if to.After(l.takenAt) {
		to = l.takenAt
	}
	if !from.Before(to) {
		return 0
	}
	return (l.integralAt(to) - l.integralAt(from)) / to.Sub(from).Seconds()
}

func (l Ledger) integralAt(at time.Time) float64 {
	i := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].at.After(at) })
	return l.changes[max(i-1, 0)].upTo(at)
}
