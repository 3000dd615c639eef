// Package flowgate decides what an agent does with each packet of a flow. All
// packets to and from a backend server pass through its agent, so the agent knows
// which flows the backend server holds and whether it can accept new ones. The
// package must not depend on sockets, clocks or goroutines.
package flowgate

import (
	"maps"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// openingResponseTimeout is how long the backend server may leave an opening
// unanswered before copies of it go to another agent.
const openingResponseTimeout = 150 * time.Millisecond

// Verdict is what happens to a packet.
type Verdict uint8

// The verdicts.
const (
	Deliver  Verdict = iota + 1 // goes to the backend server, with Mark
	Hold                        // waits for a slot; see Release
	ToCaller                    // the backend server's packet goes to the caller
	PassOn                      // Message goes to To: another agent, or the balancer
	Reset                       // is dropped, and the caller gets a reset
	Drop
	Notify // the packet is a query for a flow that this agent holds: only NotifyBalancer gets a message
)

// Action is the decision about one packet.
type Action struct {
	Verdict        Verdict
	Mark           uint32
	To             netip.AddrPort
	Message        hop.Message
	Packet         flow.Packet    // Reset: the packet that is answered
	Kind           errkind.Kind   // PassOn, Reset, Drop: why
	NotifyBalancer netip.AddrPort // balancer to notify that this agent holds or lost the flow, if valid
	Key            flow.Key
	Progress       FlowProgress
	Lost           LostEntry      // Reset: the entry of the flow
	LookupFrom     netip.AddrPort // Deliver: the balancer that looks for the holder, if the flow is unknown and the packet is offered
}

// LostEntry is what the agent knew of a flow that its backend server turned out
// not to hold, for logs.
type LostEntry struct {
	Age             time.Duration // since the flow was opened
	OpeningAnswered bool          // the backend server answered the opening
	Adopted         bool          // the entry was made by a packet of the backend server, not by an opening
}

// FlowProgress holds what a packet shows about its flow, for logs and metrics.
type FlowProgress struct {
	RequestStarted  bool          // the packet starts a request
	AnswerStarted   bool          // the packet starts the answer to a request
	AnswerTime      time.Duration // AnswerStarted: time since the request arrived
	OpeningAnswered bool          // the packet answers the opening of the flow
	OpenTime        time.Duration // OpeningAnswered: time since the opening was delivered
}

// Gate makes the decisions of one agent. It is not safe for concurrent use.
type Gate struct {
	self     netip.AddrPort
	service  uint32
	backend  backend
	health   health
	started  time.Time // start of this gate
	idle     idleLimit
	replaces bool // see Options.Replaces
	flows    table
	queue    queue
	routes   map[netip.AddrPort]view.Route
	// longestTimeout is that of a route's requests, 0 without routes.
	longestTimeout time.Duration
	offers         map[uint32]offer
	lastMark       uint32
	// lastOffers holds, by unknown flow, when a packet was last offered to the backend server.
	lastOffers map[flow.Key]time.Time
	denied     map[flow.Key]struct{} // flows that the backend server doesn't hold, learned from offers
	stopping   bool
	sweptAt    time.Time

	flowLifetime time.Duration

	// maybeOpened holds the flows that were being opened when the handover was written, and
	// since when this process runs without having seen them. Their packets are offered to the
	// backend server.
	maybeOpened map[flow.Key]time.Time
}

// FromPeer decides about a caller's packet that a balancer or another agent
// forwarded. A query carries only the header of the packet. It changes no state except that of
// a flow that is being opened; see openedFlow.
func (g *Gate) FromPeer(now time.Time, m *hop.Message, p flow.Packet) Action {
	key := p.CallerKey()
	if p.Has(flow.Open|flow.Ack) || (m.Query && p.Opening()) {
		return Action{Verdict: Drop, Kind: errkind.PacketForged, Key: key}
	}
	if p.Opening() {
		return g.openFlow(now, m, p, key)
	}
	f := g.openedFlow(now, key, p)
	if f == nil {
		return g.unknownFlow(now, m, key)
	}
	a := Action{Verdict: Deliver, Key: key}
	if m.ReportHolder || m.Position > 0 {
		a.NotifyBalancer = m.Balancer
	}
	if f.state == stateLost {
		a.Verdict, a.Packet, a.Kind, a.Lost = Reset, p, errkind.PacketFlowLost, f.lostEntry(now)
		return a
	}
	if m.Query {
		a.Verdict = Notify
		return a
	}
	a.Progress.RequestStarted = f.queued == nil && !f.awaitsAnswer && f.state == stateOpen && g.flows.isNewRequestData(f, p)
	if a.Progress.RequestStarted {
		f.requestSeenAt = now
	}
	if p.Has(flow.Reset) || p.Has(flow.Close) {
		g.recordAbandoned(now, f)
	}
	if g.holdForSlot(now, f, key, p, m.Packet) {
		a.Verdict = Hold
		f.queued.offered = f.queued.offered || isOffered(m)
	} else {
		g.flows.recordCallerPacket(now, f, p)
	}
	if f.state != stateOpen && f.queued != nil {
		g.queue.remove(f)
		f.queued = nil
	}
	return a
}

// openedFlow returns the flow of a caller's packet that is no opening, nil if it is unknown. If
// the flow is being opened, the packet opens it or shows that it is not the caller's flow.
func (g *Gate) openedFlow(now time.Time, key flow.Key, p flow.Packet) *entry {
	f := g.flows.get(key)
	if f == nil || f.state != stateOpening {
		return f
	}
	if !f.opens(p, fromCaller) {
		// The caller acknowledges another backend server's answer to the same
		// opening or, if the agent has restarted since, data of this one.
		g.flows.remove(key)
		return nil
	}
	g.flows.open(f)
	f.openedAt = now // an earlier run may have got the opening
	return f
}

// openFlow decides about an opening or a copy of it.
func (g *Gate) openFlow(now time.Time, m *hop.Message, p flow.Packet, key flow.Key) Action {
	f := g.flows.get(key)
	if f != nil && f.state == stateOpen {
		return Action{Verdict: Deliver, Key: key, NotifyBalancer: m.Balancer}
	}
	if f != nil && f.state == stateOpening {
		return g.repeatedOpening(now, f, m, key)
	}
	if kind := g.refusal(now, m.Service); kind != 0 {
		return g.passOn(m, key, kind)
	}
	if kind := g.yieldReason(now, m); kind != 0 {
		return g.passOn(m, key, kind)
	}
	g.backend.noteOpening(now)
	g.health.noteNewFlow(now)
	f = g.flows.add(key, now)
	f.firstOpeningAt, f.maybeOpen = now.Add(-p.Age), g.learns(now)
	delete(g.denied, key)
	return Action{Verdict: Deliver, Mark: g.keepOffer(now, m, key, nil), Key: key, NotifyBalancer: m.Balancer}
}

// repeatedOpening decides about a copy of an opening that was delivered before. A
// copy that the backend server must not get is dropped while the backend server may
// answer the earlier one: if it were passed on and declined, the balancer would reset
// a flow that is open.
func (g *Gate) repeatedOpening(now time.Time, f *entry, m *hop.Message, key flow.Key) Action {
	unresponsive := !f.openingAnswered && now.Sub(f.openedAt) >= openingResponseTimeout
	refusal := g.refusal(now, m.Service)
	switch {
	case unresponsive && (len(m.Candidates) > 1 || refusal != 0):
		return g.passOn(m, key, errkind.BackendDown)
	case refusal != 0:
		return Action{Verdict: Drop, Kind: refusal, Key: key, NotifyBalancer: m.Balancer}
	}
	g.backend.noteOpening(now)
	return Action{Verdict: Deliver, Mark: g.keepOffer(now, m, key, nil), Key: key, NotifyBalancer: m.Balancer}
}

// refusal returns why a new flow of a service can't be accepted, 0 if it can.
func (g *Gate) refusal(now time.Time, service uint32) errkind.Kind {
	if service != g.service {
		return errkind.PacketWrongTarget
	}
	return g.backend.refusal(now, g.flows.openFlows)
}

// passOn sends a message to its next candidate, after the last one to the least
// loaded agent that passed it on, and otherwise back to the balancer.
func (g *Gate) passOn(m *hop.Message, key flow.Key, kind errkind.Kind) Action {
	a := Action{Verdict: PassOn, Message: *m, Kind: kind, Key: key}
	if int(m.Position)+1 < len(m.Candidates) {
		a.Message.Position++
		a.To = m.Candidates[a.Message.Position]
		return a
	}
	if m.LeastLoaded > 0 && !m.LastRound {
		a.Message.Position, a.Message.LastRound = m.LeastLoaded-1, true
		a.To = m.Candidates[a.Message.Position]
		return a
	}
	a.Message.Type = hop.Declined
	a.Message.Position = 0
	a.To = m.Balancer
	return a
}

// Tick removes expired flows and offers, and records overdue requests, at most
// once a second. It returns the flows whose delivered request no longer counts as in
// progress although it has no answer.
func (g *Gate) Tick(now time.Time) []flow.Key {
	if now.Sub(g.sweptAt) < time.Second {
		return nil
	}
	g.sweptAt = now
	g.expireLearning(now)
	if !g.learns(now) {
		clear(g.denied)
	}
	g.recordOverdue(now)
	for mark, o := range g.offers {
		if now.Sub(o.at) > bounceTimeout {
			delete(g.offers, mark)
		}
	}
	maps.DeleteFunc(g.lastOffers, func(_ flow.Key, at time.Time) bool { return now.Sub(at) >= hop.OfferWindow })
	maps.DeleteFunc(g.maybeOpened, func(_ flow.Key, since time.Time) bool { return !g.mayLive(now, since) })
	return g.sweepFlows(now)
}

// Load returns the load that the agent reports to balancers.
func (g *Gate) Load(now time.Time) hop.Load {
	return hop.Load{
		Flows:      uint16(min(g.flows.openFlows, 1<<16-1)),
		InProgress: uint16(min(g.outstanding(), 1<<16-1)),
		Slots:      uint16(min(g.backend.report.Slots, 1<<16-1)),
		Refusing:   g.Refusal(now) != 0,
		Stopping:   g.stopping,
	}
}

// Placed returns the message that notifies a balancer that this agent holds a flow or has
// delivered its opening.
func (g *Gate) Placed(now time.Time, key flow.Key) hop.Message {
	f := g.flows.get(key)
	return hop.Message{
		Type: hop.Placed, Opening: f != nil && f.state == stateOpening,
		Service: g.service, Key: key, Agent: g.self, Load: g.Load(now),
	}
}

// Refusal returns why the agent currently accepts no new flows, or only a few, and
// 0 if it accepts all.
func (g *Gate) Refusal(now time.Time) errkind.Kind {
	if kind := g.refusal(now, g.service); kind != 0 || !g.health.failing {
		return kind
	}
	return errkind.BackendFailing
}

// SetRoutes replaces the routes, which give the objective, timeout and priority of
// requests.
func (g *Gate) SetRoutes(routes map[netip.AddrPort]view.Route) {
	g.routes, g.longestTimeout = routes, 0
	for _, r := range routes {
		_, timeout := r.Limits()
		g.longestTimeout = max(g.longestTimeout, timeout)
	}
}

// InProgress returns the number of delivered requests whose answer has not started.
func (g *Gate) InProgress() int { return g.flows.inProgress }

// OpenFlows returns the number of flows that the backend server holds.
func (g *Gate) OpenFlows() int { return g.flows.openFlows }
