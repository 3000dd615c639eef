// Package placement decides whether an agent accepts a new flow or passes its
// opening on to another agent of the service. The packets that open a flow are
// called its opening and have a destination connection ID in common. The package
// must not depend on sockets, clocks or goroutines.
package placement

import (
	"maps"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

// MaxHops is the maximum number of times that an opening is passed on.
const MaxHops = 2

const (
	// openingLifetime is the minimum time for which a decision is remembered. It
	// covers the handshake timeout of a caller, during which further packets of
	// an opening must reach the same agent.
	openingLifetime = 5 * time.Second
	// staleAfter is the age from which another agent's load report is ignored.
	// Agents report every 100 ms.
	staleAfter = time.Second
	// maxOpenings bounds each of the two maps of remembered decisions.
	maxOpenings = 1 << 14
)

// Report is the latest load report of another agent.
type Report struct {
	Load       tunnel.Load
	ReceivedAt time.Time
	passedOn   int // number of openings passed on to the agent since the report
}

// LocalState is the state of the agent that decides.
type LocalState struct {
	Load      tunnel.Load
	Full      bool // the connection limit of its backend server is reached
	AcceptAll bool // accepts every opening; baseline for measurements without placement
}

// Decision is a decision on an opening.
type Decision uint8

// The decisions.
const (
	Accept Decision = iota + 1 // the agent accepts the flow
	PassOn                     // the opening goes to another agent
)

// Table holds the load reports of the other agents of the service and the recent
// decisions. It is not safe for concurrent use.
type Table struct {
	peers    map[netip.AddrPort]*Report
	current  map[string]storedDecision
	previous map[string]storedDecision
	rotated  time.Time
}

type storedDecision struct {
	decision Decision
	next     netip.AddrPort // agent to pass the opening on to
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		peers:    map[netip.AddrPort]*Report{},
		current:  map[string]storedDecision{},
		previous: map[string]storedDecision{},
	}
}

// RecordLoad records an agent's load report.
func (t *Table) RecordLoad(now time.Time, agent netip.AddrPort, load tunnel.Load) {
	t.peers[agent] = &Report{Load: load, ReceivedAt: now}
}

// FreshLoads returns the load of the agents whose reports are not stale.
func (t *Table) FreshLoads(now time.Time) map[netip.AddrPort]tunnel.Load {
	loads := make(map[netip.AddrPort]tunnel.Load, len(t.peers))
	for agent, r := range t.peers {
		if now.Sub(r.ReceivedAt) < staleAfter {
			loads[agent] = r.Load
		}
	}
	return loads
}

// Decide returns the decision on one packet of the opening with the connection
// ID dcid, which hop agents have passed on before, and the agent to pass it on
// to. All packets of one opening get the same decision at the same hop. An
// opening that has been passed on MaxHops times is always accepted: if the agent
// can't take the request, it refuses it on the flow, so that the caller learns
// that the request did not run.
func (t *Table) Decide(now time.Time, own LocalState, dcid []byte, hop uint8) (Decision, netip.AddrPort) {
	t.rotate(now)
	// Two agents with outdated reports of each other may pass an opening back and
	// forth. Decisions are stored by hop, so that a returned opening is decided
	// again and is accepted after MaxHops.
	key := string(append(dcid[:len(dcid):len(dcid)], hop))
	stored, ok := t.current[key]
	if !ok {
		stored, ok = t.previous[key]
	}
	if !ok {
		stored = t.decideNew(now, own, hop)
	}
	if len(t.current) < maxOpenings {
		t.current[key] = stored
	}
	return stored.decision, stored.next
}

// decideNew makes the first decision on an opening at a hop.
func (t *Table) decideNew(now time.Time, own LocalState, hop uint8) storedDecision {
	if own.AcceptAll || hop >= MaxHops {
		return storedDecision{decision: Accept}
	}
	next, flows, ok := t.leastLoaded(now)
	if !ok {
		return storedDecision{decision: Accept}
	}
	cannotAccept := own.Full || own.Load.Flags&tunnel.FlagLeaving != 0
	isBusier := hop == 0 && flows < int(own.Load.Flows)
	if cannotAccept || isBusier {
		t.peers[next].passedOn++
		return storedDecision{PassOn, next}
	}
	return storedDecision{decision: Accept}
}

// leastLoaded returns the agent with the fewest open flows, including the
// openings that were passed on to it since its report.
//
// The current limit of requests is ignored: a flow lasts far longer than a cold
// start, and until its backend server is warm, the agent relays the requests
// that it can't take to other agents.
func (t *Table) leastLoaded(now time.Time) (agent netip.AddrPort, flows int, ok bool) {
	for candidate, r := range t.peers {
		if now.Sub(r.ReceivedAt) >= staleAfter || r.Load.Flags&tunnel.FlagLeaving != 0 || r.Load.Limit == 0 {
			continue
		}
		n := int(r.Load.Flows) + r.passedOn
		if !ok || n < flows || (n == flows && candidate.Compare(agent) < 0) {
			agent, flows, ok = candidate, n, true
		}
	}
	return agent, flows, ok
}

// rotate forgets decisions that were not used for one to two periods of
// openingLifetime, and stale reports.
func (t *Table) rotate(now time.Time) {
	if now.Sub(t.rotated) < openingLifetime {
		return
	}
	t.previous, t.current = t.current, map[string]storedDecision{}
	t.rotated = now
	// Stale reports are never used. Without the deletion, agents that have left
	// would stay in the map forever.
	maps.DeleteFunc(t.peers, func(_ netip.AddrPort, r *Report) bool { return now.Sub(r.ReceivedAt) >= staleAfter })
}
