// Package quickstart runs all roles in one process under load, makes the
// planned changes of a small fleet, and joins the ledgers of callers and
// backend servers into one summary.
//
// Joining and planning are pure; Run drives a Fleet.
package quickstart

import (
	"time"

	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// Interval is a time from From until before To. A zero To has no end.
type Interval struct {
	From, To time.Time
}

func (i Interval) contains(t time.Time) bool {
	return !t.Before(i.From) && (i.To.IsZero() || t.Before(i.To))
}

func (i Interval) covers(o Interval) bool {
	return !o.From.Before(i.From) && (i.To.IsZero() || !o.To.After(i.To))
}

func (i Interval) overlaps(o Interval) bool {
	return (i.To.IsZero() || o.From.Before(i.To)) && (o.To.IsZero() || i.From.Before(o.To))
}

// Backend is the ledger of one backend server.
type Backend struct {
	ID, Service, Domain string
	Runs                map[string]int // per order ID
	Starts              []time.Time    // of requests, in order
	Warm                []Interval     // in which it bears its full load
	OverCapacityStarts  int
	// InProgressAverage returns the time average of requests in progress.
	InProgressAverage func(from, to time.Time) float64
}

// DomainOut is one time during which a failure domain was out.
type DomainOut struct {
	Domain     string
	During     Interval  // from the effective time until it was back
	LastPacket time.Time // last packet to or from the domain while it was out; zero if there was none
}

// Leave is the planned departure of a backend server.
type Leave struct {
	Backend   string
	Effective time.Time
}

// InForce says when a process put a change in force.
type InForce struct {
	Change, Process     string
	Accepted, Effective time.Time // Effective is zero for a change without a planned time
	At                  time.Time // zero if the process never did while it ran
}

// Ledgers is everything that a summary is computed from.
type Ledgers struct {
	Measured Interval // in which imbalance is measured; has an end
	Callers  caller.Ledger
	Backends []Backend
	Outs     []DomainOut
	Leaves   []Leave
	InForce  []InForce
	Reverts  int // times that a process put an older generation in force
}
