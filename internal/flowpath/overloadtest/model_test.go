package overloadtest

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowsteer"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/linkbudget"
	"github.com/knapweedpier/knapweedpier/platform"
)

const (
	agentCount = 37
	// dataLength is the maximum length of the data in a packet.
	dataLength = 1200
	// window is the number of packets that a caller sends before it waits for an
	// acknowledgement.
	window = 16
	// retransmitDelay is doubled with each retransmission, up to maxRetransmitDelay.
	retransmitDelay    = 200 * time.Millisecond
	maxRetransmitDelay = 1600 * time.Millisecond
	maxAttempts        = 3
	retryDelay         = 100 * time.Millisecond
	timerInterval      = 20 * time.Millisecond // as in pkg/flowbalancer
)

// Values of the flags in a packet header.
const (
	openFlag  = 128
	resetFlag = 16
	ackFlag   = 4
	closeFlag = 1
)

var (
	startTime       = time.Unix(1_790_000_000, 0)
	balancerAddress = netip.MustParseAddrPort("10.1.0.1:7720")
	openingCopies   = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

	small  = newRoute("small", 1, 150, 250*time.Millisecond, time.Second)
	upload = newRoute("upload", 2, 40_000, 800*time.Millisecond, 2*time.Second)
)

// route is a kind of request: its data is size bytes in a number of packets.
type route struct {
	view.Route
	size, packets int
}

func newRoute(name string, priority, size int, objective, timeout time.Duration) route {
	return route{size: size, packets: (size + dataLength - 1) / dataLength, Route: view.Route{
		Name: name, Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(size)), Objective: objective, Timeout: timeout,
		Targets: []view.Target{{Service: "main", Weight: 1}}, Priority: priority,
	}}
}

// wire returns the number of bytes that a request sends to the balancer.
func (r route) wire() float64 {
	return float64(r.size + (r.packets+2)*(platform.HeaderBytes+datagramOverhead))
}

// request is what a caller wants, in up to maxAttempts flows.
type request struct {
	route            route
	started          time.Duration
	attempts         int
	flow             *callerFlow // the last one
	received, inTime bool        // all data reached the agent, and did so within the objective
}

// callerFlow is one flow with its ends: the caller, and the agent with which the caller
// continues, which is the first that answered its opening.
type callerFlow struct {
	request          *request
	caller, holder   netip.AddrPort
	ended            bool
	next, unacked    int    // first packet that was never sent, and first that isn't acknowledged
	missing          int    // number of packets that the agent lacks
	delivered, acked []bool // by packet
}

// model is a balancer behind a narrow link, with its agents and callers.
type model struct {
	clock
	random   *rand.Rand
	in, out  link
	view     view.View
	steerer  *flowsteer.Steerer
	budget   *linkbudget.Budget
	requests []*request
	flows    map[netip.AddrPort]*callerFlow // by all addresses that the caller has had
}

// newModel returns a model of a link of a rate, which the settings may give wrong.
func newModel(rate, configured float64) *model {
	m := &model{random: rand.New(rand.NewPCG(1, 1)), flows: map[netip.AddrPort]*callerFlow{}}
	m.in = link{clock: &m.clock, rate: rate, sent: map[string]int{}}
	m.out = link{clock: &m.clock, rate: rate, sent: map[string]int{}}
	m.view = view.View{
		Configuration: view.Configuration{Revision: 1, Routes: map[netip.AddrPort]view.Route{small.Address: small.Route, upload.Address: upload.Route}},
		Evacuations:   view.Evacuations{Revision: 1},
		Members:       view.Members{Revision: 1, ByName: map[string]view.Member{}},
	}
	for i := range agentCount {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), 8172)
		a := view.Member{Name: fmt.Sprint(i), Role: view.AgentRole, Address: address, Service: "main", Slots: 9, State: view.Ready}
		m.view.Members.ByName[a.Name] = a
	}
	m.steerer = flowsteer.New(balancerAddress, "a", flowsteer.Options{LinkRate: configured})
	m.budget = linkbudget.New(linkbudget.Options{BytesPerSecond: configured})
	m.tick()
	return m
}

func (m *model) time() time.Time { return startTime.Add(m.now) }

func (m *model) tick() {
	m.steerer.SetView(m.view, view.Confirmations{Configuration: m.time(), Members: m.time()})
	m.budget.Tick(m.time())
	m.executeAll(m.steerer.Tick(m.time()))
	m.after(timerInterval, m.tick)
}

// offer starts requests of a route until a time. The interval between two varies by half.
func (m *model) offer(r route, bytesPerSecond float64, until time.Duration) {
	if m.now >= until || bytesPerSecond == 0 {
		return
	}
	m.requests = append(m.requests, &request{route: r, started: m.now})
	m.open(m.requests[len(m.requests)-1])
	interval := r.wire() / bytesPerSecond * float64(time.Second) * (0.5 + m.random.Float64())
	m.after(time.Duration(interval), func() { m.offer(r, bytesPerSecond, until) })
}

// open starts the next attempt of a request, if any is left.
func (m *model) open(r *request) {
	if r.received || r.attempts == maxAttempts {
		return
	}
	r.attempts++
	f := &callerFlow{request: r, missing: r.route.packets, delivered: make([]bool, r.route.packets), acked: make([]bool, r.route.packets)}
	r.flow = f
	m.move(f)
	for i, delay := range openingCopies {
		m.after(delay, func() {
			if !f.ended && !f.holder.IsValid() {
				m.send(f, "openings", openFlag, 0, i, 0)
			}
		})
	}
	m.after(r.route.Timeout, func() {
		if !f.ended {
			m.send(f, "closes", resetFlag|ackFlag, 0, 1, 0)
			m.abort(f)
		}
	})
}

// move gives the caller of a flow a new address.
func (m *model) move(f *callerFlow) {
	n := len(m.flows)
	f.caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(n >> 16), byte(n >> 8)}), 1024+uint16(n&255))
	m.flows[f.caller] = f
}

// rotate replaces the open flows of the balancer by flows in the same state that other
// balancers opened, as a change of the rotation does.
func (m *model) rotate() {
	for _, r := range m.requests {
		if f := r.flow; !f.ended && f.holder.IsValid() {
			m.move(f)
		}
	}
}

// abort ends an attempt that the caller gave up or that was reset.
func (m *model) abort(f *callerFlow) {
	f.ended = true
	m.after(retryDelay, func() { m.open(f.request) })
}

// send sends a packet of a caller to the balancer.
func (m *model) send(f *callerFlow, kind string, flags byte, seq, ack, length int) {
	raw := make([]byte, platform.HeaderBytes+length)
	platform.AppendReset(raw[:0], flow.Key{Caller: f.request.route.Address, Service: f.caller}, uint32(seq))
	raw[30] = flags
	binary.BigEndian.PutUint16(raw[20:], uint16(length))
	binary.BigEndian.PutUint32(raw[26:], uint32(ack))
	m.in.send(kind, len(raw), func() {
		p := decode(raw)
		if m.admits(p, len(raw)) {
			m.execute(m.steerer.FromCaller(m.time(), p, raw))
		}
	})
}

// decode decodes the header of a packet or of a query.
func decode(raw []byte) flow.Packet {
	p, err := platform.DecodeHeader(platform.CutToHeader(raw))
	if err != nil {
		panic(err)
	}
	return p
}

// admits asks the link budget about a packet of a caller as pkg/flowbalancer does.
func (m *model) admits(p flow.Packet, length int) bool {
	if m.budget.ShedPacket(m.time(), p, length) {
		return false
	}
	m.budget.Received(m.time(), p, length)
	if !p.Opening() {
		return true
	}
	if p.Age > 0 {
		return !m.budget.WasRefused(m.time(), p.CallerKey())
	}
	admitted, _ := m.budget.AdmitOpening(m.time(), p.CallerKey(), m.view.Configuration.Routes[p.To])
	if !admitted {
		m.execute(flowsteer.Action{Verdict: flowsteer.Reset, Packet: p})
	}
	return admitted
}

// executeAll executes actions in an order that is the same in each run, although the steerer
// keeps flows in maps.
func (m *model) executeAll(due []flowsteer.Action) {
	slices.SortStableFunc(due, func(a, b flowsteer.Action) int {
		return cmp.Or(bytes.Compare(a.Message.Packet, b.Message.Packet), a.To.Compare(b.To))
	})
	for _, a := range due {
		m.execute(a)
	}
}

func (m *model) execute(a flowsteer.Action) {
	switch message := a.Message; {
	case a.Verdict == flowsteer.Reset:
		m.transmit(linkbudget.Control, "resets", platform.HeaderBytes, false, func() {
			if f := m.flows[a.Packet.From]; !f.ended {
				m.abort(f)
			}
		})
	case a.Verdict != flowsteer.Send:
	case message.Type == hop.Hello:
		m.transmit(linkbudget.Control, "hellos", len(message.Append(nil)), false, func() {
			m.answer(hop.Message{Type: hop.HelloAck, Agent: a.To}, func(ack *hop.Message) { m.steerer.HelloAck(m.time(), ack) })
		})
	default:
		kind := linkbudget.Forward
		if a.Packet.Opening() {
			kind = linkbudget.Opening
		} else if message.ReportHolder {
			kind = linkbudget.Lookup
		}
		if message.Query {
			message.Packet = platform.CutToHeader(message.Packet)
		}
		m.transmit(kind, kind.String(), len(message.Append(nil)), a.Repeated, func() { m.fromPeer(a.To, message) })
	}
}

// transmit sends a message of the balancer.
func (m *model) transmit(kind linkbudget.Kind, name string, length int, repeated bool, deliver func()) {
	if repeated {
		name += " repeated"
	}
	m.budget.Sent(m.time(), kind, length, repeated)
	m.out.send(name, length, deliver)
}

// answer sends a message of an agent to the balancer.
func (m *model) answer(message hop.Message, handle func(*hop.Message)) {
	m.in.send("answers", len(message.Append(nil)), func() { handle(&message) })
}

// fromPeer handles a forwarded packet as flowgate does on an agent with enough slots.
func (m *model) fromPeer(agent netip.AddrPort, message hop.Message) {
	p := decode(message.Packet)
	f := m.flows[p.From]
	placed := func(opening bool) {
		m.answer(hop.Message{Type: hop.Placed, Key: p.CallerKey(), Agent: agent, Opening: opening}, func(placed *hop.Message) {
			m.executeAll(m.steerer.Placed(m.time(), placed))
		})
	}
	switch {
	case p.Opening():
		placed(true)
		m.after(hostDelay, func() {
			if !f.holder.IsValid() {
				f.holder = agent
				m.sendWindow(f)
			}
		})
	case f.holder == agent:
		if message.ReportHolder || message.Position > 0 {
			placed(false)
		}
		if p.Length > 0 && !message.Query {
			m.deliver(f, int(p.Seq)/dataLength)
		}
	case int(message.Position)+1 < len(message.Candidates):
		message.Position++
		m.after(hostDelay, func() { m.fromPeer(message.Candidates[message.Position], message) })
	default:
		message.Type = hop.Declined
		m.answer(message, func(declined *hop.Message) { m.executeAll(m.steerer.Declined(m.time(), p, declined)) })
	}
}

// deliver delivers a packet to the backend server of the agent that holds its flow, which
// acknowledges it to the caller.
func (m *model) deliver(f *callerFlow, packet int) {
	if !f.delivered[packet] {
		f.delivered[packet] = true
		f.missing--
	}
	if r := f.request; f.missing == 0 && !r.received {
		r.received, r.inTime = true, m.now-r.started <= r.route.Objective
	}
	m.after(hostDelay, func() {
		f.acked[packet] = true
		for f.unacked < len(f.acked) && f.acked[f.unacked] {
			f.unacked++
		}
		m.sendWindow(f)
		if f.unacked == len(f.acked) && !f.ended {
			f.ended = true
			m.send(f, "closes", closeFlag|ackFlag, f.request.route.size, 1, 0)
		}
	})
}

// sendWindow sends the packets that the window of a flow has room for.
func (m *model) sendWindow(f *callerFlow) {
	for ; f.next < min(len(f.acked), f.unacked+window); f.next++ {
		m.sendData(f, f.next, "first packets", retransmitDelay)
	}
}

// sendData sends a packet of data until it is acknowledged.
func (m *model) sendData(f *callerFlow, packet int, kind string, delay time.Duration) {
	if f.ended || f.acked[packet] {
		return
	}
	m.send(f, kind, ackFlag, packet*dataLength, 1, min(dataLength, f.request.route.size-packet*dataLength))
	m.after(delay, func() { m.sendData(f, packet, "retransmissions", min(2*delay, maxRetransmitDelay)) })
}
