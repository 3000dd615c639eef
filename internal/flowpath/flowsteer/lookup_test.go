package flowsteer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// denyByAllAsked makes every agent that is asked deny the flow of p, and returns
// the last decision of the steerer. It calls visit with each list of candidates.
func denyByAllAsked(s *Steerer, at time.Time, p flow.Packet, first Action, visit func([]netip.AddrPort)) Action {
	last, due := first, []Action{first}
	for len(due) > 0 {
		a := due[0]
		due = due[1:]
		if a.Verdict != Send {
			last = a
			continue
		}
		visit(a.Message.Candidates)
		due = append(due, s.Declined(at, p, &a.Message)...)
	}
	return last
}

// countResets returns the number of resets among actions.
func countResets(actions []Action) int {
	n := 0
	for _, a := range actions {
		if a.Verdict == Reset {
			n++
		}
	}
	return n
}

func ignoreCandidates([]netip.AddrPort) {}

// forwardActions returns the actions that forward a caller's packet.
func forwardActions(actions []Action) []Action {
	var out []Action
	for _, a := range actions {
		if a.Verdict == Send && a.Message.Type == hop.Forward {
			out = append(out, a)
		}
	}
	return out
}

// Guards against callers that get a reset only after they have retransmitted once
// more, up to 800 ms later. After a power cut all callers retransmit packets of
// flows that no agent holds, while agents come back one after the other.
func TestKeptPacketIsResetAsSoonAsAllAgentsAreKnown(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(12))
	s.SetView(testView(12), view.Confirmations{Members: start.Add(-maxViewAge - time.Second)})
	p := callerPacket(1, flow.Ack)
	is.Equal(denyByAllAsked(s, start, p, s.FromCaller(start, p, []byte("data")), ignoreCandidates).Verdict, Keep)
	is.Equal(countResets(s.Tick(start.Add(lookupRetryDelay))), 0)
	s.SetView(testView(12), view.Confirmations{Members: start.Add(-time.Second)})
	is.Equal(countResets(s.Tick(start.Add(2*lookupRetryDelay))), 1)
}

// Guards against the reset of a flow whose agent is in the view only after the
// first round of the lookup.
func TestLookupAsksAddedAgent(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	s.SetView(testView(3), view.Confirmations{Members: start.Add(-maxViewAge - time.Second)})
	p := callerPacket(1, flow.Ack)
	is.Equal(denyByAllAsked(s, start, p, s.FromCaller(start, p, []byte("data")), ignoreCandidates).Verdict, Keep)
	added := testView(4)
	added.Members.Revision++
	s.SetView(added, view.Confirmations{Members: start})
	due := s.Tick(start.Add(lookupRetryDelay))
	again := forwardActions(due)
	is.Equal(len(again), 1)
	is.Equal(countResets(due), 0)
	is.Equal(again[0].Message.Candidates, []netip.AddrPort{agentAddress(3)})
	is.Equal(string(again[0].Message.Packet), "data")
}

// Guards against a new agent that holds flows while it is missing from a
// balancer's view that still counts as fresh: the balancer resets them.
func TestNewAgentDelayExceedsMaxViewAge(t *testing.T) {
	if flowgate.NewAgentDelay <= maxViewAge {
		t.Fatalf("new agents accept flows after %v, but views count as fresh for %v", flowgate.NewAgentDelay, maxViewAge)
	}
}

// Guards against a lookup that stops without an answer at an agent that is down, and
// that stops there again when it is retried.
func TestUnansweredLookupIsRetried(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	s.FromCaller(start, callerPacket(1, flow.Ack), []byte("data"))
	is.Equal(len(forwardActions(s.Tick(start.Add(lookupAnswerTimeout/2)))), 0)
	again := forwardActions(s.Tick(start.Add(lookupAnswerTimeout)))
	is.Equal(len(again), 3) // each agent is asked by itself
	for _, a := range again {
		is.Equal(len(a.Message.Candidates), 1)
	}
}

// Guards against a lookup of a lost flow that is retried without end, and against
// one whose packet is never reported as dropped.
func TestLookupIsBounded(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	s.FromCaller(start, callerPacket(1, flow.Ack), []byte("data"))
	asked, dropped := 0, 0
	for at := start; at.Before(start.Add(3 * time.Second)); at = at.Add(10 * time.Millisecond) {
		due := s.Tick(at)
		asked += len(forwardActions(due))
		for _, a := range due {
			if a.Verdict == Drop {
				dropped++
			}
		}
	}
	is.True(asked <= 3*maxLookupRetries) // three agents
	is.Equal(dropped, 1)
}

// Guards against resets that are delayed because a host restarted: a member that
// is announced again is not a new agent.
func TestChangedMemberDoesNotDelayReset(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	v := testView(3)
	m := v.Members.ByName["agent-1"]
	m.Revision = 2
	v.Members.ByName["agent-1"] = m
	v.Members.Revision++
	s.SetView(v, view.Confirmations{Members: start})
	p := callerPacket(1, flow.Ack)
	is.Equal(denyByAllAsked(s, start, p, s.FromCaller(start, p, nil), ignoreCandidates).Verdict, Reset)
}

// Guards against packets of a flow that are reordered or lost during its lookup,
// and against a lookup for each of them.
func TestFurtherPacketsWaitForTheLookup(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(20))
	p := callerPacket(1, flow.Ack)
	is.Equal(s.FromCaller(start, p, []byte("1")).Verdict, Send)
	is.Equal(s.FromCaller(start, p, []byte("2")).Verdict, Keep)
	is.Equal(s.FromCaller(start, p, []byte("3")).Verdict, Keep)
	due := s.Placed(start, placed(p, agentAddress(4), hop.Load{}))
	is.Equal(len(due), 2)
	for i, a := range due {
		is.Equal(a.To, agentAddress(4))
		is.Equal(string(a.Message.Packet), string([]byte{byte('2' + i)}))
	}
}

// Guards against packets that reach the backend servers of other agents while an agent of
// the first list knows the flow, and against the reset of a flow that an agent holds
// without knowing it.
func TestAgentsOfferPacketsWhenNoneKnowsTheFlow(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(20))
	p := callerPacket(1, flow.Ack)
	p.Length = 10
	first := s.FromCaller(start, p, []byte("data"))
	is.True(first.Message.KnownOnly)
	answer := first.Message
	answer.Unsure = 1<<1 | 1<<3
	offers := s.Declined(start, p, &answer)
	is.Equal(len(offers), 1)
	is.True(!offers[0].Message.KnownOnly)
	is.Equal(offers[0].Message.Candidates, []netip.AddrPort{first.Message.Candidates[1], first.Message.Candidates[3]})
	// One of them passes the packet on because its backend server is silent.
	silent := offers[0].Message
	silent.Unsure = 1
	is.Equal(len(s.Declined(start, p, &silent)), 0)
	rest := s.Declined(start, p, &offers[0].Message)
	is.Equal(len(rest), 2)
	is.Equal(len(s.Declined(start, p, &rest[0].Message)), 0)
	is.Equal(s.Declined(start, p, &rest[1].Message)[0].Verdict, Reset)
}

// Guards against acknowledgements that reach the backend servers of other agents while
// the agent of their flow restarts: callers don't retransmit them, so that the flow's
// own backend server gets nothing until the next request.
func TestAcknowledgementIsNotOffered(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(20))
	p := callerPacket(1, flow.Ack)
	due := []Action{s.FromCaller(start, p, []byte("ack"))}
	due = append(due, forwardActions(s.Tick(start.Add(lookupAnswerTimeout)))...)
	var last []Action
	for _, a := range due[1:] {
		is.True(a.Message.KnownOnly)
		answer := a.Message
		answer.Unsure = 1
		last = s.Declined(start, p, &answer)
	}
	is.True(due[0].Message.KnownOnly)
	is.Equal(len(last), 1)
	is.Equal(last[0].Verdict, Drop) // an agent is unsure, so the flow isn't reset
	is.Equal(len(s.lookups), 0)
}

// Guards against packets that reach the backend servers of other agents again with
// each retry of a lookup: an agent whose denial was lost behind one that is down must
// not be asked more than once again.
func TestRetryLearnsDenialsBeforeAnAgentThatIsDown(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(60))
	p := callerPacket(1, flow.Ack)
	first := s.FromCaller(start, p, []byte("data"))
	down := first.Message.Candidates[hop.MaxCandidates-1]
	asked := map[netip.AddrPort]int{}
	for at := start.Add(lookupAnswerTimeout); at.Before(start.Add(lookupTimeout)); at = at.Add(20 * time.Millisecond) {
		for _, a := range forwardActions(s.Tick(at)) {
			for _, agent := range a.Message.Candidates {
				if agent == down {
					break
				}
				asked[agent]++
			}
			if !slices.Contains(a.Message.Candidates, down) {
				s.Declined(at, p, &a.Message)
			}
		}
	}
	is.Equal(len(asked), 59)
	for _, n := range asked {
		is.True(n <= 2)
	}
}

// Guards against lookups that ask one agent after the other, which took up to 90 ms
// for each flow when a power cut left a thousand flows without a holder among sixty
// agents.
func TestLookupOfLostFlowTakesTwoRounds(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(60))
	p := callerPacket(1, flow.Ack)
	first := s.FromCaller(start, p, nil)
	is.Equal(len(first.Message.Candidates), hop.MaxCandidates)
	rest := s.Declined(start, p, &first.Message)
	asked := 0
	for _, a := range rest {
		asked += len(a.Message.Candidates)
	}
	is.Equal(asked, 60-hop.MaxCandidates)
	for i, a := range rest {
		due := s.Declined(start, p, &a.Message)
		if i < len(rest)-1 {
			is.Equal(len(due), 0) // not all agents have answered
			continue
		}
		is.Equal(len(due), 1)
		is.Equal(due[0].Verdict, Reset)
	}
}

// Guards against a late denial by the agents of one list that overrides the holder
// in another list.
func TestLateDenialIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(20))
	p := callerPacket(1, flow.Ack)
	first := s.FromCaller(start, p, nil)
	rest := s.Declined(start, p, &first.Message)
	is.True(len(rest) > 1)
	holder := rest[0].To
	s.Placed(start, placed(p, holder, hop.Load{}))
	is.Equal(len(s.Declined(start, p, &rest[1].Message)), 0)
	is.Equal(s.FromCaller(start, p, nil).To, holder)
}

// Guards against resets of open flows by a balancer whose link is full, so that
// answers of many agents are lost and it takes them for dead one after the other
// (gelatines-tr-grown, scale-1 with seed 131941182070).
func TestBalancerWithManySilentAgentsResetsNoFlows(t *testing.T) {
	is := is.New(t)
	const agents, silent = 12, 4
	s := newSteerer(testView(agents))
	for at := start.Add(-4 * time.Second); at.Before(start); at = at.Add(100 * time.Millisecond) {
		s.Tick(at)
		for i := silent; i < agents; i++ {
			s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: agentAddress(i)})
		}
	}
	for port := range 20 {
		p := callerPacket(port+1, flow.Ack)
		is.Equal(denyByAllAsked(s, start, p, s.FromCaller(start, p, nil), ignoreCandidates).Verdict, Keep)
	}
	p := callerPacket(100, flow.Ack)
	s.Placed(start, placed(p, agentAddress(1), hop.Load{}))
	is.Equal(s.FromCaller(start, p, nil).To, agentAddress(1))
}

// Guards against a request that is dropped together with the lookup of an earlier
// acknowledgement, which the agent that holds the flow leaves unanswered after a
// restart.
func TestRequestReplacesAcknowledgementInLookup(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	p := callerPacket(1, flow.Ack)
	first := s.FromCaller(start, p, []byte("ack"))
	is.Equal(first.Verdict, Send)
	p.Length = 10
	is.Equal(s.FromCaller(start.Add(time.Second), p, []byte("request")).Verdict, Keep)
	sent := forwardActions(s.Tick(start.Add(time.Second + 20*time.Millisecond)))
	is.Equal(len(sent), 3) // to each agent
	for _, a := range sent {
		is.Equal(string(a.Message.Packet), "request")
	}
	for _, a := range s.Tick(start.Add(lookupTimeout + 100*time.Millisecond)) {
		is.True(a.Verdict != Drop)
	}
}

// answerAllBut lets every agent but one answer hellos and deny the flow of p, and returns
// the number of resets. A list of candidates ends unanswered at the silent agent.
func answerAllBut(s *Steerer, silent netip.AddrPort, at time.Time, p flow.Packet, due []Action) (resets int) {
	for len(due) > 0 {
		a := due[0]
		due = due[1:]
		switch {
		case a.Verdict == Reset:
			resets++
		case a.Verdict != Send || slices.Contains(a.Message.Candidates, silent) || a.To == silent:
		case a.Message.Type == hop.Hello:
			s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: a.To})
		default:
			due = append(due, s.Declined(at, p, &a.Message)...)
		}
	}
	return resets
}

// Guards against callers of lost flows that wait for seconds in a large fleet, whose
// balancers greet each agent rarely: a host is taken away without notice, and its silence
// delays the reset of every flow that may be there.
func TestSilentAgentOfLargeFleetIsNoticedByLookups(t *testing.T) {
	is := is.New(t)
	const agents, retransmission = 200, 400 * time.Millisecond
	s := newSteerer(testView(agents))
	silent := agentAddress(7)
	p := callerPacket(1, flow.Ack)
	p.Length = 10
	at := start
	step := func(first ...Action) int {
		at = at.Add(20 * time.Millisecond)
		s.SetView(testView(agents), view.Confirmations{Members: at})
		return answerAllBut(s, silent, at, p, append(first, s.Tick(at)...))
	}
	// All agents have answered a hello when the host is taken away.
	s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: silent})
	for range 5 {
		step()
		s.HelloAck(at, &hop.Message{Type: hop.HelloAck, Agent: silent})
	}
	asked, resets := at, 0
	for sent := at; resets == 0 && at.Sub(asked) < 10*time.Second; {
		if at.Sub(sent) < retransmission && at != asked {
			resets += step()
			continue
		}
		sent = at
		resets += step(s.FromCaller(at, p, []byte("data")))
	}
	is.Equal(resets, 1)
	is.True(at.Sub(asked) <= lookupAnswerTimeout+deadAfter+retransmission)
}

// Guards against a balancer that runs out of memory after a power cut, when the callers of
// thousands of lost flows retransmit whole windows of packets, and against one that keeps
// no packets ever after.
func TestPacketsThatWaitForLookupsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	kept := 0
	for port := 1; port <= 1000; port++ {
		for range 1 + maxWaitingPackets {
			if s.FromCaller(start, callerPacket(port, flow.Ack), []byte("data")).Verdict == Keep {
				kept++
			}
		}
	}
	is.Equal(kept, maxAllWaitingPackets)
	is.Equal(len(s.lookups), 1000)
	s.Tick(start.Add(lookupTimeout + time.Millisecond))
	is.Equal(len(s.lookups), 0)
	is.Equal(s.waitingPackets, 0)
}
