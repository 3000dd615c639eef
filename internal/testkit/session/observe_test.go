package session

import (
	"slices"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// zeroOrSome formats a count for the golden file, without the exact number,
// which depends on timing.
func zeroOrSome(n int) string {
	if n == 0 {
		return "0"
	}
	return "some"
}

// checkServing waits until each service has answered requests and orders that
// were made after the step began, and each feed of the first load has received
// further lines.
var checkServing = step{"callers go on", func(s *session) {
	before := linesByFeed(s.loads[0].Ledger())
	since := time.Now()
	s.eventually("answers at all services", func() bool { return answeredAtEveryService(s.ledger(), since) })
	s.record("  requests answered: some, orders answered: some")
	s.eventually("feeds go on", func() bool { return allFeedsAdvanced(s.loads[0].Ledger(), before) })
	s.record("  feeds that go on: all")
}}

// answeredAtEveryService reports whether every service has answered 5 requests
// and 2 orders that were made after the given time.
func answeredAtEveryService(l caller.Ledger, since time.Time) bool {
	counts := map[string]int{}
	for _, r := range l.Requests {
		if r.At.After(since) && r.Outcome == caller.Done {
			counts[r.Service+string(r.Kind)]++
		}
	}
	for _, service := range []string{"comptoir", "nuancier"} {
		if counts[service+string(caller.KindCatalogue)] < 5 || counts[service+string(caller.KindOrder)] < 2 {
			return false
		}
	}
	return true
}

// feedKey identifies a feed by its flow's ID and its index in that flow.
type feedKey struct{ flow, feed int }

// linesByFeed returns how many lines each feed has received.
func linesByFeed(l caller.Ledger) map[feedKey]int {
	lines := map[feedKey]int{}
	for _, f := range l.Flows {
		for i, feed := range f.Feeds {
			lines[feedKey{f.ID, i}] = feed.Lines
		}
	}
	return lines
}

// allFeedsAdvanced reports whether each caller of the first load, in both
// services, has an open feed with more lines than before.
func allFeedsAdvanced(l caller.Ledger, before map[feedKey]int) bool {
	advanced := 0
	for _, f := range l.Flows {
		for i, feed := range f.Feeds {
			if feed.Reason == caller.NotEnded && feed.Lines > before[feedKey{f.ID, i}] {
				advanced++
			}
		}
	}
	return advanced == 2*callersPerService
}

// startedSince returns how many requests and feeds started after the given
// time at the matching backend servers.
func (s *session) startedSince(since time.Time, match func(quickstart.BackendLedger) bool) int {
	n := 0
	for _, b := range s.fleet.Ledgers().Backends {
		for _, at := range b.Starts {
			if match(b) && at.After(since) {
				n++
			}
		}
	}
	return n
}

func inDomain(domain string) func(quickstart.BackendLedger) bool {
	return func(b quickstart.BackendLedger) bool { return b.Domain == domain }
}

func hasID(id string) func(quickstart.BackendLedger) bool {
	return func(b quickstart.BackendLedger) bool { return b.ID == id }
}

// checkNoTraffic records the packets and requests that reach the failure domain
// once trafficBound has passed since it went out, while callers are served.
func checkNoTraffic(domain string) step {
	return step{domain + " is silent from the bound on", func(s *session) {
		from := s.domainOuts[len(s.domainOuts)-1].During.From.Add(trafficBound)
		time.Sleep(time.Until(from))
		checkServing.run(s)
		last := s.fleet.Ledgers().LastPacket(domain, quickstart.Interval{From: from})
		packets := 0
		if !last.IsZero() {
			packets = 1
		}
		s.record("  packets: %s, requests started: %s", zeroOrSome(packets), zeroOrSome(s.startedSince(from, inDomain(domain))))
	}}
}

// checkNoNewWork records the requests that start at the chosen backend server
// once trafficBound has passed since its leave took effect, while callers are
// served, and its feeds that are still open.
var checkNoNewWork = step{"the leaving backend server gets no new work from the bound on", func(s *session) {
	from := s.leaves[len(s.leaves)-1].Effective.Add(trafficBound)
	time.Sleep(time.Until(from))
	checkServing.run(s)
	feeds := s.fleet.Backend(s.chosen).Ledger().FeedsOpen
	s.record("  requests started: %s, feeds there that go on: %s", zeroOrSome(s.startedSince(from, hasID(s.chosen))), zeroOrSome(feeds))
}}

// awaitWorkInDomain waits until backend servers of a failure domain get work.
// It starts new callers, because existing flows stay at their backend servers.
func awaitWorkInDomain(domain string) step {
	return step{"new callers reach " + domain, func(s *session) { s.awaitStart(inDomain(domain)) }}
}

// awaitStart starts new callers, at most every 3 s and until there are 5 loads,
// until a request or feed starts at a matching backend server.
func (s *session) awaitStart(match func(quickstart.BackendLedger) bool) {
	since, lastLoadStart := time.Now(), time.Time{}
	s.eventually("new callers reach it", func() bool {
		if time.Since(lastLoadStart) > 3*time.Second && len(s.loads) < 5 {
			lastLoadStart = time.Now()
			s.startCallers(callersPerService, 0)
		}
		return s.startedSince(since, match) > 0
	})
	s.record("  requests started: some")
}

// awaitInForce waits until each accepted generation is in force everywhere.
var awaitInForce = step{"the configuration is in force everywhere", func(s *session) {
	s.eventually("in force", func() bool {
		everywhere, _ := s.inForce()
		return everywhere
	})
}}

// inForce reports whether each accepted generation has come into force
// everywhere, and how often a process reverted to an older one.
func (s *session) inForce() (everywhere bool, reverts int) {
	ledgers := s.fleet.Ledgers()
	for _, f := range ledgers.InForce {
		if f.At.IsZero() {
			return false, ledgers.Reverts
		}
	}
	return true, ledgers.Reverts
}

// recordSummary ends the load and writes the totals of all ledgers to the
// transcript.
func (s *session) recordSummary() {
	awaitInForce.run(s)
	s.closeLoads()
	l := s.fleet.Ledgers()
	for i, out := range s.domainOuts {
		s.domainOuts[i].LastPacket = l.LastPacket(out.Domain, out.During)
	}
	sum := quickstart.Summarize(quickstart.Ledgers{
		MeasuredInterval: quickstart.Interval{From: s.startedAt, To: time.Now()},
		Callers:          s.ledger(), Backends: l.Backends, DomainOuts: s.domainOuts, Leaves: s.leaves,
		InForce: l.InForce, Reverts: l.Reverts,
	})
	s.record("at the end")
	s.record("  wrong answers: %s, duplicate runs: %s, false not-run: %s", zeroOrSome(sum.WrongAnswers), zeroOrSome(sum.DuplicateRuns), zeroOrSome(sum.FalseNotRun))
	s.record("  starts above a backend server's capacity: %s", zeroOrSome(sum.OverCapacityStarts))
	s.recordFlows(sum)
	s.record("  configurations accepted: %d, gone back: %s", s.acceptedGenerations(), zeroOrSome(l.Reverts))
	s.record("  promises broken: %s", s.brokenPromises(sum))
}

func (s *session) recordFlows(sum quickstart.Summary) {
	if s.lossReason != "" {
		s.record("  flows broken: not judged, %s", s.lossReason)
		return
	}
	s.record("  flows broken: %s, given up with their failure domain: %s", zeroOrSome(sum.BrokenFlows), zeroOrSome(sum.FlowsEndedWithDomain))
}

// acceptedGenerations returns how many configurations the platform has
// accepted.
func (s *session) acceptedGenerations() int {
	n := 0
	for _, a := range s.fleet.Platform().Ledger().Accepted {
		if a.Key == config.ObjectKey {
			n++
		}
	}
	return n
}

// brokenPromises lists the broken promises and fails the test if there are any.
// In a session that loses a backend server or an agent without notice, promises
// 1 and 9 are left out: its flows and requests in progress are lost with it.
func (s *session) brokenPromises(sum quickstart.Summary) string {
	var out []string
	for _, b := range sum.BrokenPromises {
		excused := s.lossReason != "" && (strings.HasPrefix(b, "promise 1:") || strings.HasPrefix(b, "promise 9:"))
		if !excused {
			out = append(out, b)
		}
	}
	if len(out) == 0 {
		return "none"
	}
	s.logBrokenFlows()
	s.logLostRequests()
	s.t.Errorf("promises broken: %s", out) // so that the test also fails with -update
	return strings.Join(out, "; ")
}

// logBrokenFlows logs each flow that broke with its feeds, and the planned
// changes. Times are relative to the start of the session.
func (s *session) logBrokenFlows() {
	l := s.ledger()
	since := func(t time.Time) time.Duration { return t.Sub(s.startedAt).Round(time.Millisecond) }
	for _, f := range l.Flows {
		if len(f.Breaks()) == 0 {
			continue
		}
		s.t.Logf("flow %d of %s at %s in %s: opened %v, ended %v, goaway %v: %s %s", f.ID, f.Caller, f.Backend, f.Domain, since(f.OpenedAt), since(f.EndedAt), f.GoAway, f.Reason, f.Detail)
		for _, feed := range f.Feeds {
			s.t.Logf("  feed opened %v, ended %v, %d lines: %s", since(feed.OpenedAt), since(feed.EndedAt), feed.Lines, feed.Reason)
		}
	}
	for _, out := range s.domainOuts {
		s.t.Logf("%s out from %v to %v", out.Domain, since(out.During.From), since(out.During.To))
	}
	for _, leave := range s.leaves {
		s.t.Logf("%s leaves at %v", leave.Backend, since(leave.Effective))
	}
}

// maxLoggedRequests bounds the log when an overloaded machine loses hundreds of
// requests.
const maxLoggedRequests = 20

// logLostRequests logs the first requests whose answers were lost, with their
// flows, but for those on flows of failure domains that went out. Times are relative to
// the start of the session.
func (s *session) logLostRequests() {
	logged := 0
	l := s.ledger()
	for _, r := range l.Requests {
		if r.Outcome != caller.Lost || r.Flow != caller.NoFlow && s.wentOut(l.Flows[r.Flow].Domain) {
			continue
		}
		if logged++; logged > maxLoggedRequests {
			return
		}
		s.t.Logf("%s of %s lost: began %v, given up after %v, attempts %d, last on flow %d", r.Kind, r.Service,
			r.At.Sub(s.startedAt).Round(time.Millisecond), r.Latency.Round(time.Millisecond), r.Attempts, r.Flow)
		if r.Flow != caller.NoFlow {
			f := l.Flows[r.Flow]
			s.t.Logf("  that flow: %s in %q, opened %v, %d answers, ended: %q %s", f.Caller, f.Domain, f.OpenedAt.Sub(s.startedAt).Round(time.Millisecond), f.Answers, f.Reason, f.Detail)
		}
	}
}

// wentOut reports whether a failure domain went out during the session.
func (s *session) wentOut(domain string) bool {
	return slices.ContainsFunc(s.domainOuts, func(out quickstart.DomainOut) bool { return out.Domain == domain })
}
