package flowsteer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// deny lets every agent that is asked deny the flow of p, and returns what the
// steerer decides in the end. visit sees each list of agents.
func deny(s *Steerer, at time.Time, p flow.Packet, first Action, visit func([]netip.AddrPort)) Action {
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

// resets counts the resets among actions.
func resets(actions []Action) int {
	n := 0
	for _, a := range actions {
		if a.Verdict == Reset {
			n++
		}
	}
	return n
}

func ignore([]netip.AddrPort) {}

// forwards returns the caller's packets among actions.
func forwards(actions []Action) []Action {
	var out []Action
	for _, a := range actions {
		if a.Verdict == Send && a.Message.Type == hop.Forward {
			out = append(out, a)
		}
	}
	return out
}

// The load pattern: after a power cut all callers repeat packets of flows that
// no agent holds, while agents return one after the other. Guards against
// callers that learn of it only when they repeat the packet once more, up to
// 800 ms later.
func TestKeptPacketIsResetAsSoonAsAllAgentsAreKnown(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(12))
	s.SetConfirmed(start.Add(-freshView - time.Second))
	p := callerPacket(1, flow.Ack)
	is.Equal(deny(s, start, p, s.FromCaller(start, p, []byte("data")), ignore).Verdict, Keep)
	is.Equal(resets(s.Tick(start.Add(missInterval))), 0)
	s.SetConfirmed(start.Add(-time.Second))
	is.Equal(resets(s.Tick(start.Add(2*missInterval))), 1)
}

// Guards against a flow that is reset although it is at an agent that the view
// names only after the first search.
func TestAgentThatIsAddedIsAskedToo(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	s.SetConfirmed(start.Add(-freshView - time.Second))
	p := callerPacket(1, flow.Ack)
	is.Equal(deny(s, start, p, s.FromCaller(start, p, []byte("data")), ignore).Verdict, Keep)
	s.SetView(testView(4))
	s.SetConfirmed(start)
	due := s.Tick(start.Add(missInterval))
	again := forwards(due)
	is.Equal(len(again), 1)
	is.Equal(resets(due), 0)
	is.Equal(again[0].Message.Candidates, []netip.AddrPort{agentAddress(3)})
	is.Equal(string(again[0].Message.Packet), "data")
}

// Guards against a new agent that holds flows while some balancer's view
// doesn't name it and still counts as fresh: frontend-shawi-8 reset such a flow
// (gelatines-tr-grown, scale-1 with seed 131941182070).
func TestNewAgentsWaitUntilFreshViewsNameThem(t *testing.T) {
	if flowgate.NewAgentHold <= freshView {
		t.Fatalf("new agents wait %v, views count as fresh for %v", flowgate.NewAgentHold, freshView)
	}
}

// Guards against a lookup that ends unseen at an agent that is down.
func TestUnansweredLookupIsRepeated(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	s.FromCaller(start, callerPacket(1, flow.Ack), []byte("data"))
	is.Equal(len(forwards(s.Tick(start.Add(answerTimeout/2)))), 0)
	is.Equal(len(forwards(s.Tick(start.Add(answerTimeout)))), 1)
}

// Guards against a balancer that asks all agents for a lost flow for good, and
// against one that keeps its packet without a trace.
func TestLookupEnds(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	s.FromCaller(start, callerPacket(1, flow.Ack), []byte("data"))
	asked, dropped := 0, 0
	for at := start; at.Before(start.Add(3 * time.Second)); at = at.Add(10 * time.Millisecond) {
		due := s.Tick(at)
		asked += len(forwards(due))
		for _, a := range due {
			if a.Verdict == Drop {
				dropped++
			}
		}
	}
	is.True(asked <= maxAsked)
	is.Equal(dropped, 1)
}

// Guards against hosts that restart and thereby delay resets: a member that is
// announced anew isn't a new place for flows.
func TestChangedMemberIsNoNewAgent(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(3))
	v := testView(3)
	m := v.Members.ByName["agent-1"]
	m.Revision = 2
	v.Members.ByName["agent-1"] = m
	s.SetView(v)
	p := callerPacket(1, flow.Ack)
	is.Equal(deny(s, start, p, s.FromCaller(start, p, nil), ignore).Verdict, Reset)
}

// Guards against packets of a flow that overtake each other or are lost while
// its agent is looked up, and against a search for each of them.
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

// The load pattern: a power cut leaves a thousand flows at no agent of sixty.
// Guards against searches that ask one agent after the other, up to 90 ms for
// each flow.
func TestLostFlowIsSearchedInTwoRounds(t *testing.T) {
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

// Guards against a late denial of one list that counts against an agent of
// another list, which holds the flow.
func TestDenialAfterTheFlowWasFound(t *testing.T) {
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

// Guards against resets of open flows by a balancer whose link is full: answers
// of many agents are lost, and it gives them up one after the other
// (gelatines-tr-grown, scale-1 with seed 131941182070).
func TestBalancerInTroubleResetsNoFlows(t *testing.T) {
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
		is.Equal(deny(s, start, p, s.FromCaller(start, p, nil), ignore).Verdict, Keep)
	}
	p := callerPacket(100, flow.Ack)
	s.Placed(start, placed(p, agentAddress(1), hop.Load{}))
	is.Equal(s.FromCaller(start, p, nil).To, agentAddress(1))
}
