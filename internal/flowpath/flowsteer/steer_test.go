package flowsteer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

var (
	self  = netip.MustParseAddrPort("10.1.0.10:7720")
	route = netip.MustParseAddrPort("198.18.0.1:8443")
	start = time.Unix(1_790_000_000, 0)
)

func agentAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), 8172)
}

// testView returns a view with n agents of comptoir with 9 slots each, spread over
// three failure domains, and a balancer in failure domain b.
func testView(n int) view.View {
	v := view.View{
		Configuration: view.Configuration{Revision: 1, Routes: map[netip.AddrPort]view.Route{
			route: {Address: route, Targets: []view.Target{{Service: "comptoir", Weight: 1}}},
		}},
		Evacuations: view.Evacuations{Revision: 1, Domains: map[string]bool{}},
		Members:     view.Members{Revision: 1, ByName: map[string]view.Member{}},
	}
	for i := range n {
		m := view.Member{
			Name: fmt.Sprintf("agent-%d", i), Role: view.AgentRole, Domain: []string{"a", "b", "c"}[i%3],
			Address: agentAddress(i), Service: "comptoir", Slots: 9, State: view.Ready,
		}
		v.Members.ByName[m.Name] = m
	}
	remote := netip.MustParseAddrPort("10.2.0.10:7720")
	v.Members.ByName["balancer-b"] = view.Member{Name: "balancer-b", Role: view.BalancerRole, Domain: "b", Address: remote}
	return v
}

// newSteerer returns a steerer of failure domain a whose view is current at start.
func newSteerer(v view.View) *Steerer {
	s := New(self, "a", Options{})
	s.SetView(v, view.Confirmations{Members: start})
	return s
}

// runTimers runs the timers of s up to the given time, as often as it takes for all
// of it to count.
func runTimers(s *Steerer, from, until time.Time) {
	for at := from; !at.After(until); at = at.Add(maxTickGap) {
		s.Tick(at)
	}
}

func callerPacket(port int, flags flow.Flags) flow.Packet {
	from := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port))
	return flow.Packet{From: from, To: route, Flags: flags, Ack: 77}
}

// placed returns the message that agent holds the flow of p.
func placed(p flow.Packet, agent netip.AddrPort, load hop.Load) *hop.Message {
	return &hop.Message{Type: hop.Placed, Key: p.CallerKey(), Agent: agent, Load: load}
}

// Guards against a new flow that waits until its caller sends a copy of the opening
// because the first candidate is dead.
func TestSilentAgentIsSkipped(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(4))
	first := s.FromCaller(start, callerPacket(1, flow.Open), []byte("syn"))
	is.Equal(first.Verdict, Send)
	var again []Action
	for _, a := range s.Tick(start.Add(placementTimeout)) {
		if a.Message.Type == hop.Forward {
			again = append(again, a)
		}
	}
	is.Equal(len(again), 1)
	is.True(again[0].To != first.To)
	is.Equal(string(again[0].Message.Packet), "syn")
}

// Guards against openings that go to agents which must not get new flows.
func TestOpeningsAvoidLeavingAndEvacuatedAgents(t *testing.T) {
	is := is.New(t)
	v := testView(6)
	m := v.Members.ByName["agent-1"]
	m.State = view.Leaving
	v.Members.ByName["agent-1"] = m
	v.Evacuations.Domains["a"] = true
	s := newSteerer(v)
	for port := range 100 {
		a := s.FromCaller(start, callerPacket(port+1, flow.Open), nil)
		for _, c := range a.Message.Candidates {
			is.True(c != agentAddress(0) && c != agentAddress(3)) // failure domain a
			is.True(c != agentAddress(1))                         // leaving
		}
	}
}

// Guards against a caller that waits until its deadline although no agent may
// accept its flow.
func TestOpeningWithoutCandidatesIsResetAtOnce(t *testing.T) {
	is := is.New(t)
	v := testView(3)
	v.Evacuations.Domains = map[string]bool{"a": true, "b": true, "c": true}
	a := newSteerer(v).FromCaller(start, callerPacket(1, flow.Open), nil)
	is.Equal(a.Verdict, Reset)
	is.Equal(a.Kind, errkind.PacketNoAgent)
}

// Guards against a reset while one of two lists of candidates is unanswered, as its
// first agent may have accepted the flow, and against a caller that waits although
// both were declined.
func TestOpeningIsResetWhenAllListsAreDeclined(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	p := callerPacket(1, flow.Open)
	first := s.FromCaller(start, p, []byte("syn"))
	second := forwardActions(s.Tick(start.Add(placementTimeout)))
	is.Equal(len(second), 1)
	is.Equal(s.Declined(start, p, &second[0].Message)[0].Verdict, Drop)
	is.Equal(s.Declined(start, p, &first.Message)[0].Verdict, Reset)
}

// Guards against the reset of a flow that another balancer opened: a copy of the
// opening came to a balancer without a route or candidates for it.
func TestCopyOfOpeningIsNotReset(t *testing.T) {
	evacuated := testView(3)
	evacuated.Evacuations.Domains = map[string]bool{"a": true, "b": true, "c": true}
	withoutRoute := testView(3)
	clear(withoutRoute.Configuration.Routes)
	for name, v := range map[string]view.View{"no candidates": evacuated, "no route": withoutRoute} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := callerPacket(1, flow.Open)
			is.Equal(newSteerer(v).FromCaller(start, p, nil).Verdict, Reset)
			p.Age = flow.OpeningCopyDelay
			is.Equal(newSteerer(v).FromCaller(start, p, nil).Verdict, Drop)
		})
	}
}

// Guards against the reset of a flow that another balancer opened by a copy of the
// opening, before the candidates declined an earlier copy or another copy.
func TestLateRefusalOfOpeningIsNoReset(t *testing.T) {
	verdict := func(age, after time.Duration) Verdict {
		s := newSteerer(testView(3))
		p := callerPacket(1, flow.Open)
		p.Age = age
		a := s.FromCaller(start, p, []byte("syn"))
		p.Age = 0 // a message may return an earlier copy
		return s.Declined(start.Add(after), p, &a.Message)[0].Verdict
	}
	is := is.New(t)
	is.Equal(verdict(0, flow.OpeningCopyDelay-time.Millisecond), Reset)
	is.Equal(verdict(0, flow.OpeningCopyDelay), Drop)
	is.Equal(verdict(flow.OpeningCopyDelay, 0), Drop)

	// The balancer gets the opening late, and a copy before the candidates decline.
	s := newSteerer(testView(3))
	p := callerPacket(1, flow.Open)
	first := s.FromCaller(start, p, []byte("syn"))
	p.Age = flow.OpeningCopyDelay
	second := s.FromCaller(start.Add(time.Millisecond), p, []byte("syn"))
	is.Equal(s.Declined(start.Add(2*time.Millisecond), p, &first.Message)[0].Verdict, Drop)
	is.Equal(s.Declined(start.Add(2*time.Millisecond), p, &second.Message)[0].Verdict, Drop)
}

// Guards against packets without a route that reach a service, and against resets
// before the configuration is known.
func TestUnknownRoutes(t *testing.T) {
	is := is.New(t)
	p := callerPacket(1, flow.Open)
	p.To = netip.MustParseAddrPort("198.18.9.9:1")
	is.Equal(newSteerer(testView(3)).FromCaller(start, p, nil).Verdict, Reset)
	is.Equal(New(self, "a", Options{}).FromCaller(start, p, nil).Verdict, Drop)
}

// Guards against the reset of a flow that another balancer opened by a newer
// configuration, which added its route, also if it was dropped before, and against
// flows of a dropped route that go on.
func TestFlowsOfAddedRouteAreNotReset(t *testing.T) {
	added := netip.MustParseAddrPort("198.18.0.2:8443")
	p := callerPacket(1, flow.Ack)
	p.To = added
	t.Run("held", func(t *testing.T) {
		is := is.New(t)
		s := newSteerer(testView(3))
		is.Equal(s.FromCaller(start, p, nil).Verdict, Send)
		s.Placed(start, placed(p, agentAddress(1), hop.Load{}))
		is.Equal(s.FromCaller(start, p, nil).To, agentAddress(1))
	})
	t.Run("held nowhere", func(t *testing.T) {
		is := is.New(t)
		s := newSteerer(testView(3))
		is.Equal(denyByAllAsked(s, start, p, s.FromCaller(start, p, nil), ignoreCandidates).Verdict, Reset)
	})
	t.Run("dropped", func(t *testing.T) {
		is := is.New(t)
		v := testView(3)
		v.Configuration.Routes[added] = view.Route{Address: added, Targets: []view.Target{{Service: "comptoir", Weight: 1}}}
		s := newSteerer(v)
		is.Equal(s.FromCaller(start, p, nil).Verdict, Send)
		dropped := testView(3)
		dropped.Configuration.Revision = 2
		s.SetView(dropped, view.Confirmations{Members: start})
		// The route may have been added again, and the flow opened since.
		is.True(s.FromCaller(start, p, nil).Verdict != Reset)
		s.SetView(dropped, view.Confirmations{Members: start, Configuration: start.Add(-time.Millisecond)})
		is.True(s.FromCaller(start.Add(time.Second), p, nil).Verdict != Reset)
		s.SetView(dropped, view.Confirmations{Members: start, Configuration: start})
		a := s.FromCaller(start.Add(time.Second), p, nil)
		is.Equal(a.Verdict, Reset)
		is.Equal(a.Kind, errkind.PacketNoRoute)
		other := p
		other.From = callerPacket(2, flow.Ack).From
		is.True(s.FromCaller(start.Add(time.Second), other, nil).Verdict != Reset)
		v.Configuration.Revision = 3
		s.SetView(v, view.Confirmations{Members: start})
		is.True(s.FromCaller(start.Add(time.Second), p, nil).Verdict != Reset)
	})
}

// Guards against balancers that choose different services for one flow, and
// against shares of flows that differ from the weights of the route.
func TestRouteWeightsSplitFlows(t *testing.T) {
	is := is.New(t)
	v := testView(3)
	m := v.Members.ByName["agent-0"]
	m.Service = "nuancier"
	v.Members.ByName["agent-0"] = m
	v.Configuration.Routes[route] = view.Route{Address: route, Targets: []view.Target{{Service: "comptoir", Weight: 3}, {Service: "nuancier", Weight: 1}}}
	one, two := newSteerer(v), newSteerer(v)
	nuancierFlows := 0
	const flows = 2000
	for port := range flows {
		a, b := one.FromCaller(start, callerPacket(port+1, flow.Open), nil), two.FromCaller(start, callerPacket(port+1, flow.Open), nil)
		is.Equal(a.Service, b.Service)
		if a.Service == "nuancier" {
			nuancierFlows++
		}
	}
	is.True(nuancierFlows > flows/5 && nuancierFlows < flows*3/10)
}

// Guards against a flow that was opened through another balancer and whose agent
// this one doesn't find.
func TestLookupAsksEveryAgent(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(20))
	p := callerPacket(1, flow.Ack)
	asked := map[netip.AddrPort]bool{}
	a := denyByAllAsked(s, start, p, s.FromCaller(start, p, nil), func(list []netip.AddrPort) {
		for _, c := range list {
			is.True(!asked[c])
			asked[c] = true
		}
	})
	is.Equal(len(asked), 20)
	is.Equal(a.Verdict, Reset) // no agent holds it
}

// Guards against the reset of a flow that may be held by an agent which this
// balancer doesn't know or reach.
func TestFlowIsResetOnlyWithCompleteKnowledge(t *testing.T) {
	verdictAfterDenials := func(s *Steerer, at time.Time) Verdict {
		p := callerPacket(1, flow.Ack)
		return denyByAllAsked(s, at, p, s.FromCaller(at, p, nil), ignoreCandidates).Verdict
	}
	t.Run("view out of date", func(t *testing.T) {
		is := is.New(t)
		s := newSteerer(testView(3))
		s.SetView(testView(3), view.Confirmations{Members: start.Add(-maxViewAge - time.Second)})
		is.Equal(verdictAfterDenials(s, start), Keep)
	})
	t.Run("an agent doesn't answer", func(t *testing.T) {
		is := is.New(t)
		s := newSteerer(testView(3))
		runTimers(s, start.Add(-time.Second), start.Add(-time.Second/2))
		is.Equal(verdictAfterDenials(s, start), Keep)
	})
	t.Run("members were last known before the flow may have been opened", func(t *testing.T) {
		is := is.New(t)
		s := newSteerer(testView(3))
		at := start.Add(maxViewAge + time.Millisecond)
		is.Equal(verdictAfterDenials(s, at), Keep)
		is.Equal(countResets(s.Tick(at.Add(200*time.Millisecond))), 0)
		s.SetView(testView(3), view.Confirmations{Members: at})
		is.Equal(countResets(s.Tick(at.Add(250*time.Millisecond))), 1)
	})
}

// Guards against a flow that is not looked up again after its cached agent has
// lost it.
func TestStaleHolderStartsLookup(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(5))
	p := callerPacket(1, flow.Ack)
	s.Placed(start, placed(p, agentAddress(3), hop.Load{}))
	a := s.FromCaller(start, p, nil)
	is.Equal(a.To, agentAddress(3))
	is.Equal(len(a.Message.Candidates), 1)
	a = s.Declined(start, p, &a.Message)[0]
	is.Equal(a.Verdict, Send)
	is.Equal(len(a.Message.Candidates), 5)
}

// Guards against lookups and openings that stop at an agent whose process restarts. A
// retried lookup reached the backend servers of the agents before it again, and not
// the one that held the flow (issue 17).
func TestRestartingAgentIsAskedLast(t *testing.T) {
	const agents, restarting = 8, 5
	v := testView(agents)
	m := v.Members.ByName["agent-5"]
	m.Restarting = true
	v.Members.ByName["agent-5"] = m
	s := newSteerer(v)
	for port := range 20 {
		for _, flags := range []flow.Flags{flow.Open, flow.Ack} {
			is := is.New(t)
			candidates := s.FromCaller(start, callerPacket(port+1, flags), nil).Message.Candidates
			is.Equal(len(candidates), agents)
			is.Equal(candidates[agents-1], agentAddress(restarting))
		}
	}
}

// Guards against agents that get far more than their share of flows when all
// callers reconnect at the same time, as after a power cut, through four balancers
// that don't know each other's choices.
func TestReconnectingCallersAreSpread(t *testing.T) {
	is := is.New(t)
	const agents, flows, balancers = 7, 420, 4
	counts := map[netip.AddrPort]int{}
	var all []*Steerer
	for range balancers {
		all = append(all, newSteerer(testView(agents)))
	}
	for port := range flows {
		s := all[port%balancers]
		now := start.Add(time.Duration(port) * time.Millisecond)
		a := s.FromCaller(now, callerPacket(port+1, flow.Open), nil)
		counts[a.To]++
		s.Placed(now, placed(callerPacket(port+1, flow.Open), a.To, hop.Load{Flows: uint16(counts[a.To]), Slots: 9}))
	}
	for _, n := range counts {
		is.True(n <= flows/agents*110/100)
	}
}

// Guards against new flows for an agent whose requests queue up while the other
// agents are idle.
func TestBusyAgentGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(4))
	s.HelloAck(start, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(2), Load: hop.Load{InProgress: 18, Slots: 9}})
	for port := range 40 {
		a := s.FromCaller(start, callerPacket(port+1, flow.Open), nil)
		is.True(a.To != agentAddress(2))
	}
}

// Guards against a balancer that stays in the rotation although it is cut off, and
// against one that leaves the rotation because the agents are down.
func TestIsolation(t *testing.T) {
	is := is.New(t)
	v := testView(4)
	s := newSteerer(v)
	remote := v.Members.ByName["balancer-b"].Address
	s.HelloAck(start, &hop.Message{Type: hop.HelloAck, Agent: remote})
	runTimers(s, start, start.Add(200*time.Millisecond))
	is.True(s.Isolated())
	s.HelloAck(start, &hop.Message{Type: hop.HelloAck, Agent: remote})
	is.True(!s.Isolated()) // the agents are down, not this balancer
}

// Guards against an agent that is skipped because the order of the lookup changed
// between two rounds. A flow that it holds would be reset.
func TestLookupKeepsItsOrder(t *testing.T) {
	is := is.New(t)
	silent := agentAddress(7)
	answer := func(s *Steerer, i int) {
		s.HelloAck(start, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)})
	}
	for port := range 20 {
		s := newSteerer(testView(20))
		// At first one agent doesn't answer, so it is asked last.
		for at := start.Add(-time.Second); !at.After(start.Add(-time.Second / 2)); at = at.Add(maxTickGap) {
			s.Tick(at)
			for i := range 20 {
				if agentAddress(i) != silent {
					answer(s, i)
				}
			}
		}
		asked := false
		p := callerPacket(port+1, flow.Ack)
		a := s.FromCaller(start, p, nil)
		answer(s, 7)
		a = denyByAllAsked(s, start, p, a, func(list []netip.AddrPort) { asked = asked || slices.Contains(list, silent) })
		is.True(asked || a.Verdict == Keep)
	}
}

// Guards against a balancer that stays out of the rotation after a power cut
// because the other hosts start a little later.
func TestNewBalancerIsNotIsolated(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(4))
	runTimers(s, start, start.Add(200*time.Millisecond))
	is.True(!s.Isolated())
}

// silenceAgent makes all agents but one answer hellos for 4 s until the given time.
func silenceAgent(s *Steerer, agents, silent int, until time.Time) {
	for at := until.Add(-4 * time.Second); at.Before(until); at = at.Add(100 * time.Millisecond) {
		s.Tick(at)
		for i := range agents {
			if i != silent {
				s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)})
			}
		}
	}
}

// Guards against callers that wait until their deadlines because one host is gone
// while its member is still announced. After a power cut no agent holds any of the
// earlier flows.
func TestDeadAgentDoesNotDelayReset(t *testing.T) {
	is := is.New(t)
	for port := range 10 {
		s := newSteerer(testView(12))
		silenceAgent(s, 12, 5, start)
		p := callerPacket(port+1, flow.Ack)
		a := denyByAllAsked(s, start, p, s.FromCaller(start, p, nil), func(list []netip.AddrPort) {
			is.True(!slices.Contains(list, agentAddress(5))) // a dead agent would not pass the packet on
		})
		is.Equal(a.Verdict, Reset)
	}
}

// Guards against packets that go to a dead agent for as long as it is cached as the
// holder.
func TestDeadHolderIsForgotten(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(12))
	p := callerPacket(1, flow.Ack)
	s.Placed(start.Add(-5*time.Second), placed(p, agentAddress(5), hop.Load{}))
	silenceAgent(s, 12, 5, start)
	a := s.FromCaller(start, p, nil)
	is.True(a.To != agentAddress(5))
	is.True(a.Message.ReportHolder)
}

// Guards against resets of flows that are open in a failure domain which this
// balancer can't reach.
func TestFlowsOfUnreachableDomainAreNotReset(t *testing.T) {
	is := is.New(t)
	v := testView(9)
	s := newSteerer(v)
	for at := start.Add(-4 * time.Second); at.Before(start); at = at.Add(100 * time.Millisecond) {
		s.Tick(at)
		for i := range 9 {
			if i%3 != 1 { // failure domain b doesn't answer
				s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)})
			}
		}
	}
	for port := range 10 {
		p := callerPacket(port+1, flow.Ack)
		s.Placed(start, placed(p, agentAddress(0), hop.Load{}))
		a := denyByAllAsked(s, start, p, s.FromCaller(start, p, nil), ignoreCandidates)
		is.Equal(a.Verdict, Keep)
	}
}

// Guards against the reset of a flow whose agent restarts while its backend server
// holds the flow, also by a balancer that started during the restart.
func TestRestartingAgentIsNotDead(t *testing.T) {
	const agents, silent = 12, 5
	verdict := func(restarting bool, since, silence time.Duration) Verdict {
		v := testView(agents)
		m := v.Members.ByName["agent-5"]
		m.Restarting = restarting
		v.Members.ByName["agent-5"] = m
		s := newSteerer(v)
		end := start.Add(since + silence)
		for at := start; at.Before(end); at = at.Add(100 * time.Millisecond) {
			s.Tick(at)
			for i := range agents {
				if i != silent || at.Before(start.Add(since)) {
					s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)})
				}
			}
		}
		s.SetView(v, view.Confirmations{Members: end})
		p := callerPacket(1, flow.Ack)
		return denyByAllAsked(s, end, p, s.FromCaller(end, p, nil), ignoreCandidates).Verdict
	}
	for _, c := range []struct {
		name           string
		restarting     bool
		since, silence time.Duration
		want           Verdict
	}{
		{"balancer started during the restart", true, 0, time.Second, Keep},
		{"slow restart", true, time.Second, deadAfter + time.Second, Keep},
		{"restart that never ends", true, time.Second, restartTimeout + time.Second, Reset},
		{"agent gone before the balancer started", false, 0, deadAfter + time.Second, Reset},
		{"agent gone", false, time.Second, deadAfter + time.Second, Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(verdict(c.restarting, c.since, c.silence), c.want)
		})
	}
}

// Guards against resets by a balancer that was stalled: the answers to its hellos
// lie unread in its socket while the clock runs on.
func TestStallProvesNothingAboutAgents(t *testing.T) {
	const agents, slow = 12, 5
	const stall = deadAfter + time.Second
	// reached returns a steerer that all agents answered up to start, except the slow
	// one, which has left its last hello unanswered for the given time.
	reached := func(unanswered time.Duration) *Steerer {
		s := newSteerer(testView(agents))
		for at := start.Add(-time.Second); !at.After(start); at = at.Add(20 * time.Millisecond) {
			s.Tick(at)
			for i := range agents {
				if i != slow || !at.After(start.Add(-unanswered)) {
					s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)})
				}
			}
		}
		return s
	}
	deny := func(s *Steerer, at time.Time) Verdict {
		s.SetView(testView(agents), view.Confirmations{Members: at})
		p := callerPacket(1, flow.Ack)
		return denyByAllAsked(s, at, p, s.FromCaller(at, p, nil), ignoreCandidates).Verdict
	}
	t.Run("packet before timer", func(t *testing.T) {
		is := is.New(t)
		s := reached(600 * time.Millisecond)
		is.Equal(deny(s, start.Add(stall)), Keep)
	})
	t.Run("timer before answers", func(t *testing.T) {
		is := is.New(t)
		s := reached(600 * time.Millisecond)
		after := start.Add(stall)
		s.Tick(after)
		for i := range agents {
			if i != slow { // its answer is the last in the socket
				s.HelloAck(after, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)})
			}
		}
		is.Equal(deny(s, after), Keep)
	})
	t.Run("agents don't become suspect", func(t *testing.T) {
		is := is.New(t)
		s := reached(0)
		s.Tick(start.Add(300 * time.Millisecond)) // sends hellos
		s.Tick(start.Add(300*time.Millisecond + stall))
		is.Equal(s.agents.suspectCount(), 0)
	})
	t.Run("later silence counts", func(t *testing.T) {
		is := is.New(t)
		s := reached(600 * time.Millisecond)
		at := start.Add(stall)
		for ; at.Before(start.Add(stall + deadAfter)); at = at.Add(20 * time.Millisecond) {
			s.Tick(at)
			for i := range agents {
				if i != slow {
					s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)})
				}
			}
		}
		is.Equal(deny(s, at), Reset)
	})
}

// Guards against the reset of a flow because one or two datagrams were lost: a
// balancer in a large installation sends a hello to each agent only every few
// seconds, and took a lost one for the silence of an agent until the next.
func TestLostHellosProveNothing(t *testing.T) {
	for _, c := range []struct {
		name         string
		agents, lost int
		heard        bool
	}{
		{"one lost after the start of the balancer", 60, 1, false},
		{"two lost after the start of the balancer", 60, 2, false},
		{"one lost in a large installation", 150, 1, true},
		{"two lost in a large installation", 150, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSteerer(testView(c.agents))
			lossy, lost, heard := agentAddress(5), 0, false
			for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(20 * time.Millisecond) {
				for _, a := range s.Tick(at) {
					if a.Message.Type != hop.Hello {
						continue
					}
					if a.To == lossy && lost < c.lost && (heard || !c.heard) {
						lost++
						continue
					}
					heard = heard || a.To == lossy
					s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: a.To})
				}
				is.Equal(len(s.agents.dead()), 0) // no hello or one or two are unanswered
			}
			is.Equal(lost, c.lost)
		})
	}
}

// Guards against the reset of a flow whose agent was busy for 0.8 s, for example with
// sending a large configuration to the balancer that has just started.
func TestBusyAgentIsNotDeadForNewBalancer(t *testing.T) {
	is := is.New(t)
	const agents = 6
	s := newSteerer(testView(agents))
	p := callerPacket(1, flow.Ack)
	at := start
	for ; at.Before(start.Add(850 * time.Millisecond)); at = at.Add(20 * time.Millisecond) {
		s.Tick(at)
		for i := 1; i < agents; i++ {
			s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)})
		}
	}
	is.Equal(denyByAllAsked(s, at, p, s.FromCaller(at, p, nil), ignoreCandidates).Verdict, Keep)
}

// Guards against a reset of a flow whose agent has just got a copy of the opening, by
// the late refusal of the candidates of an earlier copy.
func TestLateRefusalOfEarlierOpeningResetsNothing(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	p := callerPacket(1, flow.Open)
	first := s.FromCaller(start, p, []byte("syn"))
	second := forwardActions(s.Tick(start.Add(placementTimeout)))
	is.Equal(len(second), 1)
	s.Placed(start.Add(100*time.Millisecond), placed(p, first.To, hop.Load{}))
	copyAt := start.Add(200 * time.Millisecond)
	is.Equal(s.FromCaller(copyAt, p, []byte("syn")).To, first.To)
	is.Equal(s.Declined(copyAt.Add(time.Millisecond), p, &second[0].Message)[0].Verdict, Drop)
}

// Guards against a packet that is lost because it was on its way to a wrong holder when
// the lookup for an earlier packet started.
func TestPacketsSentToWrongHolderReachTheHolder(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	p := callerPacket(1, flow.Ack)
	p.Length = 10
	s.Placed(start, placed(p, agentAddress(0), hop.Load{}))
	first := s.FromCaller(start, p, []byte("1"))
	second := s.FromCaller(start, p, []byte("2"))
	is.Equal(second.To, agentAddress(0))
	s.Declined(start, p, &hop.Message{Type: hop.Declined, Candidates: first.Message.Candidates, Packet: []byte("1")})
	sent := s.Declined(start, p, &hop.Message{Type: hop.Declined, Candidates: second.Message.Candidates, Packet: []byte("2")})
	sent = append(sent, s.Placed(start, placed(p, agentAddress(1), hop.Load{}))...)
	is.Equal(len(forwardActions(sent)), 1)
	is.Equal(string(forwardActions(sent)[0].Message.Packet), "2")
}

// Guards against a balancer with a narrow link or little processor time that stays
// overloaded by its own hellos, because the answers of all nodes are late.
func TestManySuspectAgentsGetHellosAtABoundedRate(t *testing.T) {
	is := is.New(t)
	const agents = 150
	s := newSteerer(testView(agents))
	hellos := 0
	const seconds = 10
	for at := start; at.Before(start.Add(seconds * time.Second)); at = at.Add(20 * time.Millisecond) {
		for _, a := range s.Tick(at) {
			if a.Message.Type == hop.Hello {
				hellos++
			}
		}
	}
	// All nodes get one at the start and another as soon as they are suspect.
	is.True(hellos <= 2*(agents+1)+seconds*helloRate*11/10)
}

// Guards against the reset of an open flow: a balancer without processor time reads the
// first opening late, and by then a copy through another balancer has opened the flow.
func TestOpeningReadAfterAStallIsNotReset(t *testing.T) {
	is := is.New(t)
	resumed := start.Add(time.Second)
	reject := func(s *Steerer, at time.Time) Verdict {
		is.Equal(s.FromCaller(at, callerPacket(1, flow.Open), []byte("data")).Kind, errkind.PacketNoAgent)
		return s.FromCaller(at, callerPacket(1, flow.Open), []byte("data")).Verdict
	}
	s := newSteerer(testView(0))
	s.Tick(start)
	is.Equal(reject(s, start.Add(maxTickGap)), Reset)
	is.Equal(reject(s, resumed), Drop) // the timers run next
	s.Tick(resumed)
	is.Equal(reject(s, resumed), Drop) // other packets lie unread before it
	for at := resumed; !at.After(resumed.Add(flow.OpeningCopyDelay)); at = at.Add(maxTickGap) {
		s.Tick(at)
	}
	is.Equal(reject(s, resumed.Add(flow.OpeningCopyDelay)), Reset)
	delete(s.view.Configuration.Routes, route)
	is.Equal(s.FromCaller(resumed.Add(time.Second), callerPacket(1, flow.Open), nil).Verdict, Drop) // no route yet
}
