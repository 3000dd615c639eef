package session

import (
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// some hides a count that depends on timing.
func some(n int) string {
	if n == 0 {
		return "0"
	}
	return "some"
}

// working waits until, from now on, requests and orders of each service were
// answered and each caller of the first load has a feed that goes on.
var working = step{"callers go on", func(s *session) {
	before := feedLines(s.loads[0].Ledger())
	since := time.Now()
	s.until("answers at all services", func() bool { return answered(s.ledger(), since) })
	s.say("  requests answered: some, orders answered: some")
	s.until("feeds go on", func() bool { return feedsGoOn(s.loads[0].Ledger(), before) })
	s.say("  feeds that go on: all")
}}

// answered reports whether every service has answered 5 requests and 2 orders
// that were made after the given time.
func answered(l caller.Ledger, since time.Time) bool {
	counts := map[string]int{}
	for _, r := range l.Requests {
		if r.At.After(since) && r.Outcome == caller.Done {
			counts[r.Service+string(r.Kind)]++
		}
	}
	for _, service := range []string{"comptoir", "nuancier"} {
		if counts[service+string(caller.Catalogue)] < 5 || counts[service+string(caller.Ordering)] < 2 {
			return false
		}
	}
	return true
}

type feedKey struct{ flow, feed int }

func feedLines(l caller.Ledger) map[feedKey]int {
	lines := map[feedKey]int{}
	for _, f := range l.Flows {
		for i, feed := range f.Feeds {
			lines[feedKey{f.ID, i}] = feed.Lines
		}
	}
	return lines
}

func feedsGoOn(l caller.Ledger, before map[feedKey]int) bool {
	moving := 0
	for _, f := range l.Flows {
		for i, feed := range f.Feeds {
			if feed.Reason == caller.Open && feed.Lines > before[feedKey{f.ID, i}] {
				moving++
			}
		}
	}
	return moving == 2*callers
}

// startedSince returns how many requests and feeds started after the given
// time at the backend servers that match.
func (s *session) startedSince(since time.Time, match func(quickstart.Backend) bool) int {
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

func inDomain(domain string) func(quickstart.Backend) bool {
	return func(b quickstart.Backend) bool { return b.Domain == domain }
}

func isBackend(id string) func(quickstart.Backend) bool {
	return func(b quickstart.Backend) bool { return b.ID == id }
}

// silent checks, from the bound after the failure domain went out, that
// callers go on and nothing reaches the domain.
func silent(domain string) step {
	return step{domain + " is silent from the bound on", func(s *session) {
		from := s.outs[len(s.outs)-1].During.From.Add(bound)
		time.Sleep(time.Until(from))
		working.run(s)
		last := s.fleet.Ledgers().LastPacketOut(domain, quickstart.Interval{From: from})
		packets := 0
		if !last.IsZero() {
			packets = 1
		}
		s.say("  packets: %s, requests started: %s", some(packets), some(s.startedSince(from, inDomain(domain))))
	}}
}

// noNewWork checks, from the bound after the chosen backend server began to
// leave, that callers go on and it gets no new work.
var noNewWork = step{"the leaving backend server gets no new work from the bound on", func(s *session) {
	from := s.leaves[len(s.leaves)-1].Effective.Add(bound)
	time.Sleep(time.Until(from))
	working.run(s)
	feeds := s.fleet.Backend(s.chosen).Ledger().FeedsOpen
	s.say("  requests started: %s, feeds there that go on: %s", some(s.startedSince(from, isBackend(s.chosen))), some(feeds))
}}

// domainWorks waits until backend servers of a failure domain get work, with
// new callers, because present flows stay where they are.
func domainWorks(domain string) step {
	return step{"new callers reach " + domain, func(s *session) { s.untilStarted(inDomain(domain)) }}
}

func (s *session) untilStarted(match func(quickstart.Backend) bool) {
	since, asked := time.Now(), time.Time{}
	s.until("new callers reach it", func() bool {
		if time.Since(asked) > 3*time.Second && len(s.loads) < 5 {
			asked = time.Now()
			s.call(callers, 0)
		}
		return s.startedSince(since, match) > 0
	})
	s.say("  requests started: some")
}

// inForceEverywhere waits until every process has the accepted generation.
var inForceEverywhere = step{"the configuration is in force everywhere", func(s *session) {
	s.until("in force", func() bool {
		all, _ := s.inForce()
		return all
	})
}}

func (s *session) inForce() (all bool, reverts int) {
	ledgers := s.fleet.Ledgers()
	for _, f := range ledgers.InForce {
		if f.At.IsZero() {
			return false, ledgers.Reverts
		}
	}
	return true, ledgers.Reverts
}

// end writes what the ledgers hold at the end of the session.
func (s *session) end() {
	inForceEverywhere.run(s)
	s.hangUp()
	l := s.fleet.Ledgers()
	for i, out := range s.outs {
		s.outs[i].LastPacket = l.LastPacketOut(out.Domain, out.During)
	}
	sum := quickstart.Join(quickstart.Ledgers{
		Measured: quickstart.Interval{From: s.began, To: time.Now()},
		Callers:  s.ledger(), Backends: l.Backends, Outs: s.outs, Leaves: s.leaves,
		InForce: l.InForce, Reverts: l.Reverts,
	})
	s.say("at the end")
	s.say("  wrong answers: %s, duplicate runs: %s, false not-run: %s", some(sum.WrongAnswers), some(sum.DuplicateRuns), some(sum.FalseNotRun))
	s.say("  starts above a backend server's capacity: %s", some(sum.OverCapacityStarts))
	s.sayFlows(sum)
	s.say("  configurations accepted: %d, gone back: %s", s.accepted(), some(l.Reverts))
	s.say("  promises broken: %s", s.broken(sum))
}

func (s *session) sayFlows(sum quickstart.Summary) {
	if s.lost != "" {
		s.say("  flows broken: not judged, %s", s.lost)
		return
	}
	s.say("  flows broken: %s, given up with their failure domain: %s", some(sum.BrokenFlows), some(sum.FlowsEndedWithDomain))
}

// accepted returns how many generations the platform holds or held.
func (s *session) accepted() int {
	n := 0
	for _, a := range s.fleet.Platform().Ledger().Accepted {
		if a.Key == config.ObjectKey {
			n++
		}
	}
	return n
}

// broken lists broken promises. Flows and requests in progress at a backend
// server or agent that is lost without notice are lost with it.
func (s *session) broken(sum quickstart.Summary) string {
	var out []string
	for _, b := range sum.BrokenPromises {
		excused := s.lost != "" && (strings.HasPrefix(b, "promise 1:") || strings.HasPrefix(b, "promise 9:"))
		if !excused {
			out = append(out, b)
		}
	}
	if len(out) == 0 {
		return "none"
	}
	s.logBroken()
	s.t.Errorf("promises broken: %s", out) // whatever the golden file says
	return strings.Join(out, "; ")
}

// logBroken writes what is known of the flows and requests that broke, with
// times since the session began.
func (s *session) logBroken() {
	l := s.ledger()
	since := func(t time.Time) time.Duration { return t.Sub(s.began).Round(time.Millisecond) }
	for _, f := range l.Flows {
		if len(f.Breaks()) == 0 {
			continue
		}
		s.t.Logf("flow %d of %s at %s in %s: opened %v, ended %v, goaway %v: %s %s", f.ID, f.Caller, f.Backend, f.Domain, since(f.OpenedAt), since(f.EndedAt), f.GoAway, f.Reason, f.Detail)
		for _, feed := range f.Feeds {
			s.t.Logf("  feed opened %v, ended %v, %d lines: %s", since(feed.OpenedAt), since(feed.EndedAt), feed.Lines, feed.Reason)
		}
	}
	for _, out := range s.outs {
		s.t.Logf("%s out from %v to %v", out.Domain, since(out.During.From), since(out.During.To))
	}
	for _, leave := range s.leaves {
		s.t.Logf("%s leaves at %v", leave.Backend, since(leave.Effective))
	}
}
