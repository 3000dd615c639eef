package flowsteer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// timerStep is the time between two calls of Tick in tests that need its real period.
const timerStep = 20 * time.Millisecond

// Guards against an agent that is back after its restart but is asked for its flows
// after all others until the store has spread its next write: agents that learn offer
// packets of these flows to their backend servers before.
func TestAgentBackFromRestartIsAskedInOrder(t *testing.T) {
	is := is.New(t)
	const agents = 20
	p := callerPacket(1, flow.Ack)
	p.Length = 10
	want := newSteerer(testView(agents)).FromCaller(start, p, nil).Message.Candidates
	v := testView(agents)
	for name, m := range v.Members.ByName {
		if m.Address == want[0] {
			m.Restarting = true
			v.Members.ByName[name] = m
		}
	}
	s := newSteerer(v)
	ack := hop.Message{Type: hop.HelloAck, Agent: want[0], Load: hop.Load{Stopping: true}}
	s.HelloAck(start, &ack)
	is.True(s.FromCaller(start, p, nil).To != want[0])
	ack.Load.Stopping = false
	s.HelloAck(start, &ack)
	clear(s.lookups)
	is.Equal(s.FromCaller(start, p, nil).Message.Candidates, want)
}

// Guards against lookups that never reach the agent of a flow at a balancer whose link is
// full: while many agents are silent, that proves nothing about any of them.
func TestManySilentAgentsAreAskedForFlows(t *testing.T) {
	is := is.New(t)
	const agents, silent = 12, 4
	s := newSteerer(testView(agents))
	for at := start.Add(-4 * time.Second); at.Before(start); at = at.Add(maxTickGap) {
		s.Tick(at)
		for i := silent; i < agents; i++ {
			s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)})
		}
	}
	is.True(s.agents.manySuspect())
	asked := map[netip.AddrPort]bool{}
	p := callerPacket(1, flow.Ack)
	denyByAllAsked(s, start, p, s.FromCaller(start, p, nil), func(list []netip.AddrPort) {
		for _, agent := range list {
			asked[agent] = true
		}
	})
	is.Equal(len(asked), agents)
}

// Guards against a request that is lost at the balancer because it comes while the
// acknowledgement before it is looked up: it replaces that packet in the lookup, and the
// agent answers the earlier packet before the timer sends the request.
func TestRequestBehindAcknowledgementIsSentOn(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(20))
	p := callerPacket(1, flow.Ack)
	asked := s.FromCaller(start, p, []byte("ack"))
	p.Length = 10
	is.Equal(s.FromCaller(start.Add(time.Millisecond), p, []byte("request")).Verdict, Keep)
	var sent []string
	for _, a := range s.Placed(start.Add(2*time.Millisecond), placed(p, asked.To, hop.Load{})) {
		sent = append(sent, string(a.Message.Packet))
	}
	is.Equal(sent, []string{"request"})
}

// Guards against packets that are offered to the backend servers of all learning agents
// because one datagram of a lookup was lost, while an agent knows the flow.
func TestRetryAsksForKnowledgeFirst(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(20))
	p := callerPacket(1, flow.Ack)
	p.Length = 10
	is.True(s.FromCaller(start, p, []byte("data")).Message.KnownOnly) // lost
	for _, a := range forwardActions(s.Tick(start.Add(lookupAnswerTimeout))) {
		is.True(a.Message.KnownOnly)
	}
}

// Guards against packets that are offered to the backend servers of agents outside the
// first list before the agent among them that knows the flow was asked.
func TestFurtherListsAreAskedForKnowledgeFirst(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(20))
	p := callerPacket(1, flow.Ack)
	p.Length = 10
	first := s.FromCaller(start, p, []byte("data"))
	for _, a := range forwardActions(s.Declined(start, p, &first.Message)) {
		is.True(a.Message.KnownOnly)
	}
}

// Guards against the reset of a flow whose agent learns and is outside the first list, and
// against messages with more candidates than one may list.
func TestUnsureAgentsOutsideTheFirstListOffer(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(24))
	p := callerPacket(1, flow.Ack)
	p.Length = 10
	first := s.FromCaller(start, p, []byte("data"))
	var offers []Action
	for _, a := range s.Declined(start, p, &first.Message) {
		a.Message.Unsure = 1<<len(a.Message.Candidates) - 1
		offers = s.Declined(start, p, &a.Message)
	}
	is.Equal(len(offers), 2)
	var last []Action
	for _, a := range offers {
		is.True(!a.Message.KnownOnly)
		is.Equal(len(a.Message.Candidates), hop.MaxCandidates)
		last = s.Declined(start, p, &a.Message)
	}
	is.Equal(last[0].Verdict, Reset)
}

// denyByOthers makes all agents but one answer hellos and deny the flow of p. A list of
// candidates that contains that agent has no answer. It returns the number of resets.
func denyByOthers(s *Steerer, at time.Time, due []Action, silent netip.AddrPort, p flow.Packet) int {
	resets := 0
	for len(due) > 0 {
		a := due[0]
		due = due[1:]
		switch {
		case a.Verdict == Reset:
			resets++
		case a.Verdict != Send:
		case a.Message.Type == hop.Hello && a.To != silent:
			s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: a.To})
		case a.Message.Type == hop.Forward && !slices.Contains(a.Message.Candidates, silent):
			due = append(due, s.Declined(at, p, &a.Message)...)
		}
	}
	return resets
}

// Guards against the reset of a flow whose agent restarts and has announced that: the view
// was current when the lookup started, as it was 1.9 s old, but older than the
// announcement, so the agent counted as dead after 2 s. The first hello may be lost by
// itself, before the announcement.
func TestSilenceThatTheViewMayNotExplain(t *testing.T) {
	const lookupAt = 1900 * time.Millisecond
	for confirmedAfter, want := range map[time.Duration]int{0: 0, minSuspectHelloInterval: 0, time.Second: 1} {
		t.Run(confirmedAfter.String(), func(t *testing.T) {
			is := is.New(t)
			s := newSteerer(testView(20))
			p := callerPacket(1, flow.Ack)
			p.Length = 10
			silent := s.FromCaller(start, p, nil).To
			clear(s.lookups)
			for at := start.Add(-3 * time.Second); at.Before(start); at = at.Add(timerStep) {
				denyByOthers(s, at, s.Tick(at), netip.AddrPort{}, p)
			}
			s.agents.byAddress[silent].nextHello = start
			resets := 0
			for at := start; at.Before(start.Add(3 * time.Second)); at = at.Add(timerStep) {
				s.SetView(s.view, view.Confirmations{Members: start.Add(min(at.Sub(start), confirmedAfter))})
				due := s.Tick(at)
				if at.Equal(start.Add(lookupAt)) {
					due = append(due, s.FromCaller(at, p, []byte("data")))
				}
				resets += denyByOthers(s, at, due, silent, p)
			}
			is.Equal(resets, want)
		})
	}
}

// Guards against the reset of a flow whose agent restarts as planned for longer than 2 s
// while the store doesn't answer, so that no view announces the restart: the agent's last
// message does. Once its next process has answered, 2 s of silence count again.
func TestRestartThatOnlyTheAgentAnnounced(t *testing.T) {
	const restart = 4 * time.Second
	for name, nextAnswered := range map[string]bool{"restarts": false, "next process has answered": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSteerer(testView(20))
			p := callerPacket(1, flow.Ack)
			p.Length = 10
			silent := s.FromCaller(start, p, nil).To
			s.Placed(start, placed(p, silent, hop.Load{}))
			s.HelloAck(start, &hop.Message{Type: hop.HelloAck, Agent: silent, Load: hop.Load{Refusing: true, Stopping: true}})
			if nextAnswered {
				s.HelloAck(start, &hop.Message{Type: hop.HelloAck, Agent: silent})
			}
			resets := 0
			for at := start; at.Before(start.Add(restart)); at = at.Add(timerStep) {
				s.SetView(s.view, view.Confirmations{Members: at})
				due := s.Tick(at)
				if at.Sub(start)%(200*time.Millisecond) == 0 {
					due = append(due, s.FromCaller(at, p, []byte("data")))
				}
				resets += denyByOthers(s, at, due, silent, p)
			}
			is.Equal(resets > 0, nextAnswered)
		})
	}
}

// Guards against an opening that waits for an agent which is about to fall silent, because
// its refusal is more than 1 s old: it is tried after an agent that refuses.
func TestStoppingAgentIsTriedLast(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(2))
	s.HelloAck(start, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(0), Load: hop.Load{Stopping: true}})
	s.HelloAck(start, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(1), Load: hop.Load{Refusing: true}})
	for port := range 20 {
		is.Equal(s.FromCaller(start, callerPacket(port+1, flow.Open), nil).To, agentAddress(1))
	}
}
