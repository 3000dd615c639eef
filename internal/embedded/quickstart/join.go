package quickstart

import (
	"fmt"
	"time"

	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// addOrders compares what callers were told with what ran.
func (s *Summary) addOrders(l Ledgers) {
	runs := map[string]int{}
	for _, b := range l.Backends {
		for id, n := range b.Runs {
			runs[id] += n
		}
	}
	for _, n := range runs {
		s.DuplicateRuns += max(n-1, 0)
	}
	for _, o := range l.Callers.Orders {
		s.FalseNotRun += falseNotRun(o, runs[o.ID])
		if runs[o.ID] == 0 && toldDone(o) {
			s.WrongAnswers++
		}
	}
}

// falseNotRun returns how many not-run refusals of an order are refuted by its
// runs. Each ticket allows one run, and its last outcome decides: tickets that
// ended otherwise than not-run explain as many runs as there are of them. The
// result is a lower bound where one of those ended unknown or lost.
func falseNotRun(o caller.Order, runs int) int {
	if len(o.Attempts) == 0 {
		return min(runs, 1) // never sent, yet it ran
	}
	last := map[int]caller.Outcome{}
	for _, t := range o.Attempts {
		last[t.Ticket] = t.Outcome
	}
	notRun := 0
	for _, outcome := range last {
		if outcome == caller.NotRun {
			notRun++
		}
	}
	unexplained := runs - (len(last) - notRun)
	return min(max(unexplained, 0), notRun)
}

func toldDone(o caller.Order) bool {
	for _, t := range o.Attempts {
		if t.Outcome == caller.Done {
			return true
		}
	}
	return false
}

// addFlows tells flows that broke from those that ended with their failure
// domain.
func (s *Summary) addFlows(l Ledgers) {
	for _, f := range l.Callers.Flows {
		breaks := f.Breaks()
		for _, at := range breaks {
			if givenUp(l.Outs, f, at) {
				s.FlowsEndedWithDomain++
			} else {
				s.BrokenFlows++
				s.BrokenFlowDetails = append(s.BrokenFlowDetails, describe(f, at, l.Measured.From))
			}
		}
		if len(breaks) == 0 && f.Reason == caller.Graceful && givenUp(l.Outs, f, f.EndedAt) {
			s.FlowsEndedWithDomain++
		}
	}
}

// describe says which flow broke, when, and how it ended for its caller.
func describe(f caller.Flow, at, from time.Time) string {
	text := fmt.Sprintf("%s, backend server %s in %s, %.1f s into the load, go-away %t, flow ended: %q %s",
		f.Caller, f.Backend, f.Domain, at.Sub(from).Seconds(), f.GoAway, f.Reason, f.Detail)
	for _, feed := range f.Feeds {
		text += fmt.Sprintf("; feed ended: %q after %d lines, longest gap %s", feed.Reason, feed.Lines, feed.MaxGap)
	}
	return text
}

// givenUp reports whether a flow that ended at the given time was given up
// with its failure domain. Its end may be noticed after the domain is back, by
// an idle timeout.
func givenUp(outs []DomainOut, f caller.Flow, at time.Time) bool {
	for _, out := range outs {
		opened := out.During.To.IsZero() || f.OpenedAt.Before(out.During.To)
		if out.Domain == f.Domain && opened && !at.Before(out.During.From) {
			return true
		}
	}
	return false
}

// lastToOutDomain returns how long after its effective time a failure domain
// that was out still had packets, or requests started in it.
func lastToOutDomain(l Ledgers) time.Duration {
	var longest time.Duration
	for _, out := range l.Outs {
		if !out.LastPacket.IsZero() {
			longest = max(longest, out.LastPacket.Sub(out.During.From))
		}
		for _, b := range l.Backends {
			if b.Domain == out.Domain {
				longest = max(longest, lastStart(b, out.During).Sub(out.During.From))
			}
		}
	}
	return longest
}

// lastStart returns the last start in the interval, or its beginning.
func lastStart(b Backend, during Interval) time.Time {
	last := during.From
	for _, at := range b.Starts {
		if during.contains(at) && at.After(last) {
			last = at
		}
	}
	return last
}

// lateStarts counts the leaving backend servers that got new work after the
// bound.
func lateStarts(l Ledgers) int {
	late := 0
	for _, leave := range l.Leaves {
		for _, b := range l.Backends {
			after := Interval{From: leave.Effective.Add(leaveBound)}
			if b.ID == leave.Backend && lastStart(b, after).After(after.From) {
				late++
			}
		}
	}
	return late
}

// outsideDomain returns the answered share of requests that were not on a
// failure domain that was out, and how many of them lost their answer. The
// share is 0 without requests.
func outsideDomain(l Ledgers) (share float64, lost int) {
	total, answered := 0, 0
	for _, r := range l.Callers.Requests {
		if onOutDomain(l, r) {
			continue
		}
		total++
		switch r.Outcome {
		case caller.Done:
			answered++
		case caller.Lost:
			lost++
		}
	}
	if total == 0 {
		return 0, lost
	}
	return float64(answered) / float64(total), lost
}

// onOutDomain reports whether a request was in progress, on a flow into a
// failure domain, while that domain was out.
func onOutDomain(l Ledgers, r caller.Request) bool {
	if r.Flow < 0 || r.Flow >= len(l.Callers.Flows) {
		return false
	}
	domain := l.Callers.Flows[r.Flow].Domain
	// The end is inclusive: a request that ends at the effective time was cut.
	during := Interval{r.At, r.At.Add(r.Latency + 1)}
	for _, out := range l.Outs {
		if out.Domain == domain && out.During.overlaps(during) {
			return true
		}
	}
	return false
}

func attempts(l Ledgers) int {
	sends, starts := 0, 0
	for _, r := range l.Callers.Requests {
		sends += r.Attempts
	}
	for _, b := range l.Backends {
		starts += len(b.Starts)
	}
	return max(sends, starts)
}

func latencies(requests []caller.Request) []float64 {
	var ms []float64
	for _, r := range requests {
		if r.Outcome == caller.Done {
			ms = append(ms, float64(r.Latency)/float64(time.Millisecond))
		}
	}
	return ms
}

// inForceDelays returns, in seconds, how long each process took to put each
// change in force, counted from when it was both accepted and due.
func inForceDelays(l Ledgers) []float64 {
	var seconds []float64
	for _, f := range l.InForce {
		due := f.Accepted
		if f.Effective.After(due) {
			due = f.Effective
		}
		if !f.At.IsZero() {
			seconds = append(seconds, max(f.At.Sub(due).Seconds(), 0))
		}
	}
	return seconds
}

func missing(entries []InForce) int {
	n := 0
	for _, f := range entries {
		if f.At.IsZero() {
			n++
		}
	}
	return n
}
