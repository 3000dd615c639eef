// Package burn measures how fast each service spends the error budget of its
// service-level objectives. It has no clock and opens nothing: time comes in
// with each call.
//
// Every process counts its own requests and flows in a Tracker. Trackers are
// merged through messages of bounded size, and a report over any number of
// processes equals the report of one process that had counted everything.
package burn

import (
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Indicator names what an objective is about.
type Indicator string

// The indicators.
const (
	Answered Indicator = "answered" // requests answered by a backend server
	Unbroken Indicator = "unbroken" // flows that ended without an error
	Latency  Indicator = "latency"  // answered requests within the objective's latency
)

// latencyShare is the share of answered requests that must be within the
// latency objective, which is a 99th percentile.
const latencyShare = 0.99

// The windows of a report.
const (
	Window5m  = 5 * time.Minute
	Window30m = 30 * time.Minute
	Window1h  = time.Hour
	Window6h  = 6 * time.Hour // the longest that processes keep
)

// Windows returns the windows of a report, shortest first.
func Windows() []time.Duration {
	return []time.Duration{Window5m, Window30m, Window1h, Window6h}
}

// Counts are the requests and flows of one span of time.
type Counts struct {
	Requests uint64 `json:"r,omitempty"` // requests that count for the objectives
	Refused  uint64 `json:"n,omitempty"` // of them, not answered by a backend server
	Slow     uint64 `json:"s,omitempty"` // answered, but over the latency objective
	Flows    uint64 `json:"f,omitempty"` // flows ended that count for the objectives
	Broken   uint64 `json:"b,omitempty"` // of them, ended by an error
}

func (c Counts) add(o Counts) Counts {
	c.Requests += o.Requests
	c.Refused += o.Refused
	c.Slow += o.Slow
	c.Flows += o.Flows
	c.Broken += o.Broken
	return c
}

// of returns what counts for the indicator and how much of it was bad.
func (c Counts) of(i Indicator) (total, bad uint64) {
	switch i {
	case Answered:
		return c.Requests, c.Refused
	case Unbroken:
		return c.Flows, c.Broken
	default:
		return c.Requests - min(c.Refused, c.Requests), c.Slow
	}
}

// Spent is what one error kind took from a budget.
type Spent struct {
	Kind  errkind.Kind `json:"kind"`
	Count uint64       `json:"count"` // requests or flows
}

// causes are counts by error kind, ordered by kind.
type causes struct {
	Refused    []Spent `json:"n,omitempty"`
	Broken     []Spent `json:"b,omitempty"`
	NotCounted []Spent `json:"x,omitempty"`
}

func (c causes) add(o causes) causes {
	return causes{
		Refused:    addSpent(c.Refused, o.Refused),
		Broken:     addSpent(c.Broken, o.Broken),
		NotCounted: addSpent(c.NotCounted, o.NotCounted),
	}
}

func (c causes) of(i Indicator) []Spent {
	switch i {
	case Answered:
		return c.Refused
	case Unbroken:
		return c.Broken
	default:
		return nil
	}
}

// addSpent merges two lists into a new one. An unlisted kind counts as
// Internal, so that a list is never longer than the table of kinds.
func addSpent(a, b []Spent) []Spent {
	sum := slices.Clone(a)
	for _, s := range b {
		s.Kind = s.Kind.Answer().Kind
		i, found := slices.BinarySearchFunc(sum, s.Kind, func(s Spent, k errkind.Kind) int { return int(s.Kind) - int(k) })
		if found {
			sum[i].Count += s.Count
		} else {
			sum = slices.Insert(sum, i, s)
		}
	}
	return sum
}

// notCounted reports whether a failure is outside the objectives: the caller
// caused it, or the failure domain was taken out on purpose and its flows were
// given up.
func notCounted(kind errkind.Kind) bool {
	switch kind {
	case errkind.CallerCancelled, errkind.TicketInvalid, errkind.RequestTooLarge, errkind.DomainOut:
		return true
	}
	return false
}
