// Package steering decides to which agent a balancer forwards each packet from a
// caller. It must not depend on sockets, clocks or goroutines.
//
// Packets of established flows are steered by their connection ID alone. The
// packets that open a flow, called its opening, go to the first of up to
// tunnel.MaxCandidates candidate agents.
package steering

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/rendezvous"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/connid"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/quicheader"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

// DomainDropDelay is the time from taking a failure domain out until balancers drop
// its packets. Until then agents end their flows. Operators are promised that
// this takes at most 5 s, of which 1 s is reserved for clock differences.
const DomainDropDelay = 3500 * time.Millisecond

// silentAfter is the time without a message from an agent after which it ranks
// last among the candidates: three missed hellos. It doesn't apply to an agent
// that this balancer never received anything from.
const silentAfter = 1200 * time.Millisecond

// Policy selects how the candidates of an opening are chosen.
type Policy string

// The policies. PlainHash and TwoChoices are baselines for measurements.
const (
	Rendezvous Policy = "rendezvous"  // candidates ranked by rendezvous hashing; the agents choose among them
	PlainHash  Policy = "plain-hash"  // one agent by hash modulo the number of agents
	TwoChoices Policy = "two-choices" // the less loaded of two hashed agents, by the flows last reported to the balancer
)

// Mode selects which packets a balancer forwards.
type Mode uint8

// The modes.
const (
	ForwardAll         Mode = iota // all packets are forwarded
	ForwardEstablished             // only packets of established flows are forwarded
	ForwardNone                    // no packets are forwarded
)

// Observations holds a balancer's own observations of one agent. The goroutines
// that forward packets write its fields.
type Observations struct {
	Heard atomic.Int64 // time of the last message from the agent in Unix nanoseconds, 0 for never
	Sent  atomic.Int64 // time of a packet sent to the agent in Unix nanoseconds, 0 for never
	Flows atomic.Int64 // open flows by the agent's last report
}

// Agent is an agent that openings may be sent to.
type Agent struct {
	ID           string
	Tunnel       netip.AddrPort
	Weight       float64
	Suspect      bool
	Observations *Observations
}

// Service holds a service address and the agents that openings to it may be sent
// to. It is immutable.
type Service struct {
	Address netip.AddrPort
	ID      uint32 // tunnel.ServiceID of the address
	agents  []Agent
	table   *rendezvous.Table
}

// NewService returns a service with a candidate table built from agents. The
// caller must leave out agents that must not get openings: those that are
// leaving, have not joined or are in a failure domain that is out.
func NewService(address netip.AddrPort, agents []Agent) *Service {
	return &Service{
		Address: address,
		ID:      tunnel.ServiceID(address),
		agents:  agents,
		table:   rendezvous.NewTable(nodes(agents)),
	}
}

// WithAgents returns a copy of the service with agents in place of its own. The
// table is rebuilt only if an agent joined, left or changed its weight: at the
// target size, building the tables of all services takes tens of milliseconds,
// while suspicions and addresses change far more often.
func (s *Service) WithAgents(agents []Agent) *Service {
	if !slices.Equal(nodes(s.agents), nodes(agents)) {
		return NewService(s.Address, agents)
	}
	next := *s
	next.agents = agents
	return &next
}

func nodes(agents []Agent) []rendezvous.Node {
	out := make([]rendezvous.Node, len(agents))
	for i, a := range agents {
		out[i] = rendezvous.Node{ID: a.ID, Weight: max(a.Weight, 1)}
	}
	return out
}

// AgentCount returns the number of agents that openings can go to.
func (s *Service) AgentCount() int { return len(s.agents) }

// DomainDropTimes holds, by failure domain index, the time in Unix nanoseconds
// from which packets to the domain are dropped, or 0 for a domain that is not
// out.
type DomainDropTimes [256]int64

// Decision says how to handle one packet.
type Decision struct {
	Drop           errkind.Kind // reason to drop the packet, 0 to forward it
	Agent          netip.AddrPort
	Opening        bool
	Candidates     [tunnel.MaxCandidates]netip.AddrPort // for an opening, in order of preference; the first is Agent
	CandidateCount uint8                                // number of Candidates in use
}

// Router steers packets. Its fields must not change after its creation. When the
// view of the fleet changes, a new Router replaces it and shares its Openings.
type Router struct {
	Codec    *connid.Codec
	Domains  DomainDropTimes
	Mode     Mode
	Policy   Policy
	Openings *Openings
}

// Steer returns the decision on a datagram that a caller sent to svc's address.
// It calls now only if the decision depends on the time, because most packets
// belong to established flows and reading the clock is a notable part of their
// cost.
func (r *Router) Steer(now func() time.Time, svc *Service, datagram []byte) Decision {
	if r.Mode == ForwardNone {
		return Decision{Drop: errkind.PacketIsolated}
	}
	h, ok := quicheader.Parse(datagram, connid.Size)
	if !ok {
		return Decision{Drop: errkind.PacketMalformed}
	}
	if f, ok := r.Codec.Decode(h.DCID, svc.Address); ok {
		return r.steerEstablished(now, f)
	}
	if !h.Long || h.Handshake {
		return Decision{Drop: errkind.PacketUnsteerable}
	}
	return r.steerOpening(now(), svc, h.DCID, len(datagram))
}

func (r *Router) steerEstablished(now func() time.Time, f connid.Fields) Decision {
	if dropFrom := r.Domains[f.Domain]; dropFrom != 0 && now().UnixNano() >= dropFrom {
		return Decision{Drop: errkind.PacketDomainOut}
	}
	return Decision{Agent: f.Agent}
}

func (r *Router) steerOpening(now time.Time, svc *Service, dcid []byte, size int) Decision {
	if size < quicheader.MinOpeningSize {
		return Decision{Drop: errkind.PacketMalformed}
	}
	if r.Mode != ForwardAll {
		return Decision{Drop: errkind.PacketIsolated}
	}
	if len(svc.agents) == 0 {
		return Decision{Drop: errkind.PacketNoAgent}
	}
	key := rendezvous.HashBytes(dcid) ^ uint64(svc.ID)
	d := Decision{Opening: true}
	switch r.Policy {
	case PlainHash:
		d.addCandidate(svc.agents[key%uint64(len(svc.agents))].Tunnel)
	case TwoChoices:
		d.addCandidate(svc.lessLoadedOfTwo(key).Tunnel)
	default:
		r.addRankedCandidates(&d, now, svc, key)
	}
	d.Agent = d.Candidates[0]
	return d
}

func (d *Decision) addCandidate(agent netip.AddrPort) {
	d.Candidates[d.CandidateCount] = agent
	d.CandidateCount++
}

// lessLoadedOfTwo selects two agents by independent parts of the hash and returns the
// one with fewer open flows.
func (s *Service) lessLoadedOfTwo(key uint64) Agent {
	n := uint64(len(s.agents))
	a, b := s.agents[key%n], s.agents[(key>>32)%n]
	if b.Observations.Flows.Load() < a.Observations.Flows.Load() {
		return b
	}
	return a
}

// addRankedCandidates adds the candidates in the order of the table, rotated by
// the number of unanswered attempts of the opening. Agents that are silent or
// suspected are moved to the end.
func (r *Router) addRankedCandidates(d *Decision, now time.Time, svc *Service, key uint64) {
	row := svc.table.Lookup(key)
	candidateCount := 0
	for candidateCount < len(row) && row[candidateCount] >= 0 {
		candidateCount++
	}
	unanswered := r.Openings.RecordAttempt(now, key)
	for _, wantLive := range [2]bool{true, false} {
		for i := range candidateCount {
			agent := &svc.agents[row[(i+unanswered)%candidateCount]]
			if agent.isLive(now) == wantLive {
				d.addCandidate(agent.Tunnel)
			}
		}
	}
}

// isLive reports whether the agent is presumed alive. The balancer's own
// observations override a suspicion that it learned from other members.
func (a *Agent) isLive(now time.Time) bool {
	heard := a.Observations.Heard.Load()
	if heard == 0 {
		return !a.Suspect
	}
	return now.UnixNano()-heard < int64(silentAfter)
}
