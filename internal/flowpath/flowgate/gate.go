// Package flowgate decides, without sockets, clocks or goroutines, what an
// agent does with each packet of a flow: it is the only way to its backend
// server, so it knows which flows the server holds and what new ones it bears.
package flowgate

import (
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	// silentAfter is how long the backend server may leave an opening without
	// an answer before copies of it go to another agent.
	silentAfter = 150 * time.Millisecond
	// offerTimeout is how long a packet that was offered to the backend server
	// may take to come back.
	offerTimeout = 2 * time.Second
	// muteAfter is how long a backend server may send nothing after a packet
	// was offered to it. It covers the work on a request.
	muteAfter = 450 * time.Millisecond
	// maxOffers bounds the packets that may come back.
	maxOffers = 4096
	// ackWindow is the distance up to which an acknowledgement belongs to the
	// numbers of this backend server, in bytes.
	ackWindow = 1 << 20
)

// Verdict says what happens to a packet.
type Verdict uint8

// The verdicts.
const (
	Deliver  Verdict = iota + 1 // to the backend server, with Mark
	Hold                        // the packet waits for a slot; see Release
	ToCaller                    // the backend server's packet goes to the caller
	PassOn                      // Message goes to To: another agent, or the balancer
	Reset                       // the caller gets a reset
	Drop
)

// Action is the answer to one packet.
type Action struct {
	Verdict Verdict
	Mark    uint32
	To      netip.AddrPort
	Message hop.Message
	Packet  flow.Packet    // Reset: the packet that is answered
	Kind    errkind.Kind   // PassOn, Reset, Drop: why
	Tell    netip.AddrPort // a balancer that is to know that this agent holds or lost the flow
	Key     flow.Key
	Seen    Seen
}

// Seen is what a packet shows of its flow, for logs and metrics.
type Seen struct {
	Request  bool          // the packet starts a request
	Answered bool          // the packet starts the answer of a request
	Took     time.Duration // Answered: since the request was seen
	Opened   bool          // the packet answers the flow's opening
	OpenTook time.Duration // Opened: since the opening was delivered
}

// offer is a packet that the backend server may return.
type offer struct {
	message hop.Message
	key     flow.Key
	at      time.Time
	raw     []byte // kept for packets that may have to go on to other agents
}

// Gate decides for one agent. It is not safe for concurrent use.
type Gate struct {
	self    netip.AddrPort
	service uint32
	backend backend
	health  health
	flows   table
	waiting queue
	routes  map[netip.AddrPort]view.Route
	offers  map[uint32]offer
	mark    uint32
	swept   time.Time
}

// Options are the fixed facts of a gate.
type Options struct {
	Self    netip.AddrPort // where this agent takes messages
	Service uint32
	Limits  Limits
	// Learning is set if the backend server may hold flows from before this
	// process. Unknown packets are then offered to it for LearnFor.
	Learning bool
	LearnFor time.Duration
}

// New returns a gate that was started at now.
func New(o Options, now time.Time) *Gate {
	g := &Gate{
		self:    o.Self,
		service: o.Service,
		backend: newBackend(o.Limits, now),
		flows:   newTable(),
		offers:  map[uint32]offer{},
	}
	if o.Learning {
		g.backend.learnUntil = now.Add(o.LearnFor)
	}
	return g
}

// FromPeer decides about a caller's packet that a balancer or another agent
// sent.
func (g *Gate) FromPeer(now time.Time, m *hop.Message, p flow.Packet) Action {
	key := p.CallerKey()
	if p.Has(flow.Open | flow.Ack) {
		return Action{Verdict: Drop, Kind: errkind.PacketForged, Key: key}
	}
	if p.Opening() {
		return g.open(now, m, p, key)
	}
	f := g.flows.get(key)
	if f == nil {
		return g.unknown(now, m, key)
	}
	if f.state == opening && f.answered && p.Ack-f.backendSeq > ackWindow {
		// The caller continues with another backend server that answered the
		// same opening.
		g.flows.remove(key)
		return g.passOn(m, key, errkind.PacketNoHolder)
	}
	a := Action{Verdict: Deliver, Key: key}
	if m.Ask || m.Position > 0 {
		a.Tell = m.Balancer
	}
	if f.state == lost {
		a.Verdict, a.Packet, a.Kind = Reset, p, errkind.PacketFlowLost
		return a
	}
	a.Seen.Request = f.held == nil && !f.waiting && (f.state == open || f.state == opening) && g.flows.isNew(f, p)
	if a.Seen.Request {
		f.asked = now
	}
	if p.Has(flow.Reset) || p.Has(flow.Close) {
		g.noteGivenUp(now, f)
	}
	if g.hold(now, f, key, p, m.Packet) {
		a.Verdict = Hold
	} else {
		g.flows.fromCaller(now, f, p)
	}
	if f.state != open && f.held != nil {
		g.waiting.remove(f)
		f.held = nil
	}
	return a
}

// unknown handles a packet of a flow that this agent doesn't know.
func (g *Gate) unknown(now time.Time, m *hop.Message, key flow.Key) Action {
	if !now.Before(g.backend.learnUntil) || g.backend.mute(now) {
		return g.passOn(m, key, errkind.PacketNoHolder)
	}
	g.backend.offered(now)
	return Action{Verdict: Deliver, Mark: g.offer(now, m, key, slices.Clone(m.Packet)), Key: key}
}

// Unanswered returns the packets that were offered to a backend server which
// has sent nothing since: it is gone, and another agent may hold their flows.
func (g *Gate) Unanswered(now time.Time) []Action {
	if !g.backend.mute(now) {
		return nil
	}
	var out []Action
	for mark, o := range g.offers {
		if o.raw == nil || now.Sub(o.at) < muteAfter {
			continue
		}
		delete(g.offers, mark)
		o.message.Packet = o.raw
		out = append(out, g.passOn(&o.message, o.key, errkind.BackendDown))
	}
	return out
}

// Vanished reports whether the backend server has ended unseen: it has said
// nothing since this process started and leaves offered packets unanswered.
func (g *Gate) Vanished(now time.Time) bool {
	return g.backend.reported.IsZero() && g.backend.mute(now)
}

// offer keeps a message until the backend server may have returned its packet.
// It also keeps raw, if that may have to go on to other agents.
func (g *Gate) offer(now time.Time, m *hop.Message, key flow.Key, raw []byte) uint32 {
	if len(g.offers) >= maxOffers {
		return 0
	}
	g.mark++
	if g.mark == 0 {
		g.mark++
	}
	kept := *m
	kept.Candidates = slices.Clone(m.Candidates)
	kept.Packet = nil
	g.offers[g.mark] = offer{message: kept, key: key, at: now, raw: raw}
	return g.mark
}

// open decides about the first packet of a flow or a copy of it.
func (g *Gate) open(now time.Time, m *hop.Message, p flow.Packet, key flow.Key) Action {
	f := g.flows.get(key)
	if f != nil && f.state == open {
		return Action{Verdict: Deliver, Key: key, Tell: m.Balancer}
	}
	if f != nil && f.state == opening {
		return g.copied(now, f, m, key)
	}
	if kind := g.refusal(now, m.Service); kind != 0 {
		return g.passOn(m, key, kind)
	}
	if kind := g.yield(now, m); kind != 0 {
		return g.passOn(m, key, kind)
	}
	g.backend.took(now)
	g.health.took(now)
	g.flows.add(key, now, opening).tried = now.Add(-p.Age)
	return Action{Verdict: Deliver, Mark: g.offer(now, m, key, nil), Key: key, Tell: m.Balancer}
}

// copied decides about a copy of an opening that was delivered before.
func (g *Gate) copied(now time.Time, f *entry, m *hop.Message, key flow.Key) Action {
	silent := !f.answered && now.Sub(f.opened) >= silentAfter
	if (silent && len(m.Candidates) > 1) || g.refusal(now, m.Service) != 0 {
		return g.passOn(m, key, errkind.BackendDown)
	}
	g.backend.took(now)
	return Action{Verdict: Deliver, Mark: g.offer(now, m, key, nil), Key: key, Tell: m.Balancer}
}

// refusal returns why a new flow can't be taken, 0 if it can.
func (g *Gate) refusal(now time.Time, service uint32) errkind.Kind {
	if service != g.service {
		return errkind.PacketWrongTarget
	}
	return g.backend.refusal(now, g.flows.open)
}

// passOn sends a message to its next candidate, then to the least busy of those
// that yielded, or back to the balancer.
func (g *Gate) passOn(m *hop.Message, key flow.Key, kind errkind.Kind) Action {
	a := Action{Verdict: PassOn, Message: *m, Kind: kind, Key: key}
	if int(m.Position)+1 < len(m.Candidates) {
		a.Message.Position++
		a.To = m.Candidates[a.Message.Position]
		return a
	}
	if m.Best > 0 && !m.Final {
		a.Message.Position, a.Message.Final = m.Best-1, true
		a.To = m.Candidates[a.Message.Position]
		return a
	}
	a.Message.Type = hop.Declined
	a.Message.Position = 0
	a.To = m.Balancer
	return a
}

// FromBackend decides about a packet that the backend server sent.
func (g *Gate) FromBackend(now time.Time, p flow.Packet) Action {
	if p.Has(flow.Bounced) {
		return g.bounced(now, p)
	}
	key := p.BackendKey()
	g.backend.openings.answered, g.backend.offers.answered = now, now
	f := g.flows.get(key)
	if f == nil || f.state == lost {
		if p.Has(flow.Reset) {
			return Action{Verdict: ToCaller, Key: key}
		}
		f = g.flows.add(key, now, open)
		return g.adopted(now, f, p, key)
	}
	a := Action{Verdict: ToCaller, Key: key}
	switch {
	case p.Has(flow.Open) && !f.answered:
		a.Seen.Opened, a.Seen.OpenTook = true, now.Sub(f.opened)
	case f.isNewReply(p) && f.waiting:
		a.Seen.Answered, a.Seen.Took = true, now.Sub(f.asked)
	}
	if f.waiting && (a.Seen.Answered || p.Has(flow.Reset)) {
		g.noteAnswer(now, p.Has(flow.Reset), p.Status)
	}
	g.flows.fromBackend(now, f, p)
	return a
}

// adopted handles the first packet of a flow that the backend server held
// already when this process started. The balancer that asked for the flow is
// told who holds it.
func (g *Gate) adopted(now time.Time, f *entry, p flow.Packet, key flow.Key) Action {
	a := Action{Verdict: ToCaller, Key: key}
	for _, o := range g.offers {
		if o.raw != nil && o.key == key && o.message.Ask {
			a.Tell = o.message.Balancer
			break
		}
	}
	g.flows.fromBackend(now, f, p)
	return a
}

// bounced decides about a packet that the backend server returned.
func (g *Gate) bounced(now time.Time, p flow.Packet) Action {
	key := p.CallerKey()
	g.backend.offers.answered = now
	o, offered := g.offers[p.Mark]
	delete(g.offers, p.Mark)
	f := g.flows.get(key)
	if p.Opening() {
		if f != nil && f.state == opening && !f.answered {
			g.flows.remove(key)
		}
		if !offered {
			return Action{Verdict: Drop, Kind: errkind.BackendFull, Key: key}
		}
		return g.passOn(&o.message, key, errkind.BackendFull)
	}
	if f != nil && f.state == open {
		// The backend server held the flow and doesn't any more: it started
		// again and its reports have not said so yet.
		g.backend.restarted()
		g.flows.lose(f)
		if p.Has(flow.Reset) {
			return Action{Verdict: Drop, Kind: errkind.PacketFlowLost, Key: key}
		}
		return Action{Verdict: Reset, Packet: p, Kind: errkind.PacketFlowLost, Key: key}
	}
	if !offered {
		return Action{Verdict: Drop, Kind: errkind.PacketNoHolder, Key: key}
	}
	return g.passOn(&o.message, key, errkind.PacketNoHolder)
}

// Tick forgets what is over.
func (g *Gate) Tick(now time.Time) {
	if now.Sub(g.swept) < time.Second {
		return
	}
	g.swept = now
	g.noteOverdue(now)
	for mark, o := range g.offers {
		if now.Sub(o.at) > offerTimeout {
			delete(g.offers, mark)
		}
	}
	g.flows.sweep(now, g.backend.idleTimeout)
}

// Load returns what the agent tells balancers.
func (g *Gate) Load(now time.Time) hop.Load {
	return hop.Load{
		Flows:      uint16(min(g.flows.open, 1<<16-1)),
		InProgress: uint16(min(g.requests(), 1<<16-1)),
		Slots:      uint16(min(g.backend.report.Slots, 1<<16-1)),
		Refusing:   g.Refusal(now) != 0,
	}
}

// Placed returns the message that tells a balancer of a flow held here.
func (g *Gate) Placed(now time.Time, key flow.Key) hop.Message {
	return hop.Message{Type: hop.Placed, Service: g.service, Key: key, Agent: g.self, Load: g.Load(now)}
}

// Refusal returns why the agent takes no new flows now, or only a few, and 0
// otherwise.
func (g *Gate) Refusal(now time.Time) errkind.Kind {
	if kind := g.refusal(now, g.service); kind != 0 || !g.health.failing {
		return kind
	}
	return errkind.BackendFailing
}

// SetRoutes takes over what the configuration says of requests.
func (g *Gate) SetRoutes(routes map[netip.AddrPort]view.Route) { g.routes = routes }

// InProgress returns the number of requests without the start of an answer.
func (g *Gate) InProgress() int { return g.flows.inProgress }

// OpenFlows returns the number of flows that the backend server holds.
func (g *Gate) OpenFlows() int { return g.flows.open }
