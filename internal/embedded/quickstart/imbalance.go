package quickstart

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// Imbalance is measured over windows of averagingWindow that start averagingStep
// apart.
const (
	averagingWindow = 5 * time.Second
	averagingStep   = time.Second
)

// averageFunc returns the time average of some quantity of a backend server over
// an interval that has an end.
type averageFunc func(b BackendLedger, during Interval) float64

func inProgressAverage(b BackendLedger, during Interval) float64 {
	return b.InProgressAverage(during.From, during.To)
}

// openFlowsAverage returns an averageFunc for the number of open flows from
// callers to a backend server.
func openFlowsAverage(flows []caller.Flow) averageFunc {
	byBackend := map[string][]Interval{}
	for _, f := range flows {
		byBackend[f.Backend] = append(byBackend[f.Backend], Interval{f.OpenedAt, f.EndedAt})
	}
	return func(b BackendLedger, during Interval) float64 {
		var open time.Duration
		for _, held := range byBackend[b.ID] {
			open += overlapDuration(held, during)
		}
		return float64(open) / float64(during.To.Sub(during.From))
	}
}

// overlapDuration returns for how long two intervals overlap. Only a may be
// without an end.
func overlapDuration(a, b Interval) time.Duration {
	from, to := a.From, b.To
	if b.From.After(from) {
		from = b.From
	}
	if !a.To.IsZero() && a.To.Before(to) {
		to = a.To
	}
	return max(to.Sub(from), 0)
}

// imbalance returns the 99th percentile, over windows and services, of the ratio
// of the largest to the mean average among a service's warm backend servers.
func imbalance(l Ledgers, average averageFunc) float64 {
	var ratios []float64
	for from := l.MeasuredInterval.From; !from.Add(averagingWindow).After(l.MeasuredInterval.To); from = from.Add(averagingStep) {
		during := Interval{from, from.Add(averagingWindow)}
		for _, backends := range warmBackendsByService(l, during) {
			if ratio, ok := maxOverMean(backends, during, average); ok {
				ratios = append(ratios, ratio)
			}
		}
	}
	return percentile99(ratios)
}

// warmBackendsByService returns, by service, the backend servers that were warm
// for the whole interval and at no time in it were leaving or in a failure domain
// that was out.
func warmBackendsByService(l Ledgers, during Interval) map[string][]BackendLedger {
	warm := map[string][]BackendLedger{}
	for _, b := range l.Backends {
		if isWarm(b, during) && !isWithdrawn(l, b, during) {
			warm[b.Service] = append(warm[b.Service], b)
		}
	}
	return warm
}

func isWarm(b BackendLedger, during Interval) bool {
	return slices.ContainsFunc(b.Warm, func(warm Interval) bool { return warm.covers(during) })
}

// isWithdrawn reports whether, at some time in the interval, the backend server
// was leaving or its failure domain was out.
func isWithdrawn(l Ledgers, b BackendLedger, during Interval) bool {
	for _, out := range l.DomainOuts {
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

// maxOverMean returns the ratio of the largest average to the mean. It returns
// false for fewer than two backend servers, or if all of them were idle.
func maxOverMean(backends []BackendLedger, during Interval, average averageFunc) (float64, bool) {
	sum, highest := 0.0, 0.0
	for _, b := range backends {
		value := average(b, during)
		sum += value
		highest = max(highest, value)
	}
	if len(backends) < 2 || sum == 0 {
		return 0, false
	}
	return highest * float64(len(backends)) / sum, true
}

// percentile99 returns the 99th percentile by nearest rank, or 0 if there are no
// values.
func percentile99(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(0.99 * float64(len(sorted))))
	return sorted[rank-1]
}
