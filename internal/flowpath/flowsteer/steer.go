// Package flowsteer decides, without sockets, clocks or goroutines, where a
// balancer sends each packet of a caller.
//
// The balancer keeps no state that a flow depends on. It remembers which agent
// holds a flow, and any other balancer finds that agent by asking the agents
// in the order of their rank for the flow.
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
	// placementTimeout is how long an agent may take to say that it holds a new
	// flow. It covers a round trip between failure domains and a busy agent,
	// and ends before the caller sends its first copy after 200 ms.
	placementTimeout = 80 * time.Millisecond
	// maxOpenings bounds the flows that wait for an agent's answer.
	maxOpenings = 4096
)

// Verdict says what happens to a packet.
type Verdict uint8

// The verdicts.
const (
	Send  Verdict = iota + 1 // Message goes to To
	Reset                    // the caller gets a reset of Packet's flow
	Keep                     // the packet waits until the agent of its flow is known
	Drop
)

// Action is the answer to one packet or timer.
type Action struct {
	Verdict Verdict
	To      netip.AddrPort
	Message hop.Message
	Packet  flow.Packet  // Reset: the packet that is answered
	Kind    errkind.Kind // Reset, Drop: why; Keep: the same, 0 while agents are being asked
	Service string       // the service that the packet was meant for, if known
}

// Steerer decides for one balancer. It is not safe for concurrent use.
type Steerer struct {
	self      netip.AddrPort
	domain    string
	view      view.View
	confirmed time.Time
	agents    agents
	flows     holders
	openings  map[flow.Key]*opening
	lookups   map[flow.Key]*lookup
}

// opening is a new flow whose agent has not answered yet.
type opening struct {
	packet  []byte
	service string
	rest    []netip.AddrPort // candidates that were not asked yet
	asked   netip.AddrPort
	at      time.Time
}

// New returns a steerer for the balancer of a failure domain that agents answer
// at self.
func New(self netip.AddrPort, domain string) *Steerer {
	return &Steerer{
		self:     self,
		domain:   domain,
		agents:   newAgents(),
		flows:    newHolders(),
		openings: map[flow.Key]*opening{},
		lookups:  map[flow.Key]*lookup{},
	}
}

// SetView takes a new view over.
func (s *Steerer) SetView(v view.View) {
	s.view = v
	s.agents.set(v, s.domain)
}

// SetConfirmed tells when the view was last known to be current.
func (s *Steerer) SetConfirmed(at time.Time) { s.confirmed = at }

// FromCaller decides about a caller's packet; raw is its encoding.
func (s *Steerer) FromCaller(now time.Time, p flow.Packet, raw []byte) Action {
	route, ok := s.view.Configuration.Routes[p.To]
	if !ok {
		if s.view.Configuration.Revision == 0 || p.Has(flow.Reset) {
			return Action{Verdict: Drop, Kind: errkind.PacketNoRoute, Packet: p}
		}
		return Action{Verdict: Reset, Kind: errkind.PacketNoRoute, Packet: p}
	}
	key := p.CallerKey()
	if p.Opening() {
		return s.open(now, key, p, raw, route)
	}
	if agent, ok := s.flows.get(key, now); ok {
		if !s.agents.lost(now, agent) {
			return s.toHolder(agent, raw)
		}
		s.flows.remove(key)
	}
	return s.lookUp(now, key, p, raw)
}

// toHolder sends a packet to the agent that holds its flow.
func (s *Steerer) toHolder(agent netip.AddrPort, raw []byte) Action {
	return s.forward([]netip.AddrPort{agent}, 0, false, raw)
}

func (s *Steerer) forward(candidates []netip.AddrPort, service uint32, ask bool, raw []byte) Action {
	return Action{Verdict: Send, To: candidates[0], Message: hop.Message{
		Type:       hop.Forward,
		Ask:        ask,
		Service:    service,
		Balancer:   s.self,
		Candidates: candidates,
		Packet:     raw,
	}}
}

// open places a new flow. A copy of an opening goes to the agent that holds
// the flow, or to the next candidate if none has answered.
func (s *Steerer) open(now time.Time, key flow.Key, p flow.Packet, raw []byte, route view.Route) Action {
	if o, ok := s.openings[key]; ok && len(o.rest) > 0 {
		return s.askNext(now, o)
	}
	service := s.chooseService(key, route)
	candidates := s.agents.rankOpen(key.Hash(), service)
	if holder, ok := s.flows.get(key, now); ok {
		candidates = slices.DeleteFunc(candidates, func(a netip.AddrPort) bool { return a == holder })
		candidates = slices.Insert(candidates, 0, holder)
	}
	if len(candidates) == 0 {
		return Action{Verdict: Reset, Kind: errkind.PacketNoAgent, Packet: p, Service: service}
	}
	o := &opening{packet: slices.Clone(raw), service: service, rest: candidates}
	if len(s.openings) < maxOpenings {
		s.openings[key] = o
	}
	return s.askNext(now, o)
}

// askNext sends an opening to the candidates that were not asked yet.
func (s *Steerer) askNext(now time.Time, o *opening) Action {
	list := o.rest[:min(len(o.rest), hop.MaxCandidates)]
	o.asked, o.at = list[0], now
	o.rest = o.rest[1:]
	s.agents.placed(o.asked)
	a := s.forward(list, ServiceID(o.service), true, o.packet)
	a.Service = o.service
	return a
}

// chooseService picks the service of a new flow by the weights of its route.
// The choice depends on the flow alone, so that all balancers make the same.
func (s *Steerer) chooseService(key flow.Key, route view.Route) string {
	total := 0
	for _, t := range route.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	// The upper bits differ from those that rank agents.
	point := int(key.Hash() >> 33 % uint64(total))
	for _, t := range route.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return ""
}

// Placed records that an agent holds a flow. Packets that waited for that go to
// the agent.
func (s *Steerer) Placed(now time.Time, m *hop.Message) []Action {
	s.agents.heard(now, m.Agent, m.Load)
	delete(s.openings, m.Key)
	s.flows.set(m.Key, m.Agent, now)
	l := s.lookups[m.Key]
	if l == nil {
		return nil
	}
	delete(s.lookups, m.Key)
	var due []Action
	for _, raw := range l.more {
		due = append(due, s.toHolder(m.Agent, raw))
	}
	return due
}

// HelloAck records an agent's load.
func (s *Steerer) HelloAck(now time.Time, m *hop.Message) {
	s.agents.heard(now, m.Agent, m.Load)
}

// Declined decides about a packet that no agent of its list took.
func (s *Steerer) Declined(now time.Time, p flow.Packet, m *hop.Message) []Action {
	key := p.CallerKey()
	if p.Opening() {
		return []Action{s.declinedOpening(now, key, p)}
	}
	if holder, known := s.flows.get(key, now); known && slices.Contains(m.Candidates, holder) {
		// The remembered agent doesn't hold the flow: ask all of them.
		s.flows.remove(key)
		return []Action{s.lookUp(now, key, p, m.Packet)}
	}
	return s.denied(now, key, p, m)
}

// declinedOpening asks further candidates or refuses the flow at once.
func (s *Steerer) declinedOpening(now time.Time, key flow.Key, p flow.Packet) Action {
	o, ok := s.openings[key]
	if !ok {
		return Action{Verdict: Drop, Kind: errkind.PacketNoAgent, Packet: p}
	}
	if len(o.rest) >= hop.MaxCandidates {
		o.rest = o.rest[hop.MaxCandidates-1:]
		return s.askNext(now, o)
	}
	delete(s.openings, key)
	return Action{Verdict: Reset, Kind: errkind.PacketNoAgent, Packet: p, Service: o.service}
}

// Tick returns what is due: openings and lookups that nobody answered, and
// hellos.
func (s *Steerer) Tick(now time.Time) []Action {
	var due []Action
	for key, o := range s.openings {
		if now.Sub(o.at) < placementTimeout {
			continue
		}
		s.agents.doubt(now, o.asked)
		if len(o.rest) == 0 {
			// A copy of the caller starts over.
			delete(s.openings, key)
			continue
		}
		due = append(due, s.askNext(now, o))
	}
	for _, agent := range s.agents.hellos(now) {
		due = append(due, Action{Verdict: Send, To: agent, Message: hop.Message{Type: hop.Hello, Balancer: s.self}})
	}
	return append(due, s.repeatLookups(now)...)
}

// Flows returns the number of remembered flows.
func (s *Steerer) Flows() int { return s.flows.len() }

// Isolated reports whether the balancer is cut off, so that callers are better
// served by others.
func (s *Steerer) Isolated() bool { return s.agents.isolated() }

// Hello answers another balancer.
func (s *Steerer) Hello(m *hop.Message) Action {
	return Action{Verdict: Send, To: m.Balancer, Message: hop.Message{Type: hop.HelloAck, Agent: s.self}}
}

// ServiceID returns the number by which nodes name a service to each other.
func ServiceID(service string) uint32 { return uint32(rendezvous.Hash(service)) }
