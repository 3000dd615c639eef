package flowsteer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/flow"
	"github.com/knapweedpier/knapweedpier/internal/hop"
)

// deny lets every agent deny the flow of a, until the steerer stops asking.
func deny(s *Steerer, at time.Time, p flow.Packet, a Action) Action {
	for a.Verdict == Send {
		a = s.Declined(at, p, &a.Message)
	}
	return a
}

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
	s := newSteerer(testView(3))
	v := testView(12)
	v.Members.Revision = 2
	s.SetView(start, v)
	p := callerPacket(1, flow.Ack)
	is.Equal(deny(s, start, p, s.FromCaller(start, p, []byte("data"))).Verdict, Keep)
	is.Equal(len(forwards(s.Tick(start.Add(missInterval/2)))), 0)
	at := start.Add(missInterval)
	again := forwards(s.Tick(at))
	is.Equal(len(again), 1)
	is.Equal(string(again[0].Message.Packet), "data")
	is.Equal(deny(s, at, p, again[0]).Verdict, Reset)
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
	v.Members.Revision = 2
	m := v.Members.ByName["agent-1"]
	m.Revision = 2
	v.Members.ByName["agent-1"] = m
	s.SetView(start, v)
	p := callerPacket(1, flow.Ack)
	is.Equal(deny(s, start, p, s.FromCaller(start, p, nil)).Verdict, Reset)
}
