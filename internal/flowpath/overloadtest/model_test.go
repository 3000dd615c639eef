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
	// window is the number of packets that a caller sends before it waits for their receipt.
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
	ackFlag   = 4
	resetFlag = 16
	closeFlag = 1
)

var (
	startTime       = time.Unix(1_790_000_000, 0)
	balancerAddress = netip.MustParseAddrPort("10.1.0.1:7720")
	openingCopies   = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
)

// route is a kind of request. Wire is the number of bytes that one sends through the link.
type route struct {
	view.Route
	size, wire int
}

var (
	small  = newRoute("small", 1, 1, 150, 250*time.Millisecond, time.Second)
	upload = newRoute("upload", 2, 2, 40_000, 800*time.Millisecond, 2*time.Second)
)

func newRoute(name string, host byte, priority, size int, objective, timeout time.Duration) route {
	packets := (size + dataLength - 1) / dataLength
	return route{size: size, wire: size + (packets+2)*(platform.HeaderBytes+datagramOverhead), Route: view.Route{
		Name: name, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, host}), 8443), Priority: priority,
		Targets: []view.Target{{Service: "main", Weight: 1}}, Objective: objective, Timeout: timeout,
	}}
}

// request is what a caller wants, in up to maxAttempts flows.
type request struct {
	route    route
	started  time.Duration
	attempts int
	inTime   bool // all data reached the agent within the objective
	received bool // all data reached the agent
}

// callerFlow is one flow of a request with both of its ends: the caller, and the agent with
// which the caller continues, the first one that answered its opening.
type callerFlow struct {
	request          *request
	caller           netip.AddrPort
	holder           netip.AddrPort
	ended            bool
	next             int    // first packet that was never sent
	unacked, missing int    // first packet that isn't acknowledged, number of packets that the agent lacks
	received, acked  []bool // by packet: the agent has it, the caller knows
}

// model is a balancer behind a narrow link, with its agents and callers.
type model struct {
	clock
	random   *rand.Rand
	in, out  link
	steerer  *flowsteer.Steerer
	flows    map[netip.AddrPort]*callerFlow // by address of the caller
	active   []*callerFlow
	callers  uint32
	requests []*request
	view     view.View
	buffer   []byte
	wire     []byte
	budget   *linkbudget.Budget
	zeros    [dataLength]byte
}

// newModel returns a model of a link whose rate differs from that of the settings if it is wrong there.
func newModel(rate, configured float64, seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), flows: map[netip.AddrPort]*callerFlow{}}
	m.in = link{clock: &m.clock, rate: rate, offered: map[string]int{}}
	m.out = link{clock: &m.clock, rate: rate, offered: map[string]int{}}
	m.view = view.View{
		Configuration: view.Configuration{Revision: 1, Routes: map[netip.AddrPort]view.Route{small.Address: small.Route, upload.Address: upload.Route}},
		Evacuations:   view.Evacuations{Revision: 1},
		Members:       view.Members{Revision: 1, ByName: map[string]view.Member{}},
	}
	for i := range agentCount {
		name := fmt.Sprintf("agent-%d", i)
		m.view.Members.ByName[name] = view.Member{
			Name: name, Role: view.AgentRole, Domain: "a", Service: "main", Slots: 9, State: view.Ready,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), 8172),
		}
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
	m.executeRepeats(m.steerer.Tick(m.time()))
	m.after(timerInterval, m.tick)
}

// offer starts requests of a route until a time. The interval between two varies by half.
func (m *model) offer(r route, bytesPerSecond float64, until time.Duration) {
	if m.now >= until {
		return
	}
	req := &request{route: r, started: m.now}
	m.requests = append(m.requests, req)
	m.open(req)
	interval := float64(r.wire) / bytesPerSecond * float64(time.Second)
	m.after(time.Duration(interval*(0.5+m.random.Float64())), func() { m.offer(r, bytesPerSecond, until) })
}

// open starts the next attempt of a request.
func (m *model) open(r *request) {
	if r.received || r.attempts == maxAttempts {
		return
	}
	r.attempts++
	packets := (r.route.size + dataLength - 1) / dataLength
	f := &callerFlow{request: r, received: make([]bool, packets), acked: make([]bool, packets), missing: packets}
	m.move(f)
	m.active = append(m.active, f)
	for i, delay := range openingCopies {
		m.after(delay, func() {
			if !f.ended && !f.holder.IsValid() {
				m.send(f, "openings", openFlag, 0, uint32(i), 0)
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

// move gives a flow a new address of its caller, which the balancer doesn't know.
func (m *model) move(f *callerFlow) {
	m.callers++
	f.caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(m.callers >> 15), byte(m.callers >> 8 & 127)}), 1024+uint16(m.callers&255))
	m.flows[f.caller] = f
}

// rotate replaces the flows of this balancer by flows of other balancers in the same state, as
// a change of the rotation does.
func (m *model) rotate() {
	m.active = slices.DeleteFunc(m.active, func(f *callerFlow) bool { return f.ended })
	for _, f := range m.active {
		if f.holder.IsValid() {
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
func (m *model) send(f *callerFlow, kind string, flags byte, seq, ack uint32, length int) {
	raw := m.encode(f.caller, f.request.route.Address, flags, seq, ack, length)
	p, h := decode(raw), [platform.HeaderBytes]byte(raw)
	m.in.send(kind, len(raw), func() {
		if !m.admit(p, len(raw)) {
			return
		}
		action := m.steerer.FromCaller(m.time(), p, m.fill(h, len(raw)))
		if action.Message.ReportHolder && !p.Opening() {
			kind = "lookups"
		}
		m.execute(action, kind)
	})
}

// admit asks the link budget about a packet of a caller as pkg/flowbalancer does.
func (m *model) admit(p flow.Packet, length int) bool {
	m.budget.Received(m.time(), p, length)
	if !p.Opening() {
		return true
	}
	if p.Age > 0 {
		return !m.budget.RefusedCopy(m.time(), p.CallerKey())
	}
	admitted, _ := m.budget.AdmitOpening(m.time(), p.CallerKey(), m.view.Configuration.Routes[p.To])
	if !admitted {
		m.reset(p, "rejections")
	}
	return admitted
}

// reset sends the reset of a packet to its caller.
func (m *model) reset(p flow.Packet, kind string) {
	m.budget.Sent(m.time(), linkbudget.Control, platform.HeaderBytes, false)
	m.out.send(kind, platform.HeaderBytes, func() {
		if f := m.flows[p.From]; !f.ended {
			m.abort(f)
		}
	})
}

// encode encodes a packet into a buffer that the next call overwrites.
func (m *model) encode(from, to netip.AddrPort, flags byte, seq, ack uint32, length int) []byte {
	b := platform.AppendReset(m.buffer[:0], flow.Key{Caller: to, Service: from}, seq)
	b[30] = flags
	binary.BigEndian.PutUint16(b[20:], uint16(length))
	binary.BigEndian.PutUint32(b[26:], ack)
	return m.fill([platform.HeaderBytes]byte(b), len(b)+length)
}

// fill returns the packet of a header and a length, with data of zeros, in a buffer that the
// next call overwrites.
func (m *model) fill(header [platform.HeaderBytes]byte, length int) []byte {
	m.buffer = append(append(m.buffer[:0], header[:]...), m.zeros[:length-len(header)]...)
	return m.buffer
}

// decode decodes the header of a packet or of a query.
func decode(raw []byte) flow.Packet {
	p, err := platform.DecodeHeader(platform.CutToHeader(raw))
	if err != nil {
		panic(err)
	}
	return p
}

// executeRepeats executes actions that no packet of a caller has caused. Their order is made
// the same in each run, since the steerer keeps flows in maps.
func (m *model) executeRepeats(due []flowsteer.Action) {
	sorted := make([]*flowsteer.Action, len(due))
	for i := range due {
		sorted[i] = &due[i]
	}
	slices.SortStableFunc(sorted, func(a, b *flowsteer.Action) int {
		return cmp.Or(bytes.Compare(a.Message.Packet, b.Message.Packet), a.To.Compare(b.To))
	})
	for _, a := range sorted {
		kind := "forwarded later"
		switch {
		case a.Message.Type == hop.Hello:
			kind = "hellos"
		case a.Packet.Opening():
			kind = "repeated openings"
		case a.Message.ReportHolder:
			kind = "repeated lookups"
		}
		m.execute(*a, kind)
	}
}

// sentKind returns what the link budget counts a message as.
func sentKind(a flowsteer.Action) linkbudget.Kind {
	switch {
	case a.Message.Type == hop.Hello:
		return linkbudget.Control
	case a.Packet.Opening():
		return linkbudget.Opening
	case a.Message.ReportHolder:
		return linkbudget.Lookup
	}
	return linkbudget.Forward
}

func (m *model) execute(a flowsteer.Action, kind string) {
	switch a.Verdict {
	case flowsteer.Reset:
		m.reset(a.Packet, "resets")
	case flowsteer.Send:
		if a.Message.Query {
			a.Message.Packet = platform.CutToHeader(a.Message.Packet)
		}
		m.wire = a.Message.Append(m.wire[:0])
		size := len(m.wire)
		m.budget.Sent(m.time(), sentKind(a), size, a.Repeated)
		if a.Message.Type == hop.Hello {
			m.out.send(kind, size, func() {
				m.answer(&hop.Message{Type: hop.HelloAck, Agent: a.To}, func(ack *hop.Message) { m.steerer.HelloAck(m.time(), ack) })
			})
			return
		}
		m.out.send(kind, size, m.toAgent(a.To, a.Message))
	}
}

// answer sends a message of an agent to the balancer.
func (m *model) answer(message *hop.Message, handle func(*hop.Message)) {
	m.wire = message.Append(m.wire[:0])
	m.in.send("answers", len(m.wire), func() { handle(message) })
}

// toAgent returns the arrival of a forwarded packet at an agent.
func (m *model) toAgent(agent netip.AddrPort, message hop.Message) func() {
	h, length := [platform.HeaderBytes]byte(message.Packet), len(message.Packet)
	return func() { m.fromPeer(agent, message, h, length) }
}

// fromPeer handles a forwarded packet as flowgate does on an agent with enough slots.
func (m *model) fromPeer(agent netip.AddrPort, message hop.Message, h [platform.HeaderBytes]byte, length int) {
	message.Packet = m.fill(h, length)
	p := decode(message.Packet)
	f := m.flows[p.From]
	switch {
	case p.Opening():
		m.placed(p, agent, true)
		m.after(hostDelay, func() {
			if !f.holder.IsValid() {
				f.holder = agent
				m.sendWindow(f)
			}
		})
	case f.holder == agent:
		if message.ReportHolder || message.Position > 0 {
			m.placed(p, agent, false)
		}
		if p.Length > 0 && !message.Query {
			m.deliver(f, int(p.Seq)/dataLength)
		}
	case int(message.Position)+1 < len(message.Candidates):
		message.Position++
		m.after(hostDelay, m.toAgent(message.Candidates[message.Position], message))
	default:
		message.Type = hop.Declined
		m.answer(&message, func(declined *hop.Message) {
			declined.Packet = m.fill(h, length)
			m.executeRepeats(m.steerer.Declined(m.time(), p, declined))
		})
	}
}

// placed tells the balancer that an agent holds a flow.
func (m *model) placed(p flow.Packet, agent netip.AddrPort, opening bool) {
	m.answer(&hop.Message{Type: hop.Placed, Key: p.CallerKey(), Agent: agent, Opening: opening}, func(placed *hop.Message) {
		m.executeRepeats(m.steerer.Placed(m.time(), placed))
	})
}

// deliver delivers a packet to the backend server of the agent that holds its flow, which
// acknowledges it.
func (m *model) deliver(f *callerFlow, packet int) {
	if !f.received[packet] {
		f.received[packet] = true
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
			m.send(f, "closes", closeFlag|ackFlag, uint32(f.request.route.size), 1, 0)
		}
	})
}

// sendWindow sends the packets that the window of a flow has room for.
func (m *model) sendWindow(f *callerFlow) {
	for f.next < min(len(f.acked), f.unacked+window) {
		m.sendData(f, f.next, "first packets", retransmitDelay)
		f.next++
	}
}

// sendData sends a packet of data until it is acknowledged.
func (m *model) sendData(f *callerFlow, packet int, kind string, delay time.Duration) {
	if f.ended || f.acked[packet] {
		return
	}
	length := min(dataLength, f.request.route.size-packet*dataLength)
	m.send(f, kind, ackFlag, uint32(packet*dataLength), 1, length)
	m.after(delay, func() { m.sendData(f, packet, "retransmissions", min(2*delay, maxRetransmitDelay)) })
}
