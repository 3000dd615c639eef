package flowsteer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowsteer"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// restartedPath is a path whose agents have all restarted within one flow lifetime, and
// a flow that its agent has learned since.
type restartedPath struct {
	*path
	flow   flow.Packet // the next request of the flow
	holder *pathAgent
}

// newRestartedPath returns such a path. With behindFirstList, the agents that a lookup
// asks first refused the flow when it was opened.
func newRestartedPath(t *testing.T, number int, behindFirstList bool) *restartedPath {
	t.Helper()
	p := newPath(t, 4, 20, 1000)
	packet := opening(number)
	data := flow.Packet{From: packet.From, To: packet.To, Flags: flow.Ack, Seq: 1, Length: pathDataLength}
	if behindFirstList {
		for _, first := range p.newBalancer(0).FromCaller(p.now, data, nil).Message.Candidates {
			p.agents[first].gate.SetEvacuation(true, 0)
		}
	}
	p.send(0, packet)
	holder := p.holder(packet.CallerKey())
	data.Ack = holder.firstSeq + 1
	p.send(0, data)
	for _, a := range p.list {
		p.startAgent(a, true)
	}
	data.Seq += pathDataLength
	p.send(0, data) // the agent learns the flow
	data.Seq += pathDataLength
	r := &restartedPath{path: p, flow: data, holder: holder}
	r.forget()
	return r
}

// forget forgets where packets of the flow went.
func (r *restartedPath) forget() {
	delete(r.delivered, r.flow.CallerKey())
	for _, a := range r.list {
		clear(a.returned)
	}
}

// returnedByOthers returns the number of packets of the flow that other backend servers
// got.
func (r *restartedPath) returnedByOthers() int {
	n := 0
	for _, a := range r.list {
		n += a.returned[r.flow.CallerKey()]
	}
	return n
}

// fillSlots makes requests of flows that the flow's agent has learned take all its slots.
// If they were answered, the answer is the first packet of the flow that the agent sees,
// and the caller's retransmission comes after it.
func (r *restartedPath) fillSlots(answered bool) {
	for number := range 10 {
		packet := opening(1000 + number)
		first := flow.Packet{From: packet.To, To: packet.From, Flags: flow.Ack, Seq: 1}
		if answered {
			first.Length, first.Ack = pathDataLength, 1+pathDataLength
		}
		r.holder.gate.FromBackend(r.now, first)
		m := hop.Message{Type: hop.Forward, Service: flowsteer.ServiceID(service), Balancer: balancerAddress(0), Candidates: []netip.AddrPort{r.holder.address}}
		r.holder.gate.FromPeer(r.now, &m, flow.Packet{From: packet.From, To: packet.To, Flags: flow.Ack, Seq: 1, Ack: 1, Length: pathDataLength})
	}
}

// announceRestart makes the view say that the flow's agent restarts, as it does until
// the first report of its backend server has reached the store and the balancers.
func (r *restartedPath) announceRestart() {
	members := map[string]view.Member{}
	for name, m := range r.view.Members.ByName {
		m.Restarting = m.Address == r.holder.address
		members[name] = m
	}
	r.view.Members = view.Members{Revision: r.view.Members.Revision + 1, ByName: members}
	for _, s := range r.balancers {
		s.SetView(r.view, view.Confirmations{Members: r.now})
	}
}

// playRequest sends the next request and its retransmissions, each through another
// balancer, until one has reached the flow's backend server or 2 s have passed.
func (r *restartedPath) playRequest() {
	began, next, interval := r.now, r.now, 200*time.Millisecond
	for balancer := 1; r.now.Sub(began) < 2*time.Second; r.passStep() {
		if r.delivered[r.flow.CallerKey()] != nil {
			return
		}
		if !r.now.Before(next) {
			next, interval = r.now.Add(interval), 2*interval
			r.send(balancer%len(r.balancers), r.flow)
			balancer++
		}
	}
}

// Guards against FLOW, second half: an agent that has restarted holds a request back,
// its balancers ask it after the first list, and the packets are offered to the backend
// servers of others (deploy/days/agents.toml with seed 239746878841).
func TestHeldRequestIsOfferedToNoOtherServer(t *testing.T) {
	cases := []struct {
		name                                  string
		answered, restarting, behindFirstList bool
	}{
		{"slots of answered requests, restart announced", true, true, false},
		{"slots of answered requests, first list refused the flow", true, false, true},
		{"overload, restart announced", false, true, false},
		{"overload, first list refused the flow", false, false, true},
		{"overload, in the first list", false, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			broken, most := 0, 0
			for number := range 20 {
				r := newRestartedPath(t, number, c.behindFirstList)
				r.fillSlots(c.answered)
				if c.restarting {
					r.announceRestart()
				}
				r.playRequest()
				if others := r.returnedByOthers(); r.delivered[r.flow.CallerKey()] == nil && others >= 3 {
					broken, most = broken+1, max(most, others)
				}
			}
			if broken > 0 {
				t.Errorf("%d of 20 flows: up to %d packets reached other backend servers within 2 s and none its own", broken, most)
			}
		})
	}
}

// Guards against an answered request that counts as in progress: its retransmission waits
// at the balancer while the request is offered, and the notification of the holder, sent
// with the answer, releases it.
func TestAnswerEndsOfferedRequest(t *testing.T) {
	p := newPath(t, 1, 3, 1000)
	packet := opening(1)
	p.send(0, packet)
	holder := p.holder(packet.CallerKey())
	data := flow.Packet{From: packet.From, To: packet.To, Flags: flow.Ack, Seq: 1, Ack: holder.firstSeq + 1, Length: pathDataLength}
	p.send(0, data)
	p.startAgent(holder, true)
	p.balancers[0] = p.newBalancer(0)
	holder.hangs, holder.unread = true, map[flow.Key]int{} // it processes the request
	data.Seq, data.Ack = data.Seq+pathDataLength, data.Ack+pathDataLength
	p.send(0, data)
	p.passStep()
	p.passStep()
	p.send(0, data)
	p.passStep()
	answer := flow.Packet{From: packet.To, To: packet.From, Flags: flow.Ack, Seq: data.Ack, Ack: data.Seq + pathDataLength, Length: pathDataLength}
	p.notify(holder, holder.gate.FromBackend(p.now, answer))
	if n := holder.gate.InProgress(); n != 0 {
		t.Errorf("%d requests in progress after the answer", n)
	}
}

// Guards against a packet that is lost with its lookup because an agent that delivered a
// late copy of the opening tells the balancer that it has the flow.
func TestLateOpeningEndsNoLookup(t *testing.T) {
	p := newPath(t, 2, 3, 1000)
	packet := opening(1)
	p.send(0, packet)
	key := packet.CallerKey()
	holder := p.holder(key)
	data := flow.Packet{From: packet.From, To: packet.To, Flags: flow.Ack, Seq: 1, Ack: holder.firstSeq + 1, Length: pathDataLength}
	p.packets = append(p.packets, data)
	p.balancers[1].FromCaller(p.now, data, []byte{0, 0, 0, byte(len(p.packets) - 1)}) // lost on the way
	for _, a := range p.list {
		if a != holder {
			// It was busy when the opening's copy came.
			p.toAgent(a.address, hop.Message{Type: hop.Forward, Service: flowsteer.ServiceID(service), Balancer: balancerAddress(1), Candidates: []netip.AddrPort{a.address}, Packet: []byte{0, 0, 0, 0}})
			break
		}
	}
	for range 10 {
		p.passStep()
	}
	if p.delivered[key] != holder {
		t.Error("the packet didn't reach the backend server of its flow")
	}
}

// Guards against packets that reach the backend servers of all agents that learn because
// one datagram of the lookup was lost, while the agent of the flow knows it.
func TestLostLookupIsOfferedToNoOtherServer(t *testing.T) {
	for number := range 20 {
		r := newRestartedPath(t, number, false)
		r.packets = append(r.packets, r.flow)
		raw := []byte{0, 0, 0, byte(len(r.packets) - 1)}
		r.balancers[1].FromCaller(r.now, r.flow, raw) // lost on the way to the first agent
		for range 5 {
			r.passStep()
		}
		if others := r.returnedByOthers(); others > 0 {
			t.Errorf("flow %d: %d packets reached other backend servers", number, others)
		}
	}
}
