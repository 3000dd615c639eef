package session

import (
	"fmt"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// chooseBackend picks a backend server of comptoir with an open feed for the
// steps that follow.
func (s *session) chooseBackend() string {
	s.eventually("a backend server holds a feed", func() bool {
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

var leaveBackend = step{"a backend server with feeds leaves", func(s *session) {
	at, err := s.fleet.LeaveBackend(s.ctx, s.chooseBackend())
	s.requireNoError(err)
	s.leaves = append(s.leaves, quickstart.Leave{Backend: s.chosen, Effective: at})
}}

func takeDomainOut(domain string) step {
	return step{domain + " goes out", func(s *session) {
		at, err := s.fleet.TakeDomainOut(s.ctx, domain)
		s.requireNoError(err)
		s.domainOuts = append(s.domainOuts, quickstart.DomainOut{Domain: domain, During: quickstart.Interval{From: at}})
	}}
}

// planDomainOut plans a change that takes a failure domain out after the given
// time.
func planDomainOut(domain string, after time.Duration) step {
	return step{fmt.Sprintf("%s is planned to go out after %v", domain, after), func(s *session) {
		at := time.Now().Add(after).Truncate(time.Millisecond)
		s.requireNoError(s.fleet.PlanChange(s.ctx, sheet.Change{Kind: config.DomainOut, Subject: domain, At: at}))
		s.domainOuts = append(s.domainOuts, quickstart.DomainOut{Domain: domain, During: quickstart.Interval{From: at}})
	}}
}

func bringDomainBack(domain string) step {
	return step{domain + " comes back", func(s *session) {
		at, err := s.fleet.BringDomainBack(s.ctx, domain)
		s.requireNoError(err)
		s.domainOuts[len(s.domainOuts)-1].During.To = at
	}}
}

// joinBackend starts a backend server whose join is planned for after the given
// time, and waits until it gets work.
func joinBackend(id, domain string, after time.Duration) step {
	return step{fmt.Sprintf("%s joins comptoir after %v", id, after), func(s *session) {
		at := time.Now().Add(after).Truncate(time.Millisecond)
		s.requireNoError(s.fleet.JoinBackend(s.ctx, id, "comptoir", domain, at))
		s.startCallers(callersPerService, 0)
		time.Sleep(time.Until(at))
		s.awaitStart(hasID(id))
		early := s.startedSince(time.Time{}, hasID(id)) - s.startedSince(at, hasID(id))
		s.record("  requests started before its time: %s", zeroOrSome(early))
	}}
}

func stopBalancer(id string) step {
	return step{id + " stops", func(s *session) { s.requireNoError(s.fleet.StopBalancer(s.ctx, id)) }}
}

func killBalancer(id string) step {
	return step{id + " dies", func(s *session) { s.requireNoError(s.fleet.KillBalancer(id)) }}
}

var startBalancer = step{"a balancer starts", func(s *session) {
	_, err := s.fleet.StartBalancer(s.ctx)
	s.requireNoError(err)
}}

// cutOff cuts a process off from its peers and the platform for at least d and
// runs steps meanwhile.
func cutOff(id string, d time.Duration, during ...step) step {
	return step{fmt.Sprintf("%s is cut off from peers and platform", id), func(s *session) {
		s.requireNoError(s.fleet.SetLinkCut(id, true))
		end := time.Now().Add(d)
		for _, next := range during {
			s.record("%s", next.text)
			next.run(s)
		}
		time.Sleep(time.Until(end))
		s.requireNoError(s.fleet.SetLinkCut(id, false))
	}}
}

// silencePeers keeps the open control connections of a process but delivers
// nothing on them any more.
func silencePeers(id string) step {
	return step{"control connections of " + id + " go silent", func(s *session) { s.requireNoError(s.fleet.SilencePeerConnections(id)) }}
}

// dropReturnPath drops all packets from the agent of a backend server to a
// balancer.
func dropReturnPath(balancer string) step {
	return step{"what a backend server's agent sends to " + balancer + " is lost", func(s *session) {
		s.requireNoError(s.fleet.DropReturnPath(s.chooseBackend(), balancer))
	}}
}

func setOutage(on bool) step {
	text := "the platform is down"
	if !on {
		text = "the platform is back"
	}
	return step{text, func(s *session) { s.fleet.Platform().SetOutage(on) }}
}

func delayPlatform(d time.Duration) step {
	return step{fmt.Sprintf("each platform call takes %v", d), func(s *session) { s.fleet.Platform().SetDelay(d) }}
}

var loseNextAnswer = step{"the platform's next answer to a write is lost", func(s *session) {
	s.fleet.Platform().LoseAnswers(1)
}}

// restartBackend restarts a backend server without notice. Its load endpoint
// reports that it is idle and warm.
var restartBackend = step{"a backend server with feeds restarts cold and reports that it is idle", func(s *session) {
	s.lossReason = "a backend server is lost"
	server := s.fleet.Backend(s.chooseBackend())
	server.OverrideLoad(&backend.Load{Slots: 9})
	server.Restart()
}}

// pauseAgent pauses the agent of a backend server for d, which must be longer
// than its lease, and runs steps during the pause.
func pauseAgent(d time.Duration, during ...step) step {
	return step{"an agent is paused for longer than its lease", func(s *session) {
		s.lossReason = "an agent is lost"
		resume, err := s.fleet.PauseAgent(s.chooseBackend())
		s.requireNoError(err)
		end := time.Now().Add(d)
		for _, next := range during {
			s.record("%s", next.text)
			next.run(s)
		}
		time.Sleep(time.Until(end))
		resume()
	}}
}

// awaitWorkAtChosen waits until the chosen backend server gets work. It starts
// new callers, because existing flows stay at their backend servers.
var awaitWorkAtChosen = step{"new callers reach the backend server", func(s *session) { s.awaitStart(hasID(s.chosen)) }}

func sleepFor(d time.Duration) step {
	return step{fmt.Sprintf("%v pass", d), func(*session) { time.Sleep(d) }}
}

// runConcurrently runs two steps at the same time, each as one operator.
func runConcurrently(a, b step) step {
	return step{"two operators at once: " + a.text + ", " + b.text, func(s *session) {
		done := make(chan struct{})
		go func() { defer close(done); a.run(s) }()
		b.run(s)
		<-done
	}}
}

// awaitPropagation waits for the 2 s in which an accepted change must reach
// every process.
var awaitPropagation = step{"the change reaches every process", func(s *session) { time.Sleep(2 * time.Second) }}
