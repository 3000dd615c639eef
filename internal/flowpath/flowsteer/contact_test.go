package flowsteer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// Guards against FLOW, first half: a balancer whose link was full, or that got no processor
// time, receives answers again one after the other. Once three quarters of the agents have
// answered, the rest must not count as dead for a silence that was the balancer's own
// fault: it resets the flows that they hold.
func TestAgentsThatAnswerLastAfterAnOwnFaultAreNotDead(t *testing.T) {
	is := is.New(t)
	const agents, answering, fault = 12, 9, 4 * time.Second
	silent := []netip.AddrPort{agentAddress(9), agentAddress(10), agentAddress(11)}
	s := newSteerer(testView(agents))
	p := callerPacket(1, flow.Ack)
	p.Length = 10
	at := start
	tick := func(answering int) []Action {
		at = at.Add(timerStep)
		s.SetView(s.view, view.Confirmations{Members: at})
		due := s.Tick(at)
		for i := range answering {
			s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)})
		}
		return due
	}
	for at.Before(start.Add(time.Second)) {
		tick(agents)
	}
	for range fault / timerStep {
		tick(0)
	}
	ended := at
	for reset := false; !reset && at.Sub(ended) < 2*fault; {
		due := tick(answering)
		if s.lookups[p.CallerKey()] == nil {
			due = append(due, s.FromCaller(at, p, []byte("data")))
		}
		reset = isReset(s, at, p, due, silent)
	}
	is.True(at.Sub(ended) > deadAfter)
	is.True(at.Sub(ended) <= deadAfter+time.Second)
}

// isReset lets all agents but the silent ones deny the flow of p, and reports whether the flow
// is reset. A list of candidates that contains a silent agent has no answer.
func isReset(s *Steerer, at time.Time, p flow.Packet, due []Action, silent []netip.AddrPort) bool {
	for len(due) > 0 {
		a := due[0]
		due = due[1:]
		isSilent := func(agent netip.AddrPort) bool { return slices.Contains(silent, agent) }
		switch {
		case a.Verdict == Reset:
			return true
		case a.Verdict != Send || a.Message.Type != hop.Forward || slices.ContainsFunc(a.Message.Candidates, isSilent):
		default:
			due = append(due, s.Declined(at, p, &a.Message)...)
		}
	}
	return false
}

// Guards against agents that count as dead without a hello since the fault of the balancer's
// own ended: in a large fleet, the next hello was due later than 2 s. Busy agents are known to
// answer by other messages, the idle ones by their answers to hellos only.
func TestSilentAgentsGetHellosAfterAnOwnFault(t *testing.T) {
	const agents, busy, balancers = 136, 102, 39
	for _, fault := range []time.Duration{3 * time.Second, 7 * time.Second} {
		v := testView(agents)
		for i := range balancers {
			name := fmt.Sprintf("balancer-%d", i)
			v.Members.ByName[name] = view.Member{Name: name, Role: view.BalancerRole, Domain: "b", Address: balancerOf(i)}
		}
		s := newSteerer(v)
		at := start
		play := func(d time.Duration, cutOff bool) {
			for end := at.Add(d); at.Before(end); {
				at = at.Add(timerStep)
				s.SetView(v, view.Confirmations{Members: at})
				for _, a := range s.Tick(at) {
					if !cutOff {
						s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: a.To})
					}
				}
				for i := 0; i < busy && !cutOff; i++ {
					s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)})
				}
				if dead := s.agents.dead(); len(dead) > 0 {
					t.Fatalf("fault of %v: %d agents that answer every hello count as dead", fault, len(dead))
				}
			}
		}
		play(5*time.Second, false)
		play(fault, true)
		play(6*time.Second, false)
	}
}

func balancerOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 1, byte(i)}), 7720)
}

// Guards against callers of a dead host's flows that get no reset while agents restart as
// planned in waves: each wave looked like a fault of the balancer's own, at whose end silence
// is measured anew.
func TestDeadHostIsNoticedBesidePlannedRestarts(t *testing.T) {
	is := is.New(t)
	const agents, waveInterval, away = 12, 1500 * time.Millisecond, 600 * time.Millisecond
	s := newSteerer(testView(agents))
	at, deadAt := start, time.Duration(0)
	for at.Before(start.Add(10*time.Second)) && deadAt == 0 {
		at = at.Add(timerStep)
		s.SetView(s.view, view.Confirmations{Members: at})
		restarting := at.Sub(start)%waveInterval < away
		for i := range agents - 1 { // the last one is dead
			m := hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)}
			m.Load.Stopping = i < 3 && restarting
			if i >= 3 || !restarting || at.Sub(start)%waveInterval < timerStep {
				s.HelloAck(at, &m)
			}
		}
		s.Tick(at)
		if len(s.agents.dead()) > 0 {
			deadAt = at.Sub(start)
		}
	}
	is.True(deadAt > deadAfter)
	is.True(deadAt < 2*deadAfter)
}

// Guards against agents of a failure domain that count as dead because the path to it was cut:
// when it heals, one of them answers, and the silence of the others was that of the path.
func TestDomainThatHealsIsNotDead(t *testing.T) {
	const agents, domains = 40, 5
	v := testView(agents)
	for i := range agents {
		name := fmt.Sprintf("agent-%d", i)
		m := v.Members.ByName[name]
		m.Domain = fmt.Sprintf("domain-%d", i%domains)
		v.Members.ByName[name] = m
	}
	s := newSteerer(v)
	at := start
	play := func(d time.Duration, isCut bool) {
		for end := at.Add(d); at.Before(end); {
			at = at.Add(timerStep)
			s.SetView(v, view.Confirmations{Members: at})
			for _, a := range s.Tick(at) {
				if agent := s.agents.byAddress[a.To]; agent == nil || !isCut || agent.member.Domain != "domain-1" {
					s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: a.To})
				}
				if dead := s.agents.dead(); len(dead) > 0 {
					t.Fatalf("%d agents beyond the cut path count as dead", len(dead))
				}
			}
		}
	}
	play(5*time.Second, false)
	play(6*time.Second, true)
	play(3*time.Second, false)
}
