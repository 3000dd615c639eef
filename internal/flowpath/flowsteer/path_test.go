package flowsteer_test

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
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

const (
	pathStep = 100 * time.Millisecond
	// pathDataLength is the length of the data in each packet, in bytes.
	pathDataLength = 10
	// copyAge is the age of the copies of openings.
	copyAge = 200 * time.Millisecond
	// copyTime is how long a copy of an opening may come after the opening.
	copyTime = time.Second
	// maxAnswerInterval is the longest time after which a backend server repeats an
	// answer to an opening that the caller has not acknowledged.
	maxAnswerInterval = 1600 * time.Millisecond
)

// path connects balancers, agents and backend servers without a network: each
// message is handled at once.
type path struct {
	t         rapid.TB
	now       time.Time
	view      view.View
	balancers []*flowsteer.Steerer
	changed   map[int]func(*view.View) // how the view of a balancer, by its index, differs from view
	agents    map[netip.AddrPort]*pathAgent
	list      []*pathAgent
	packets   []flow.Packet // messages carry the index of their packet
	accepted  map[flow.Key]answer
	delivered map[flow.Key]*pathAgent // the agent whose backend server accepted the last packet
	lost      func(what string) bool  // reports whether a message is lost, nil if none are
	gaveUp    map[flow.Key]bool       // a reset reached the caller before an answer
	away      netip.AddrPort          // agent that gets no messages, the zero AddrPort for none
	linkRate  float64                 // of balancers that start from now on
}

// answer is the answer to an opening with which the caller continues: the first
// that it received.
type answer struct {
	from *pathAgent
	seq  uint32
}

// pathAgent is an agent with its backend server.
type pathAgent struct {
	address  netip.AddrPort
	gate     *flowgate.Gate
	openings map[flow.Key]time.Time // flows that are not open yet, with the last answer to their opening, zero if there was none
	holds    map[flow.Key]bool      // open flows
	firstSeq uint32                 // sequence number in answers to openings
	started  time.Time
	sequence uint64
	earlier  flowgate.Report // last report of the earlier run, zero if there was none
	state    view.State
	down     bool             // the backend server has crashed
	hangs    bool             // the backend server reads nothing but accepts connections
	unread   map[flow.Key]int // packets that a backend server which hangs has not read
	returned map[flow.Key]int // packets that the backend server returned
}

// newPath returns a path whose backend servers' sequence numbers differ by a
// multiple of seqDistance.
func newPath(t rapid.TB, balancers, agents int, seqDistance uint32) *path {
	p := &path{
		t: t, now: pathStart, agents: map[netip.AddrPort]*pathAgent{}, changed: map[int]func(*view.View){},
		accepted: map[flow.Key]answer{}, delivered: map[flow.Key]*pathAgent{}, gaveUp: map[flow.Key]bool{},
	}
	p.view = view.View{
		Configuration: view.Configuration{Revision: 3, Routes: map[netip.AddrPort]view.Route{
			pathRoute: {Address: pathRoute, Targets: []view.Target{{Service: service, Weight: 1}}},
		}},
		Evacuations: view.Evacuations{Revision: 1},
		Members:     view.Members{Revision: 1, ByName: map[string]view.Member{}},
	}
	for i := range agents {
		a := &pathAgent{
			address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), 8172),
			openings: map[flow.Key]time.Time{}, holds: map[flow.Key]bool{},
			firstSeq: 5000 + uint32(i)*seqDistance, started: pathStart.Add(-time.Minute), state: view.Ready, returned: map[flow.Key]int{},
		}
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

func balancerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7720)
}

// balancerAt returns the balancer at an address.
func (p *path) balancerAt(address netip.AddrPort) *flowsteer.Steerer {
	return p.balancers[address.Addr().As4()[3]]
}

func (p *path) newBalancer(i int) *flowsteer.Steerer {
	s := flowsteer.New(balancerAddress(i), "a", flowsteer.Options{LinkRate: p.linkRate})
	s.SetView(p.viewOf(i), view.Confirmations{Members: p.now})
	return s
}

// drawLinkRates restarts the balancers, some of which may have a narrow link.
func (p *path) drawLinkRates(t *rapid.T) {
	for i := range p.balancers {
		p.linkRate = rapid.SampledFrom([]float64{0, 1.25e6}).Draw(t, "link rate")
		p.balancers[i] = p.newBalancer(i)
	}
}

// viewOf returns the view of a balancer.
func (p *path) viewOf(balancer int) view.View {
	v := p.view
	if change := p.changed[balancer]; change != nil {
		v.Configuration.Routes = maps.Clone(v.Configuration.Routes)
		v.Members.ByName = maps.Clone(v.Members.ByName)
		change(&v)
	}
	return v
}

// withoutRoutes makes a view one of a configuration before the route was added, or added
// again.
func withoutRoutes(v *view.View) {
	v.Configuration.Revision--
	clear(v.Configuration.Routes)
}

// beforeDrop makes a view one of a configuration before the route was dropped.
func beforeDrop(v *view.View) { v.Configuration.Revision -= 2 }

// withoutCandidates makes the members of a view refuse new flows.
func withoutCandidates(v *view.View) {
	v.Evacuations = view.Evacuations{Revision: v.Evacuations.Revision + 1, Domains: map[string]bool{"": true}}
}

// withoutAgent makes the member of an agent refuse new flows.
func withoutAgent(a *pathAgent) func(*view.View) {
	return func(v *view.View) {
		v.Members.Revision++
		for name, m := range v.Members.ByName {
			if m.Address == a.address {
				m.State = view.Leaving
				v.Members.ByName[name] = m
			}
		}
	}
}

func (p *path) startAgent(a *pathAgent, learning bool) {
	a.gate = flowgate.New(flowgate.Options{
		Self: a.address, Service: flowsteer.ServiceID(service), Limits: flowgate.Limits{ReportInterval: time.Hour, ColdBurst: 1},
		Learning: learning, FlowLifetime: time.Hour,
	}, p.now)
	a.gate.SetMemberStored(time.Time{}, true)
	a.gate.SetService(view.Service{Name: service}, time.Hour, time.Time{})
	if p.loses("report of an earlier run") {
		p.reportLate(a)
	}
	p.report(a)
}

// report lets the backend server of an agent report, unless it is down.
func (p *path) report(a *pathAgent) {
	if a.down {
		return
	}
	a.sequence++
	lost, err := a.gate.Report(p.now, a.nextReport())
	if err != nil {
		p.t.Fatal(err)
	}
	for _, f := range lost {
		p.reset(f.Key)
	}
}

func (a *pathAgent) nextReport() flowgate.Report {
	return flowgate.Report{Instance: "i", Started: a.started, Sequence: a.sequence, State: a.state, Slots: 9}
}

// reportLate delivers a report that the earlier run of a backend server sent before it
// ended, if there was one.
func (p *path) reportLate(a *pathAgent) {
	if a.earlier.Started.IsZero() {
		return
	}
	a.earlier.Sequence++
	lost, err := a.gate.Report(p.now, a.earlier)
	if err != nil && !errkind.Is(err, errkind.ReportStale) {
		p.t.Fatal(err)
	}
	for _, f := range lost {
		p.reset(f.Key)
	}
}

// crash ends the backend server of an agent, which loses its flows.
func (p *path) crash(a *pathAgent) {
	a.down = true
	clear(a.openings)
	clear(a.holds)
}

// startBackend starts a new run of a backend server that is down.
func (p *path) startBackend(a *pathAgent) {
	a.earlier = a.nextReport()
	a.down, a.started, a.sequence = false, p.now, 0
	a.firstSeq += 100_000
}

// passStep advances the time by a step and carries out what is due then.
func (p *path) passStep() {
	p.now = p.now.Add(pathStep)
	for _, a := range p.list {
		p.answerOpenings(a, func(last time.Time) bool { return !last.IsZero() && p.now.Sub(last) >= maxAnswerInterval })
		a.gate.Tick(p.now)
		for _, d := range a.gate.Release(p.now) {
			p.toBackend(a, d.Raw, 0)
		}
		if a.gate.ConnAttemptDue(p.now) {
			a.gate.RecordConnAttempt(p.now, a.down)
		}
		due := a.gate.PassOnUnanswered(p.now)
		slices.SortFunc(due, func(a, b flowgate.Action) int { return slices.Compare(a.Message.Packet, b.Message.Packet) })
		for _, action := range due {
			p.fromAgent(a, action.Message.Packet, action)
		}
	}
	for i, s := range p.balancers {
		v := p.viewOf(i)
		confirmedAt := view.Confirmations{Members: p.now}
		if v.Configuration.Revision == p.view.Configuration.Revision {
			confirmedAt.Configuration = p.now
		}
		s.SetView(v, confirmedAt)
		due := s.Tick(p.now)
		slices.SortFunc(due, func(a, b flowsteer.Action) int {
			return cmp.Or(slices.Compare(a.Message.Packet, b.Message.Packet), a.To.Compare(b.To))
		})
		for _, action := range due {
			p.fromBalancer(s, action)
		}
	}
}

// send passes a caller's packet to a balancer and carries out the decisions that
// follow.
func (p *path) send(balancer int, packet flow.Packet) {
	raw := binary.BigEndian.AppendUint32(nil, uint32(len(p.packets)))
	p.packets = append(p.packets, packet)
	s := p.balancers[balancer]
	p.fromBalancer(s, s.FromCaller(p.now, packet, raw))
}

func (p *path) decode(raw []byte) flow.Packet { return p.packets[binary.BigEndian.Uint32(raw)] }

func (p *path) fromBalancer(s *flowsteer.Steerer, action flowsteer.Action) {
	switch {
	case action.Verdict == flowsteer.Reset:
		p.reset(action.Packet.CallerKey())
	case action.Verdict != flowsteer.Send:
	case action.Message.Type == hop.Hello:
		if action.To == p.away {
			return
		}
		a := p.agents[action.To]
		s.HelloAck(p.now, &hop.Message{Type: hop.HelloAck, Agent: a.address, Load: a.gate.Load(p.now)})
	default:
		p.toAgent(action.To, action.Message)
	}
}

func (p *path) toAgent(to netip.AddrPort, m hop.Message) {
	if to == p.away {
		return
	}
	a := p.agents[to]
	p.fromAgent(a, m.Packet, a.gate.FromPeer(p.now, &m, p.decode(m.Packet)))
}

// fromAgent carries out an agent's decision about a caller's packet.
func (p *path) fromAgent(a *pathAgent, raw []byte, action flowgate.Action) {
	packet := p.decode(raw)
	switch action.Verdict {
	case flowgate.Deliver:
		p.notify(a, action)
		p.toBackend(a, raw, action.Mark)
	case flowgate.Hold, flowgate.Notify:
		p.notify(a, action)
	case flowgate.PassOn:
		action.Message.Packet = raw
		if action.Message.Type != hop.Declined {
			p.toAgent(action.To, action.Message)
			return
		}
		s := p.balancerAt(action.To)
		for _, due := range s.Declined(p.now, packet, &action.Message) {
			p.fromBalancer(s, due)
		}
	case flowgate.Reset:
		p.reset(packet.CallerKey())
	}
}

// notify notifies the balancer of an action, if any, that an agent holds a flow.
func (p *path) notify(a *pathAgent, action flowgate.Action) {
	if !action.NotifyBalancer.IsValid() || p.loses("notification") {
		return
	}
	m := a.gate.Placed(p.now, action.Key)
	s := p.balancerAt(action.NotifyBalancer)
	for _, due := range s.Placed(p.now, &m) {
		p.fromBalancer(s, due)
	}
}

// loses reports whether a message is lost or, if its sender repeats it, delayed.
func (p *path) loses(what string) bool { return p.lost != nil && p.lost(what) }

// toBackend makes the backend server answer an opening, accept a packet of a flow
// that it holds, or return one of another flow. The first packet that acknowledges
// its answer opens a flow.
func (p *path) toBackend(a *pathAgent, raw []byte, mark uint32) {
	packet := p.decode(raw)
	key := packet.CallerKey()
	switch {
	case a.down:
	case a.hangs:
		a.unread[key]++
	case packet.Opening():
		if a.state == view.Leaving {
			p.t.Fatalf("an opening reached a leaving backend server")
		}
		if !a.holds[key] && !a.answered(key) {
			a.openings[key] = time.Time{}
		}
		if !p.loses("answer of a slow backend server") {
			p.answerOpening(a, key)
		}
	case a.holds[key], a.answered(key) && packet.Ack == a.firstSeq+1:
		delete(a.openings, key)
		a.holds[key] = true
		p.delivered[key] = a
		if packet.Length > 0 {
			p.notify(a, a.gate.FromBackend(p.now, flow.Packet{From: packet.To, To: packet.From, Flags: flow.Ack, Seq: a.firstSeq + 1, Length: pathDataLength}))
		}
	default:
		a.returned[key]++
		packet.Flags |= flow.Bounced
		packet.Mark = mark
		p.fromAgent(a, raw, a.gate.FromBackend(p.now, packet))
	}
}

// answerOpening makes a backend server answer an opening, for the first time or
// once more.
func (p *path) answerOpening(a *pathAgent, key flow.Key) {
	if !a.holds[key] {
		a.openings[key] = p.now
	}
	p.notify(a, a.gate.FromBackend(p.now, flow.Packet{From: key.Service, To: key.Caller, Flags: flow.Open | flow.Ack, Seq: a.firstSeq}))
	if _, ok := p.accepted[key]; !ok && !p.gaveUp[key] && !p.loses("answer") {
		p.accepted[key] = answer{from: a, seq: a.firstSeq}
	}
}

// answerOpenings makes a backend server answer, for the first time or once more,
// those openings whose last answer is due to be followed by another one.
func (p *path) answerOpenings(a *pathAgent, due func(last time.Time) bool) {
	for _, key := range slices.SortedFunc(maps.Keys(a.openings), func(x, y flow.Key) int { return x.Caller.Compare(y.Caller) }) {
		if due(a.openings[key]) {
			p.answerOpening(a, key)
		}
	}
}

// answered reports whether the backend server has answered the opening of a flow
// that is not open yet.
func (a *pathAgent) answered(key flow.Key) bool { return !a.openings[key].IsZero() }

// holder returns the agent whose backend server holds a flow or answered the
// opening with the answer that the caller acknowledges, nil if it has crashed since
// or if there is none.
func (p *path) holder(key flow.Key) *pathAgent {
	a, ok := p.accepted[key]
	if !ok || a.seq != a.from.firstSeq || !(a.from.holds[key] || a.from.answered(key)) {
		return nil
	}
	return a.from
}

func (p *path) reset(key flow.Key) {
	if p.holder(key) != nil {
		p.t.Fatalf("flow %v was reset although its backend server holds it", key)
	}
	if _, ok := p.accepted[key]; !ok {
		p.gaveUp[key] = true
	}
}

// held returns the flows of list whose backend servers hold them.
func (p *path) held(list []flow.Key) []flow.Key {
	return slices.DeleteFunc(slices.Clone(list), func(key flow.Key) bool { return p.holder(key) == nil })
}

// reaches sends a packet of a flow, which may acknowledge data if the flow is open,
// and reports whether it reaches the backend server that holds the flow.
func (p *path) reaches(t *rapid.T, balancer int, key flow.Key, seq uint32) bool {
	delete(p.delivered, key)
	ack := p.accepted[key].seq + 1
	if p.holder(key).holds[key] && rapid.Bool().Draw(t, "acknowledges data") {
		ack += pathDataLength
	}
	p.send(balancer, flow.Packet{From: key.Caller, To: key.Service, Flags: flow.Ack, Seq: seq, Ack: ack, Length: pathDataLength})
	return p.delivered[key] == p.holder(key)
}

// opening returns the opening of the flow of the given number.
func opening(number int) flow.Packet {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), uint16(number+1))
	return flow.Packet{From: caller, To: pathRoute, Flags: flow.Open}
}

// Guards against flows that break while balancers and agents restart and backend
// servers leave, in any order: each packet of an open flow must reach the backend
// server that holds it, and no opening may reach one that is leaving.
func TestOpenFlowsSurviveRestartsAndLeaves(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		p := newPath(t, 3, rapid.IntRange(2, 12).Draw(t, "agents"), 1<<28)
		p.drawLinkRates(t)
		var keys []flow.Key
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			p.now = p.now.Add(pathStep)
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
				packet := opening(step)
				p.send(balancer, packet)
				if key := packet.CallerKey(); p.holder(key) != nil {
					keys = append(keys, key)
				}
			default:
				if len(keys) == 0 {
					continue
				}
				key := keys[rapid.IntRange(0, len(keys)-1).Draw(t, "flow")]
				if !p.reaches(t, balancer, key, uint32(100*step)) {
					t.Fatalf("a packet of flow %v didn't reach its backend server", key)
				}
			}
		}
	})
}

// Guards against a flow that is reset, or whose packets don't reach its backend
// server, because another backend server got a copy of its opening. Answers and
// notifications are lost, answers are repeated, other backend servers crash and start
// again and have sent reports that arrive late, and balancers don't know the route, or
// that it was added again, or some agents meanwhile.
func TestFlowSurvivesAnswersOfOtherBackendServers(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		// No two numbers differ by the length of a packet's data.
		distance := rapid.SampledFrom([]uint32{2 * pathDataLength, 1000, 1 << 28}).Draw(t, "distance of sequence numbers")
		p := newPath(t, 3, rapid.IntRange(2, 6).Draw(t, "agents"), distance)
		p.drawLinkRates(t)
		p.lost = func(what string) bool { return rapid.IntRange(0, 3).Draw(t, "lost "+what) == 0 }
		var keys []flow.Key
		openedAt := map[flow.Key]time.Time{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			p.passStep()
			balancer := rapid.IntRange(0, 2).Draw(t, "balancer")
			a := p.list[rapid.IntRange(0, len(p.list)-1).Draw(t, "agent")]
			switch rapid.IntRange(0, 14).Draw(t, "event") {
			case 13:
				p.reportLate(a)
			case 14:
				p.changed[balancer] = beforeDrop
				p.balancers[balancer] = p.newBalancer(balancer)
				p.changed[balancer] = withoutRoutes
				p.balancers[balancer].SetView(p.viewOf(balancer), view.Confirmations{Members: p.now})
			case 0:
				views := []func(*view.View){nil, withoutRoutes, withoutCandidates, withoutAgent(a)}
				p.changed[balancer] = views[rapid.IntRange(0, len(views)-1).Draw(t, "view")]
				p.balancers[balancer] = p.newBalancer(balancer)
			case 12:
				delete(p.changed, balancer)
			case 1:
				p.startAgent(a, true)
			case 2:
				if a.down {
					p.startBackend(a)
				} else {
					p.crash(a)
				}
			case 3:
				p.report(a)
			case 4:
				for range 45 { // agents forget openings that their backend servers left unanswered
					p.passStep()
				}
			case 5, 6:
				packet := opening(step)
				keys = append(keys, packet.CallerKey())
				openedAt[packet.CallerKey()] = p.now
				p.send(balancer, packet)
			case 7:
				// Callers send copies until they have an answer, which may cross a copy.
				copied := slices.DeleteFunc(slices.Clone(keys), func(key flow.Key) bool {
					return p.gaveUp[key] || p.accepted[key].from != nil && p.now.Sub(openedAt[key]) > copyTime
				})
				if len(copied) > 0 {
					key := rapid.SampledFrom(copied).Draw(t, "flow")
					p.send(balancer, flow.Packet{From: key.Caller, To: key.Service, Flags: flow.Open, Ack: 1, Age: copyAge})
				}
			case 8:
				p.answerOpenings(a, func(time.Time) bool { return true })
			default:
				held := p.held(keys)
				if len(held) == 0 {
					continue
				}
				key := rapid.SampledFrom(held).Draw(t, "flow")
				reached := p.reaches(t, balancer, key, uint32(100*step))
				// The caller retransmits meanwhile. A packet may wait for 0.5 s at
				// each agent whose backend server is down, at up to 5 agents.
				for range 20 {
					if reached {
						break
					}
					p.passStep()
					p.passStep()
					reached = p.reaches(t, balancer, key, uint32(100*step))
				}
				if !reached {
					t.Fatalf("a packet of flow %v didn't reach its backend server", key)
				}
			}
		}
	})
}

// Guards against the reset of a flow that the first candidate accepted, because its
// notification was lost and the other candidates refuse the opening.
func TestAcceptedOpeningIsNotReset(t *testing.T) {
	p := newPath(t, 1, 2, 1000)
	p.lost = func(what string) bool { return what == "notification" }
	packet := opening(1)
	p.send(0, packet)
	holder := p.holder(packet.CallerKey())
	for _, a := range p.list {
		if a != holder {
			a.state = view.Leaving
			p.report(a)
		}
	}
	p.send(0, flow.Packet{From: packet.From, To: packet.To, Flags: flow.Ack, Seq: 1, Ack: holder.firstSeq + 1, Length: pathDataLength})
	p.passStep()
}

// Guards against the reset of an open flow after a restart of its agent, because
// its backend server accepts a packet without data and has nothing to send for a
// while.
func TestSilentBackendServerKeepsFlow(t *testing.T) {
	p := newPath(t, 2, 2, 1000)
	packet := opening(1)
	p.send(0, packet)
	holder := p.holder(packet.CallerKey())
	p.send(0, flow.Packet{From: packet.From, To: packet.To, Flags: flow.Ack, Seq: 1, Ack: holder.firstSeq + 1, Length: pathDataLength})
	p.startAgent(holder, true)
	p.send(1, flow.Packet{From: packet.From, To: packet.To, Flags: flow.Ack, Seq: 1 + pathDataLength, Ack: holder.firstSeq + 1 + pathDataLength})
	for range 10 {
		p.passStep()
	}
}

// Guards against a flow none of whose packets reach its backend server for 2 s while
// they reach that of another agent, which has restarted and whose backend server hangs.
func TestHangingBackendServerKeepsNoPacketsOfOthers(t *testing.T) {
	for number := range 20 {
		p := newPath(t, 2, 3, 1000)
		packet := opening(number)
		for _, a := range p.list[1:] {
			a.gate.SetEvacuation(true, 0) // the others refuse, whatever their rank
		}
		p.send(0, packet)
		key := packet.CallerKey()
		holder := p.holder(key)
		data := flow.Packet{From: packet.From, To: packet.To, Flags: flow.Ack, Seq: 1, Ack: holder.firstSeq + 1, Length: pathDataLength}
		p.send(0, data)
		for _, a := range p.list {
			if a != holder {
				p.startAgent(a, true)
				a.hangs, a.unread = true, map[flow.Key]int{}
			}
		}
		delete(p.delivered, key)
		// The router now selects another balancer. The caller retransmits.
		began, next, interval := p.now, p.now, 200*time.Millisecond
		for p.delivered[key] == nil && p.now.Sub(began) < 2*time.Second {
			if !p.now.Before(next) {
				next, interval = p.now.Add(interval), 2*interval
				data.Seq = 1 + pathDataLength
				p.send(1, data)
			}
			p.passStep()
		}
		if p.delivered[key] != holder {
			unread := 0
			for _, a := range p.list {
				unread += a.unread[key]
			}
			t.Errorf("flow %d: no packet reached its backend server within 2 s, %d reached others", number, unread)
		}
	}
}

// Guards against a flow none of whose packets reach its backend server for 2 s: a late
// agent took a copy of the opening and replaced the cached holder, has restarted since,
// and its backend server hangs.
func TestHangingBackendServerOfWrongHolder(t *testing.T) {
	p := newPath(t, 1, 2, 1000)
	packet := opening(1)
	p.send(0, packet)
	key := packet.CallerKey()
	holder := p.holder(key)
	for _, a := range p.list {
		if a != holder {
			p.startAgent(a, true)
			a.hangs, a.unread = true, map[flow.Key]int{}
			m := a.gate.Placed(p.now, key) // of the copy that it delivered before
			p.balancers[0].Placed(p.now, &m)
		}
	}
	began, next, interval := p.now, p.now, 200*time.Millisecond
	for p.delivered[key] == nil && p.now.Sub(began) < 2*time.Second {
		if !p.now.Before(next) {
			next, interval = p.now.Add(interval), 2*interval
			p.send(0, flow.Packet{From: packet.From, To: packet.To, Flags: flow.Ack, Seq: 1, Ack: holder.firstSeq + 1, Length: pathDataLength})
		}
		p.passStep()
	}
	if p.delivered[key] != holder {
		t.Error("no packet reached the backend server of the flow within 2 s")
	}
}
