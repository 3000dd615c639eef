package quickstart

import (
	"fmt"
	"time"

	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// addOrders compares the outcomes that callers received for their orders with the
// runs that backend servers recorded.
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
		if runs[o.ID] == 0 && wasReportedDone(o) {
			s.WrongAnswers++
		}
	}
}

// falseNotRun returns how many not-run refusals of an order are shown to be false
// by its runs. Each ticket allows one run, and its last outcome counts: each
// ticket whose last outcome is not not-run accounts for one run, and each further
// run shows one refusal to be false, at most as many as there are. If a ticket
// ended unknown or lost, the result is a lower bound, because that ticket may not
// have run.
func falseNotRun(o caller.Order, runs int) int {
	if len(o.Attempts) == 0 {
		return min(runs, 1) // it was never sent, so any run makes the refusal false
	}
	lastOutcome := map[int]caller.Outcome{}
	for _, attempt := range o.Attempts {
		lastOutcome[attempt.Ticket] = attempt.Outcome
	}
	notRun := 0
	for _, outcome := range lastOutcome {
		if outcome == caller.NotRun {
			notRun++
		}
	}
	unexplained := runs - (len(lastOutcome) - notRun)
	return min(max(unexplained, 0), notRun)
}

// wasReportedDone reports whether an attempt of the order was answered as done.
func wasReportedDone(o caller.Order) bool {
	for _, attempt := range o.Attempts {
		if attempt.Outcome == caller.Done {
			return true
		}
	}
	return false
}

// addFlows counts flows that broke apart from those that ended because their
// failure domain was out.
func (s *Summary) addFlows(l Ledgers) {
	for _, f := range l.Callers.Flows {
		breaks := f.Breaks()
		for _, at := range breaks {
			if endedWithDomainOut(l.DomainOuts, f, at) {
				s.FlowsEndedWithDomain++
			} else {
				s.BrokenFlows++
				s.BrokenFlowDetails = append(s.BrokenFlowDetails, describeBreak(f, at, l.MeasuredInterval.From))
			}
		}
		if len(breaks) == 0 && f.Reason == caller.Graceful && endedWithDomainOut(l.DomainOuts, f, f.EndedAt) {
			s.FlowsEndedWithDomain++
		}
	}
}

// describeBreak says which flow broke, how long after from, and how it ended for
// its caller.
func describeBreak(f caller.Flow, at, from time.Time) string {
	text := fmt.Sprintf("%s, backend server %s in %s, %.1f s into the load, go-away %t, flow ended: %q %s",
		f.Caller, f.Backend, f.Domain, at.Sub(from).Seconds(), f.GoAway, f.Reason, f.Detail)
	for _, feed := range f.Feeds {
		text += fmt.Sprintf("; feed ended: %q after %d lines, longest gap %s", feed.Reason, feed.Lines, feed.MaxGap)
	}
	return text
}

// endedWithDomainOut reports whether a flow that ended at the given time ended
// because its failure domain was out. An idle timeout may notice the end only
// after the domain is back, so ends after that count too if the flow was opened
// before.
func endedWithDomainOut(outs []DomainOut, f caller.Flow, at time.Time) bool {
	for _, out := range outs {
		opened := out.During.To.IsZero() || f.OpenedAt.Before(out.During.To)
		if out.Domain == f.Domain && opened && !at.Before(out.During.From) {
			return true
		}
	}
	return false
}

// lastActivityInOutDomain returns the longest time from the effective time of a
// failure domain going out to the last packet, or the last start of a request,
// while it was out.
func lastActivityInOutDomain(l Ledgers) time.Duration {
	var longest time.Duration
	for _, out := range l.DomainOuts {
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

// lastStart returns the time of the last start of a request in the interval, or
// the beginning of the interval if there is none.
func lastStart(b BackendLedger, during Interval) time.Time {
	last := during.From
	for _, at := range b.Starts {
		if during.contains(at) && at.After(last) {
			last = at
		}
	}
	return last
}

// countLateStarts counts the leaving backend servers that started a request more
// than newWorkAfterLeaveBound after the effective time.
func countLateStarts(l Ledgers) int {
	late := 0
	for _, leave := range l.Leaves {
		for _, b := range l.Backends {
			after := Interval{From: leave.Effective.Add(newWorkAfterLeaveBound)}
			if b.ID == leave.Backend && lastStart(b, after).After(after.From) {
				late++
			}
		}
	}
	return late
}

// answersOutsideOutDomains considers the requests that were not in progress in a
// failure domain while it was out. It returns which share of them was answered,
// or 0 if there are none, and how many lost their answer.
func answersOutsideOutDomains(l Ledgers) (share float64, lost int) {
	total, answered := 0, 0
	for _, r := range l.Callers.Requests {
		if touchesOutDomain(l, r) {
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

// touchesOutDomain reports whether a request was in progress, on a flow into a
// failure domain, at some time while that domain was out.
func touchesOutDomain(l Ledgers, r caller.Request) bool {
	if r.Flow < 0 || r.Flow >= len(l.Callers.Flows) {
		return false
	}
	domain := l.Callers.Flows[r.Flow].Domain
	// The extra nanosecond makes the end inclusive: a request that ends exactly at
	// the effective time was cut off by it.
	during := Interval{r.At, r.At.Add(r.Latency + 1)}
	for _, out := range l.DomainOuts {
		if out.Domain == domain && out.During.overlaps(during) {
			return true
		}
	}
	return false
}

// countAttempts returns the larger of the number of attempts that callers sent and
// the number of requests that backend servers started.
func countAttempts(l Ledgers) int {
	sends, starts := 0, 0
	for _, r := range l.Callers.Requests {
		sends += r.Attempts
	}
	for _, b := range l.Backends {
		starts += len(b.Starts)
	}
	return max(sends, starts)
}

// answeredLatenciesMS returns the latencies of answered requests, in
// milliseconds.
func answeredLatenciesMS(requests []caller.Request) []float64 {
	var ms []float64
	for _, r := range requests {
		if r.Outcome == caller.Done {
			ms = append(ms, float64(r.Latency)/float64(time.Millisecond))
		}
	}
	return ms
}

// inForceDelaysSeconds returns how long each process took to put each change in
// force, in seconds since the later of its acceptance and its effective time.
// Changes that a process never put in force are left out.
func inForceDelaysSeconds(l Ledgers) []float64 {
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

// countNeverInForce counts the pairs of a change and a process that never put it
// in force.
func countNeverInForce(entries []InForceRecord) int {
	n := 0
	for _, f := range entries {
		if f.At.IsZero() {
			n++
		}
	}
	return n
}
