package quickstart

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/standin/caller"
)

const (
	window     = 5 * time.Second
	windowStep = time.Second
)

// average is a quantity of a backend server, averaged over the interval.
type average func(b Backend, during Interval) float64

func requestsInProgress(b Backend, during Interval) float64 {
	return b.InProgressAverage(during.From, during.To)
}

// openFlows returns the average number of flows that callers held to a backend
// server.
func openFlows(flows []caller.Flow) average {
	byBackend := map[string][]Interval{}
	for _, f := range flows {
		byBackend[f.Backend] = append(byBackend[f.Backend], Interval{f.OpenedAt, f.EndedAt})
	}
	return func(b Backend, during Interval) float64 {
		var open time.Duration
		for _, held := range byBackend[b.ID] {
			open += overlap(held, during)
		}
		return float64(open) / float64(during.To.Sub(during.From))
	}
}

func overlap(a, b Interval) time.Duration {
	from, to := a.From, b.To
	if b.From.After(from) {
		from = b.From
	}
	if !a.To.IsZero() && a.To.Before(to) {
		to = a.To
	}
	return max(to.Sub(from), 0)
}

// imbalance returns the 99th percentile, over windows and services, of the
// largest average among a service's warm backend servers over their mean.
func imbalance(l Ledgers, of average) float64 {
	var ratios []float64
	for from := l.Measured.From; !from.Add(window).After(l.Measured.To); from = from.Add(windowStep) {
		during := Interval{from, from.Add(window)}
		for _, backends := range warmByService(l, during) {
			if ratio, ok := maxOverMean(backends, during, of); ok {
				ratios = append(ratios, ratio)
			}
		}
	}
	return percentile99(ratios)
}

// warmByService returns the backend servers that were warm, and neither
// leaving nor in a failure domain that was out, for the whole interval.
func warmByService(l Ledgers, during Interval) map[string][]Backend {
	warm := map[string][]Backend{}
	for _, b := range l.Backends {
		if isWarm(b, during) && !isWithdrawn(l, b, during) {
			warm[b.Service] = append(warm[b.Service], b)
		}
	}
	return warm
}

func isWarm(b Backend, during Interval) bool {
	return slices.ContainsFunc(b.Warm, func(warm Interval) bool { return warm.covers(during) })
}

func isWithdrawn(l Ledgers, b Backend, during Interval) bool {
	for _, out := range l.Outs {
		if out.Domain == b.Domain && out.During.overlaps(during) {
			return true
		}
	}
	for _, leave := range l.Leaves {
		if leave.Backend == b.ID && leave.Effective.Before(during.To) {
			return true
		}
	}
	return false
}

// maxOverMean gives no ratio for fewer than two backend servers, or for idle
// ones.
func maxOverMean(backends []Backend, during Interval, of average) (float64, bool) {
	sum, highest := 0.0, 0.0
	for _, b := range backends {
		value := of(b, during)
		sum += value
		highest = max(highest, value)
	}
	if len(backends) < 2 || sum == 0 {
		return 0, false
	}
	return highest * float64(len(backends)) / sum, true
}

// percentile99 returns the 99th percentile by nearest rank, or 0 for no values.
func percentile99(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(0.99 * float64(len(sorted))))
	return sorted[rank-1]
}
