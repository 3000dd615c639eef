package flowsteer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowsteer"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

var (
	pathRoute = netip.MustParseAddrPort("198.18.0.1:8443")
	pathStart = time.Unix(1_790_000_000, 0)
)

const service = "comptoir"

// path connects balancers, agents and backend servers without a network: each
// message is handled at once.
type path struct {
	t         *rapid.T
	now       time.Time
	view      view.View
	balancers []*flowsteer.Steerer
	agents    map[netip.AddrPort]*pathAgent
	list      []*pathAgent
	open      map[flow.Key]*pathAgent // the agent whose backend server holds the flow
	resets    map[flow.Key]bool
	delivered map[flow.Key]*pathAgent // the agent whose backend server got the last packet
}

// pathAgent is an agent with its backend server.
type pathAgent struct {
	address  netip.AddrPort
	gate     *flowgate.Gate
	holds    map[flow.Key]bool
	sequence uint64
	state    view.State
}

func newPath(t *rapid.T, balancers, agents int) *path {
	p := &path{
		t: t, now: pathStart, agents: map[netip.AddrPort]*pathAgent{}, open: map[flow.Key]*pathAgent{},
		resets: map[flow.Key]bool{}, delivered: map[flow.Key]*pathAgent{},
	}
	p.view = view.View{
		Configuration: view.Configuration{Revision: 1, Routes: map[netip.AddrPort]view.Route{
			pathRoute: {Address: pathRoute, Targets: []view.Target{{Service: service, Weight: 1}}},
		}},
		Evacuations: view.Evacuations{Revision: 1},
		Members:     view.Members{Revision: 1, ByName: map[string]view.Member{}},
	}
	for i := range agents {
		a := &pathAgent{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), 8172), holds: map[flow.Key]bool{}, state: view.Ready}
		p.agents[a.address] = a
		p.list = append(p.list, a)
		p.startAgent(a, false)
		name := fmt.Sprintf("agent-%d", i)
		p.view.Members.ByName[name] = view.Member{
			Name: name, Role: view.AgentRole, Address: a.address, Service: service, Slots: 9, State: view.Ready,
		}
	}
	for i := range balancers {
		p.balancers = append(p.balancers, p.newBalancer(i))
	}
	return p
}

func (p *path) newBalancer(i int) *flowsteer.Steerer {
	s := flowsteer.New(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7720), "a")
	s.SetView(p.view)
	s.SetViewConfirmed(p.now)
	return s
}

func (p *path) startAgent(a *pathAgent, learning bool) {
	a.gate = flowgate.New(flowgate.Options{
		Self: a.address, Service: flowsteer.ServiceID(service), Limits: flowgate.Limits{ReportInterval: time.Hour, ColdBurst: 1},
		Learning: learning, LearnFor: time.Hour,
	}, p.now)
	a.gate.SetMemberStored(time.Time{}, true)
	a.gate.SetService(view.Service{Name: service}, time.Hour)
	p.report(a)
}

func (p *path) report(a *pathAgent) {
	a.sequence++
	_, err := a.gate.Report(p.now, flowgate.Report{Instance: "i", Started: pathStart, Sequence: a.sequence, State: a.state, Slots: 9})
	if err != nil {
		p.t.Fatal(err)
	}
}

// send passes a caller's packet to a balancer and carries out the decisions that
// follow.
func (p *path) send(balancer int, packet flow.Packet) {
	p.fromBalancer(balancer, packet, p.balancers[balancer].FromCaller(p.now, packet, []byte("x")))
}

func (p *path) fromBalancer(balancer int, packet flow.Packet, a flowsteer.Action) {
	switch a.Verdict {
	case flowsteer.Reset:
		p.reset(packet.CallerKey())
	case flowsteer.Send:
		p.toAgent(balancer, packet, a.To, a.Message)
	}
}

func (p *path) toAgent(balancer int, packet flow.Packet, to netip.AddrPort, m hop.Message) {
	a := p.agents[to]
	p.fromAgent(balancer, a, packet, a.gate.FromPeer(p.now, &m, packet))
}

func (p *path) fromAgent(balancer int, a *pathAgent, packet flow.Packet, action flowgate.Action) {
	key := packet.CallerKey()
	switch action.Verdict {
	case flowgate.Deliver:
		if action.NotifyBalancer.IsValid() {
			p.placed(balancer, a, packet)
		}
		p.toBackend(balancer, a, packet, action.Mark)
	case flowgate.PassOn:
		action.Message.Packet = []byte("x")
		if action.Message.Type == hop.Declined {
			for _, due := range p.balancers[balancer].Declined(p.now, packet, &action.Message) {
				p.fromBalancer(balancer, packet, due)
			}
			return
		}
		p.toAgent(balancer, packet, action.To, action.Message)
	case flowgate.Reset:
		p.reset(key)
	}
}

// placed notifies a balancer that an agent holds a packet's flow.
func (p *path) placed(balancer int, a *pathAgent, packet flow.Packet) {
	m := a.gate.Placed(p.now, packet.CallerKey())
	for _, due := range p.balancers[balancer].Placed(p.now, &m) {
		p.fromBalancer(balancer, packet, due)
	}
}

// toBackend makes the backend server answer an opening, accept a packet of a flow
// that it holds, or return one of another flow.
func (p *path) toBackend(balancer int, a *pathAgent, packet flow.Packet, mark uint32) {
	key := packet.CallerKey()
	if packet.Opening() {
		if a.state == view.Leaving {
			p.t.Fatalf("an opening reached a leaving backend server")
		}
		a.holds[key] = true
		p.open[key] = a
		a.gate.FromBackend(p.now, flow.Packet{From: packet.To, To: packet.From, Flags: flow.Open | flow.Ack, Seq: 5000})
		return
	}
	if a.holds[key] {
		p.delivered[key] = a
		answer := a.gate.FromBackend(p.now, flow.Packet{From: packet.To, To: packet.From, Flags: flow.Ack, Seq: 5001, Length: 10})
		if answer.NotifyBalancer.IsValid() {
			p.placed(balancer, a, packet)
		}
		return
	}
	packet.Flags |= flow.Bounced
	packet.Mark = mark
	action := a.gate.FromBackend(p.now, packet)
	packet.Flags &^= flow.Bounced
	packet.Mark = 0
	p.fromAgent(balancer, a, packet, action)
}

func (p *path) reset(key flow.Key) {
	if p.open[key] != nil {
		p.t.Fatalf("flow %v was reset although its backend server holds it", key)
	}
	p.resets[key] = true
}

// Guards against flows that break while balancers and agents restart and backend
// servers leave, in any order: each packet of an open flow must reach the backend
// server that holds it, and no opening may reach one that is leaving.
func TestOpenFlowsSurviveRestartsAndLeaves(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		p := newPath(t, 3, rapid.IntRange(2, 12).Draw(t, "agents"))
		var keys []flow.Key
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			p.now = p.now.Add(100 * time.Millisecond)
			balancer := rapid.IntRange(0, 2).Draw(t, "balancer")
			a := p.list[rapid.IntRange(0, len(p.list)-1).Draw(t, "agent")]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				p.balancers[balancer] = p.newBalancer(balancer)
			case 1:
				p.startAgent(a, true)
			case 2:
				a.state = view.Leaving
				p.report(a)
			case 3, 4:
				caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), uint16(step+1))
				packet := flow.Packet{From: caller, To: pathRoute, Flags: flow.Open}
				p.send(balancer, packet)
				if key := packet.CallerKey(); p.open[key] != nil {
					keys = append(keys, key)
				}
			default:
				if len(keys) == 0 {
					continue
				}
				key := keys[rapid.IntRange(0, len(keys)-1).Draw(t, "flow")]
				delete(p.delivered, key)
				p.send(balancer, flow.Packet{From: key.Caller, To: key.Service, Flags: flow.Ack, Seq: uint32(100 * step), Ack: 5001, Length: 10})
				if p.delivered[key] != p.open[key] {
					t.Fatalf("a packet of flow %v didn't reach its backend server", key)
				}
			}
		}
	})
}
