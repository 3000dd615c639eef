package session

import (
	"fmt"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// choose picks a backend server of comptoir that holds a feed.
func (s *session) choose() string {
	s.until("a backend server holds a feed", func() bool {
		for _, b := range s.fleet.Ledgers().Backends {
			if b.Service == "comptoir" && s.fleet.Backend(b.ID).Ledger().FeedsOpen > 0 {
				s.chosen = b.ID
				return true
			}
		}
		return false
	})
	return s.chosen
}

var leave = step{"a backend server with feeds leaves", func(s *session) {
	at, err := s.fleet.LeaveBackend(s.ctx, s.choose())
	s.check(err)
	s.leaves = append(s.leaves, quickstart.Leave{Backend: s.chosen, Effective: at})
}}

func takeOut(domain string) step {
	return step{domain + " goes out", func(s *session) {
		at, err := s.fleet.TakeDomainOut(s.ctx, domain)
		s.check(err)
		s.outs = append(s.outs, quickstart.DomainOut{Domain: domain, During: quickstart.Interval{From: at}})
	}}
}

// planOut has a failure domain taken out a few seconds later.
func planOut(domain string, after time.Duration) step {
	return step{fmt.Sprintf("%s is planned to go out after %v", domain, after), func(s *session) {
		at := time.Now().Add(after).Truncate(time.Millisecond)
		s.check(s.fleet.Plan(s.ctx, sheet.Change{Kind: config.DomainOut, Subject: domain, At: at}))
		s.outs = append(s.outs, quickstart.DomainOut{Domain: domain, During: quickstart.Interval{From: at}})
	}}
}

func bringBack(domain string) step {
	return step{domain + " comes back", func(s *session) {
		at, err := s.fleet.BringDomainBack(s.ctx, domain)
		s.check(err)
		s.outs[len(s.outs)-1].During.To = at
	}}
}

// join starts a backend server with a planned join.
func join(id, domain string, after time.Duration) step {
	return step{fmt.Sprintf("%s joins comptoir after %v", id, after), func(s *session) {
		at := time.Now().Add(after).Truncate(time.Millisecond)
		s.check(s.fleet.JoinBackend(s.ctx, id, "comptoir", domain, at))
		s.call(callers, 0)
		time.Sleep(time.Until(at))
		s.untilStarted(isBackend(id))
		early := s.startedSince(time.Time{}, isBackend(id)) - s.startedSince(at, isBackend(id))
		s.say("  requests started before its time: %s", some(early))
	}}
}

func stopBalancer(id string) step {
	return step{id + " stops", func(s *session) { s.check(s.fleet.StopBalancer(s.ctx, id)) }}
}

func killBalancer(id string) step {
	return step{id + " dies", func(s *session) { s.check(s.fleet.KillBalancer(id)) }}
}

var startBalancer = step{"a balancer starts", func(s *session) {
	_, err := s.fleet.StartBalancer(s.ctx)
	s.check(err)
}}

func cut(id string, d time.Duration, during ...step) step {
	return step{fmt.Sprintf("%s is cut off from peers and platform", id), func(s *session) {
		s.check(s.fleet.Cut(id, true))
		end := time.Now().Add(d)
		for _, st := range during {
			s.say("%s", st.text)
			st.run(s)
		}
		time.Sleep(time.Until(end))
		s.check(s.fleet.Cut(id, false))
	}}
}

func silencePeers(id string) step {
	return step{"control connections of " + id + " go silent", func(s *session) { s.check(s.fleet.SilencePeers(id)) }}
}

func loseReturnPath(balancer string) step {
	return step{"what a backend server's agent sends to " + balancer + " is lost", func(s *session) {
		s.check(s.fleet.LoseReturnPath(s.choose(), balancer))
	}}
}

func outage(on bool) step {
	text := "the platform is down"
	if !on {
		text = "the platform is back"
	}
	return step{text, func(s *session) { s.fleet.Platform().SetOutage(on) }}
}

func slowPlatform(d time.Duration) step {
	return step{fmt.Sprintf("each platform call takes %v", d), func(s *session) { s.fleet.Platform().SetDelay(d) }}
}

var loseAnswer = step{"the platform's next answer to a write is lost", func(s *session) {
	s.fleet.Platform().LoseAnswers(1)
}}

// restart restarts the chosen backend server without notice. Its load endpoint
// claims that it is idle and warm.
var restart = step{"a backend server with feeds restarts cold and reports that it is idle", func(s *session) {
	s.lost = "a backend server is lost"
	server := s.fleet.Backend(s.choose())
	server.MisleadLoad(&backend.Load{Slots: 9})
	server.Restart()
}}

// pause freezes the chosen backend server's agent for longer than its lease.
func pause(d time.Duration, during ...step) step {
	return step{"an agent is paused for longer than its lease", func(s *session) {
		s.lost = "an agent is lost"
		thaw, err := s.fleet.Freeze(s.choose())
		s.check(err)
		end := time.Now().Add(d)
		for _, st := range during {
			s.say("%s", st.text)
			st.run(s)
		}
		time.Sleep(time.Until(end))
		thaw()
	}}
}

// chosenWorks waits until the chosen backend server gets work.
var chosenWorks = step{"new callers reach the backend server", func(s *session) { s.untilStarted(isBackend(s.chosen)) }}

func wait(d time.Duration) step {
	return step{fmt.Sprintf("%v pass", d), func(*session) { time.Sleep(d) }}
}

// race runs two operators at once.
func race(a, b step) step {
	return step{"two operators at once: " + a.text + ", " + b.text, func(s *session) {
		done := make(chan struct{})
		go func() { defer close(done); a.run(s) }()
		b.run(s)
		<-done
	}}
}

// inForceSoon gives an accepted change the time in which it must have reached
// every process.
var inForceSoon = step{"the change reaches every process", func(s *session) { time.Sleep(2 * time.Second) }}
