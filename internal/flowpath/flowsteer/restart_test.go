package flowsteer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

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
