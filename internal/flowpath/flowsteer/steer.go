// Package flowsteer decides where a balancer sends each packet of a caller. It
// must not depend on sockets, clocks or goroutines.
//
// The balancer keeps no state that a flow depends on. It caches which agent holds
// a flow, and any other balancer finds that agent by asking the agents in the
// order of their rendezvous rank for the flow.
package flowsteer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/rendezvous"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	// maxDroppedRoutes is the maximum number of dropped routes that are remembered.
	// Flows of others are reset only after a lookup.
	maxDroppedRoutes = 1 << 16
	// maxUnroutedFlows is the maximum number of flows of dropped routes that are
	// remembered. Others are not reset for lack of their route.
	maxUnroutedFlows = 4096
)

// Verdict is what happens to a packet.
type Verdict uint8

// The verdicts.
const (
	Send  Verdict = iota + 1 // Message goes to To
	Reset                    // the caller gets a reset of the flow of Packet
	Keep                     // the packet waits until the agent of its flow is known
	Drop
)

// Action is a decision about one packet, or one message that is due.
type Action struct {
	Verdict Verdict
	To      netip.AddrPort
	Message hop.Message
	Packet  flow.Packet  // Reset: the packet that is answered; Send of Service: the opening
	Kind    errkind.Kind // Reset, Drop, Keep: why; 0 for Keep while agents are being asked
	Service string       // the service that the packet was meant for, if known
	// Repeated is set for a Send that the balancer itself causes and whose packet, or a query
	// for it, was sent to agents before. Forwarding a copy that the caller sent is no repeat.
	Repeated bool
	Lookup   LookupResult // Reset, Keep of kind PacketNoHolder: what the lookup found
}

// LookupResult is what a balancer knew when no agent held a flow, for logs.
type LookupResult struct {
	Members    view.Revision // revision of the members in the view
	ViewAge    time.Duration // age of the view at the start of the lookup
	Duration   time.Duration // since the start of the lookup
	Denied     int           // number of agents that denied the flow
	DeadAgents []DeadAgent   // agents that were not asked because they count as dead
}

// DeadAgent is an agent that counts as dead, for logs.
type DeadAgent struct {
	Name       string
	Silence    time.Duration // since the oldest unanswered hello, by the running time of this balancer
	Restarting bool          // it has announced that its process restarts
}

// Steerer makes the decisions of one balancer. It is not safe for concurrent use.
type Steerer struct {
	self        netip.AddrPort
	domain      string
	options     Options
	retryBudget retryBudget
	view        view.View
	confirmedAt view.Confirmations
	agents      agentSet
	flows       holders
	openings    map[flow.Key]*opening
	lookups     map[flow.Key]*lookup
	offers      offerLimiter
	// waitingPackets is the number of packets that wait for all lookups together.
	waitingPackets int
	// droppedRoutes are the routes that an earlier configuration had.
	droppedRoutes map[netip.AddrPort]bool
	// unroutedFlows are the flows of dropped routes, with the time of their first
	// packet under the current configuration.
	unroutedFlows map[flow.Key]time.Time
}

// New returns a steerer for a balancer of a failure domain, whose address for
// messages of other nodes is self.
func New(self netip.AddrPort, domain string, o Options) *Steerer {
	return &Steerer{
		self:        self,
		domain:      domain,
		options:     o,
		retryBudget: newRetryBudget(o),
		agents:      newAgentSet(),
		flows:       newHolders(),
		openings:    map[flow.Key]*opening{},
		lookups:     map[flow.Key]*lookup{},
		offers:      newOfferLimiter(),

		droppedRoutes: map[netip.AddrPort]bool{},
		unroutedFlows: map[flow.Key]time.Time{},
	}
}

// SetView replaces the view and its confirmations. Both are set in one call because a
// later confirmation says nothing about an earlier view.
func (s *Steerer) SetView(v view.View, confirmedAt view.Confirmations) {
	agentsChanged := v.Members.Revision != s.view.Members.Revision || v.Evacuations.Revision != s.view.Evacuations.Revision
	s.recordDroppedRoutes(v.Configuration)
	s.view, s.confirmedAt, s.agents.confirmedAt = v, confirmedAt, confirmedAt.Members
	if agentsChanged {
		s.agents.setView(v, s.domain)
	}
}

// recordDroppedRoutes remembers the routes that are missing from a new configuration.
func (s *Steerer) recordDroppedRoutes(next view.Configuration) {
	if next.Revision == s.view.Configuration.Revision {
		return
	}
	clear(s.unroutedFlows)
	for address := range s.view.Configuration.Routes {
		if _, ok := next.Routes[address]; !ok && len(s.droppedRoutes) < maxDroppedRoutes {
			s.droppedRoutes[address] = true
		}
	}
	for address := range s.droppedRoutes {
		if _, ok := next.Routes[address]; ok {
			delete(s.droppedRoutes, address)
		}
	}
}

// FromCaller decides about a caller's packet; raw is its encoding.
func (s *Steerer) FromCaller(now time.Time, p flow.Packet, raw []byte) Action {
	route, ok := s.view.Configuration.Routes[p.To]
	key := p.CallerKey()
	switch {
	case s.view.Configuration.Revision == 0:
		return Action{Verdict: Drop, Kind: errkind.PacketNoRoute, Packet: p}
	case p.Opening() && !ok:
		return s.rejectOpening(now, now.Add(-p.Age), p, errkind.PacketNoRoute, "")
	case p.Opening():
		return s.openFlow(now, key, p, raw, route)
	case !ok && !p.Has(flow.Reset) && s.lostRoute(now, key):
		return Action{Verdict: Reset, Kind: errkind.PacketNoRoute, Packet: p}
	}
	if agent, ok := s.flows.get(key, now); ok {
		if !s.agents.isLost(agent) {
			return s.forwardToHolder(agent, raw)
		}
		s.flows.remove(key)
	}
	return s.findHolder(now, key, p, raw)
}

// lostRoute reports whether the route of a flow was dropped after the flow was opened:
// the configuration without the route was current when a packet of the flow had come.
// Without that, another balancer may have opened the flow by a newer configuration.
func (s *Steerer) lostRoute(now time.Time, key flow.Key) bool {
	if !s.droppedRoutes[key.Service] {
		return false
	}
	firstPacketAt, ok := s.unroutedFlows[key]
	if !ok {
		firstPacketAt = now
		if len(s.unroutedFlows) < maxUnroutedFlows {
			s.unroutedFlows[key] = now
		}
	}
	return !s.confirmedAt.Configuration.Before(firstPacketAt)
}

// forwardToHolder sends a packet to the agent that holds its flow.
func (s *Steerer) forwardToHolder(agent netip.AddrPort, raw []byte) Action {
	return s.forward([]netip.AddrPort{agent}, 0, false, raw)
}

// forward sends a packet to the first candidate, with the list of all. With
// reportHolder set, the agent that holds the flow answers with Placed.
func (s *Steerer) forward(candidates []netip.AddrPort, service uint32, reportHolder bool, raw []byte) Action {
	return Action{Verdict: Send, To: candidates[0], Message: hop.Message{
		Type:         hop.Forward,
		ReportHolder: reportHolder,
		Service:      service,
		Balancer:     s.self,
		Candidates:   candidates,
		Packet:       raw,
	}}
}

// Placed records that an agent holds a flow. Packets that waited for the lookup of
// the flow go to the agent. An agent that has only delivered the opening may not be the
// one with whose backend server the caller continues: it replaces no known holder and
// ends no lookup.
func (s *Steerer) Placed(now time.Time, m *hop.Message) []Action {
	s.agents.recordLoad(now, m.Agent, m.Load)
	s.retryBudget.earnAnswer()
	delete(s.openings, m.Key)
	l := s.lookups[m.Key]
	_, known := s.flows.get(m.Key, now)
	if m.Opening && (known || l != nil) {
		return nil
	}
	s.flows.set(m.Key, m.Agent, now)
	if l == nil {
		return nil
	}
	s.endLookup(m.Key)
	var due []Action
	if l.needsForward && !slices.Contains(l.offeredTo, m.Agent) {
		due = append(due, s.forwardToHolder(m.Agent, l.raw))
		due[0].Repeated = len(l.offeredTo) > 0
	}
	for _, raw := range l.waitingPackets {
		due = append(due, s.forwardToHolder(m.Agent, raw))
	}
	for i := range due {
		due[i].Message.Offered = l.usesQueries && s.wasOffered(now, m.Key)
	}
	return due
}

// HelloAck records an agent's load.
func (s *Steerer) HelloAck(now time.Time, m *hop.Message) {
	s.agents.recordLoad(now, m.Agent, m.Load)
}

// Declined decides about a packet whose flow no listed candidate holds or accepts.
func (s *Steerer) Declined(now time.Time, p flow.Packet, m *hop.Message) []Action {
	key := p.CallerKey()
	s.retryBudget.earnAnswer()
	if p.Opening() {
		return []Action{s.declinedOpening(now, key, p, m)}
	}
	if m.ReportHolder {
		return s.recordDenial(now, key, p, m)
	}
	// The packet was sent to the cached agent, which doesn't hold the flow.
	holder, known := s.flows.get(key, now)
	var a Action
	if known && !slices.Contains(m.Candidates, holder) {
		a = s.forwardToHolder(holder, m.Packet)
	} else {
		s.flows.remove(key)
		a = s.findHolder(now, key, p, m.Packet)
	}
	a.Repeated = a.Verdict == Send && !a.Message.Query
	return []Action{a}
}

// Tick returns the actions that are due: retries of unanswered openings and of
// lookups, and hellos.
func (s *Steerer) Tick(now time.Time) []Action {
	s.retryBudget.refill(now)
	due := s.retryOpenings(now)
	for _, agent := range s.agents.dueHellos(now) {
		due = append(due, Action{Verdict: Send, To: agent, Message: hop.Message{Type: hop.Hello, Balancer: s.self}})
	}
	s.offers.expire(now)
	return append(due, s.retryLookups(now)...)
}

// RetryBudget returns the bytes that the balancer may spend now on messages that it repeats
// by its timers, 0 if they are not limited.
func (s *Steerer) RetryBudget() int64 { return int64(s.retryBudget.left) }

// CachedFlows returns the number of flows whose agent is cached.
func (s *Steerer) CachedFlows() int { return s.flows.len() }

// Isolated reports whether the balancer is cut off, so that other balancers serve
// callers better.
func (s *Steerer) Isolated() bool { return s.agents.isolated() }

// AnswerHello returns the answer to a hello of another balancer.
func (s *Steerer) AnswerHello(m *hop.Message) Action {
	return Action{Verdict: Send, To: m.Balancer, Message: hop.Message{Type: hop.HelloAck, Agent: s.self}}
}

// ServiceID returns the hash that identifies a service in messages between nodes.
func ServiceID(service string) uint32 { return uint32(rendezvous.Hash(service)) }
