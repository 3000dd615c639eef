// Package quickstart runs a small fleet under load, makes planned changes to it,
// and computes one summary from the ledgers of callers and backend servers.
//
// MakePlan and Summarize are pure: they use no clock, network or goroutines. Run
// drives a Fleet, an interface, and must not depend on how it is implemented.
package quickstart

import (
	"time"

	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// Interval is a time interval that includes From and excludes To. If To is zero,
// it has no end.
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

// BackendLedger is one backend server with what its ledger holds.
type BackendLedger struct {
	ID, Service, Domain string
	Runs                map[string]int // by order ID
	Starts              []time.Time    // of requests, in order
	Warm                []Interval     // in which it can process its full load
	OverCapacityStarts  int
	// InProgressAverage returns the time average of requests in progress.
	InProgressAverage func(from, to time.Time) float64
}

// DomainOut is one interval during which a failure domain was out.
type DomainOut struct {
	Domain     string
	During     Interval  // from the effective time of going out to that of coming back
	LastPacket time.Time // last packet to or from the domain while it was out; zero if there was none
}

// Leave is the planned departure of a backend server.
type Leave struct {
	Backend   string
	Effective time.Time
}

// InForceRecord says when one process put one change in force.
type InForceRecord struct {
	Change, Process     string
	Accepted, Effective time.Time // Effective is zero for a change without a planned time
	At                  time.Time // when it was in force; zero if it never was while the process ran
}

// Ledgers is the input from which Summarize computes a summary.
type Ledgers struct {
	MeasuredInterval Interval // in which imbalance is measured; must have an end
	Callers          caller.Ledger
	Backends         []BackendLedger
	DomainOuts       []DomainOut
	Leaves           []Leave
	InForce          []InForceRecord
	Reverts          int // times that a process put an older generation in force
}
