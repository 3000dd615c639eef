// Package steering decides, without sockets, clocks or goroutines, where a
// balancer sends each caller's packet.
//
// Packets of established flows are steered by their connection ID alone.
// Packets that open a flow go to the first of a few candidate agents.
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

// DomainCut is how long after a failure domain was taken out its packets are
// dropped. Agents use the time before to end their flows; the promise to
// operators is 5 s, of which clock differences take 1 s.
const DomainCut = 3500 * time.Millisecond

// silentAfter is how long an agent that used to be heard may be silent before
// it comes last among the candidates: three missed hellos.
const silentAfter = 1200 * time.Millisecond

// Policy selects how the candidates of an opening are chosen.
type Policy string

// The policies. PlainHash and TwoChoices exist to be measured against.
const (
	Rendezvous Policy = "rendezvous"  // ranked candidates, the agents decide
	PlainHash  Policy = "plain-hash"  // one agent by hash modulo the number of agents
	TwoChoices Policy = "two-choices" // the less loaded of two hashed agents, as the balancer knows them
)

// Mode limits what is forwarded.
type Mode uint8

// The modes.
const (
	Open           Mode = iota // everything is forwarded
	NoOpenings                 // established flows only
	NothingForward             // nothing
)

// Evidence is what a balancer itself saw of one agent. Its fields are written
// by the packet loops.
type Evidence struct {
	Heard atomic.Int64 // Unix nanoseconds, 0 for never
	Sent  atomic.Int64 // Unix nanoseconds of a packet sent to the agent, 0 for never
	Flows atomic.Int64 // open flows at the agent's last word
}

// Agent is a possible candidate.
type Agent struct {
	ID       string
	Tunnel   netip.AddrPort
	Weight   float64
	Suspect  bool
	Evidence *Evidence
}

// Service is one service address with its agents. It is immutable.
type Service struct {
	Address netip.AddrPort
	ID      uint32 // tunnel.ServiceID of the address
	agents  []Agent
	table   *rendezvous.Table
}

// NewService builds the candidate table for agents. Agents that must not get
// openings (leaving, not joined, of a failure domain that is out) are left out
// by the caller.
func NewService(address netip.AddrPort, agents []Agent) *Service {
	return &Service{
		Address: address,
		ID:      tunnel.ServiceID(address),
		agents:  agents,
		table:   rendezvous.NewTable(nodes(agents)),
	}
}

// WithAgents returns the service with other agents. The table is built again
// only if an agent joined, left or changed its weight: at the target size the
// tables of all services take tens of milliseconds, while suspicions and
// addresses change far more often.
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

// Agents returns the number of agents that openings can go to.
func (s *Service) Agents() int { return len(s.agents) }

// Domains holds, by failure domain index, the Unix nanoseconds from which
// packets of the domain are dropped; 0 for a domain that is not out.
type Domains [256]int64

// Decision says what to do with one packet.
type Decision struct {
	Drop       errkind.Kind // 0: forward
	Agent      netip.AddrPort
	Opening    bool
	Candidates [tunnel.MaxCandidates]netip.AddrPort // of an opening, Agent first
	Count      uint8
}

// Router steers packets. Its fields are fixed after it was built; a change of
// the view makes a new Router that shares the Openings.
type Router struct {
	Codec    *connid.Codec
	Domains  Domains
	Mode     Mode
	Policy   Policy
	Openings *Openings
}

// Steer decides on a datagram that a caller sent to svc's address. It reads
// the clock only where the decision depends on it, because most packets belong
// to established flows and reading the clock is a notable part of their cost.
func (r *Router) Steer(now func() time.Time, svc *Service, datagram []byte) Decision {
	if r.Mode == NothingForward {
		return Decision{Drop: errkind.PacketIsolated}
	}
	h, ok := quicheader.Parse(datagram, connid.Size)
	if !ok {
		return Decision{Drop: errkind.PacketMalformed}
	}
	if f, ok := r.Codec.Decode(h.DCID, svc.Address); ok {
		return r.established(now, f)
	}
	if !h.Long || h.Handshake {
		return Decision{Drop: errkind.PacketUnsteerable}
	}
	return r.opening(now(), svc, h.DCID, len(datagram))
}

func (r *Router) established(now func() time.Time, f connid.Fields) Decision {
	if cut := r.Domains[f.Domain]; cut != 0 && now().UnixNano() >= cut {
		return Decision{Drop: errkind.PacketDomainOut}
	}
	return Decision{Agent: f.Agent}
}

func (r *Router) opening(now time.Time, svc *Service, dcid []byte, size int) Decision {
	if size < quicheader.MinOpeningSize {
		return Decision{Drop: errkind.PacketMalformed}
	}
	if r.Mode != Open {
		return Decision{Drop: errkind.PacketIsolated}
	}
	if len(svc.agents) == 0 {
		return Decision{Drop: errkind.PacketNoAgent}
	}
	key := rendezvous.HashBytes(dcid) ^ uint64(svc.ID)
	d := Decision{Opening: true}
	switch r.Policy {
	case PlainHash:
		d.add(svc.agents[key%uint64(len(svc.agents))].Tunnel)
	case TwoChoices:
		d.add(svc.lessLoaded(key).Tunnel)
	default:
		r.addRanked(&d, now, svc, key)
	}
	d.Agent = d.Candidates[0]
	return d
}

func (d *Decision) add(agent netip.AddrPort) {
	d.Candidates[d.Count] = agent
	d.Count++
}

// lessLoaded picks two agents by independent parts of the hash.
func (s *Service) lessLoaded(key uint64) Agent {
	n := uint64(len(s.agents))
	a, b := s.agents[key%n], s.agents[(key>>32)%n]
	if b.Evidence.Flows.Load() < a.Evidence.Flows.Load() {
		return b
	}
	return a
}

// addRanked lists the candidates in table order, rotated by the number of
// times that this opening went unanswered, with agents that are silent or
// suspected moved to the end.
func (r *Router) addRanked(d *Decision, now time.Time, svc *Service, key uint64) {
	row := svc.table.Lookup(key)
	width := 0
	for width < len(row) && row[width] >= 0 {
		width++
	}
	shift := r.Openings.Attempts(now, key)
	for _, wantLive := range [2]bool{true, false} {
		for i := range width {
			agent := &svc.agents[row[(i+shift)%width]]
			if agent.live(now) == wantLive {
				d.add(agent.Tunnel)
			}
		}
	}
}

// live reports whether nothing speaks against the agent. Evidence of this
// balancer's own overrides a suspicion that it was told of.
func (a *Agent) live(now time.Time) bool {
	heard := a.Evidence.Heard.Load()
	if heard == 0 {
		return !a.Suspect
	}
	return now.UnixNano()-heard < int64(silentAfter)
}
