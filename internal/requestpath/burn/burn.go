// Package burn computes the burn rate of each service: how fast it consumes the
// error budget of its service-level objectives. It must not depend on clocks,
// sockets or files: the current time is a parameter of each call.
//
// Every process counts its own requests and flows in a Tracker. Trackers are
// merged through messages of bounded size. A report on merged trackers equals
// the report of a single tracker that counted everything.
package burn

import (
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Indicator names a service-level indicator, for which an objective can be set.
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

// The windows over which a report gives the burn rate.
const (
	Window5m  = 5 * time.Minute
	Window30m = 30 * time.Minute
	Window1h  = time.Hour
	Window6h  = 6 * time.Hour // the time for which processes keep counts
)

// Windows returns the windows of a report, shortest first.
func Windows() []time.Duration {
	return []time.Duration{Window5m, Window30m, Window1h, Window6h}
}

// Counts holds the numbers of requests and flows in a span of time.
type Counts struct {
	Requests   uint64 `json:"r,omitempty"` // requests that count towards the objectives
	Unanswered uint64 `json:"n,omitempty"` // of Requests, not answered by a backend server
	Slow       uint64 `json:"s,omitempty"` // of Requests, answered later than the latency objective
	Flows      uint64 `json:"f,omitempty"` // ended flows that count towards the objectives
	Broken     uint64 `json:"b,omitempty"` // of Flows, ended by an error
}

func (c Counts) add(o Counts) Counts {
	c.Requests += o.Requests
	c.Unanswered += o.Unanswered
	c.Slow += o.Slow
	c.Flows += o.Flows
	c.Broken += o.Broken
	return c
}

// forIndicator returns the requests or flows that count towards the indicator,
// and how many of them were bad.
func (c Counts) forIndicator(i Indicator) (total, bad uint64) {
	switch i {
	case Answered:
		return c.Requests, c.Unanswered
	case Unbroken:
		return c.Flows, c.Broken
	default:
		return c.Requests - min(c.Unanswered, c.Requests), c.Slow
	}
}

// KindCount is the number of requests or flows that failed with one error kind.
type KindCount struct {
	Kind  errkind.Kind `json:"kind"`
	Count uint64       `json:"count"` // requests or flows
}

// causes holds the failed requests and flows by error kind. Each list is ordered
// by kind.
type causes struct {
	Unanswered []KindCount `json:"n,omitempty"`
	Broken     []KindCount `json:"b,omitempty"`
	NotCounted []KindCount `json:"x,omitempty"`
}

func (c causes) add(o causes) causes {
	return causes{
		Unanswered: mergeKindCounts(c.Unanswered, o.Unanswered),
		Broken:     mergeKindCounts(c.Broken, o.Broken),
		NotCounted: mergeKindCounts(c.NotCounted, o.NotCounted),
	}
}

func (c causes) forIndicator(i Indicator) []KindCount {
	switch i {
	case Answered:
		return c.Unanswered
	case Unbroken:
		return c.Broken
	default:
		return nil
	}
}

// mergeKindCounts adds up two lists into a new one. A kind that is not in the
// table of kinds counts as Internal, so that a list is never longer than the
// table.
func mergeKindCounts(a, b []KindCount) []KindCount {
	sum := slices.Clone(a)
	for _, c := range b {
		c.Kind = c.Kind.Definition().Kind
		i, found := slices.BinarySearchFunc(sum, c.Kind, func(c KindCount, k errkind.Kind) int { return int(c.Kind) - int(k) })
		if found {
			sum[i].Count += c.Count
		} else {
			sum = slices.Insert(sum, i, c)
		}
	}
	return sum
}

// isNotCounted reports whether failures of a kind don't count towards the
// objectives, because the caller caused them, or because an operator took the
// failure domain out and its flows were ended.
func isNotCounted(kind errkind.Kind) bool {
	switch kind {
	case errkind.CallerCancelled, errkind.TicketInvalid, errkind.RequestTooLarge, errkind.DomainOut:
		return true
	}
	return false
}
