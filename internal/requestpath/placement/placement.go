// Package placement decides, without sockets, clocks or goroutines, whether an
// agent accepts an opening of a flow or passes it on to another agent.
package placement

import (
	"maps"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

// MaxHops is how often an opening is passed on at most.
const MaxHops = 2

const (
	// rememberFor covers the handshake timeout of a caller, during which
	// further packets of an opening must reach the same agent.
	rememberFor = 5 * time.Second
	// staleAfter is the age from which another agent's load report is not
	// trusted. Agents report every 100 ms.
	staleAfter = time.Second
	// maxRemembered bounds the memory of one generation of openings.
	maxRemembered = 1 << 14
)

// Report is another agent's load as last heard.
type Report struct {
	Load tunnel.Load
	At   time.Time
	sent int // openings passed to it since the report
}

// Own is the state of the deciding agent.
type Own struct {
	Load      tunnel.Load
	Full      bool // its connection limit is reached
	AcceptAll bool // baseline without placement
}

// Verdict is the answer to one opening.
type Verdict uint8

// The verdicts.
const (
	Accept Verdict = iota + 1
	PassOn
)

// Table holds the reports of the other agents of the service and the decisions
// of the last seconds. It is not safe for concurrent use.
type Table struct {
	peers   map[netip.AddrPort]*Report
	current map[string]choice
	last    map[string]choice
	rotated time.Time
}

type choice struct {
	verdict Verdict
	next    netip.AddrPort
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		peers:   map[netip.AddrPort]*Report{},
		current: map[string]choice{},
		last:    map[string]choice{},
	}
}

// Reported records an agent's load report.
func (t *Table) Reported(now time.Time, agent netip.AddrPort, load tunnel.Load) {
	t.peers[agent] = &Report{Load: load, At: now}
}

// Peers returns the reports that are recent enough to be trusted.
func (t *Table) Peers(now time.Time) map[netip.AddrPort]tunnel.Load {
	out := make(map[netip.AddrPort]tunnel.Load, len(t.peers))
	for agent, r := range t.peers {
		if now.Sub(r.At) < staleAfter {
			out[agent] = r.Load
		}
	}
	return out
}

// Decide answers one packet of the opening dcid, which passed hop agents
// before. All packets of one opening get the same answer at the same hop. An
// opening that may not be passed on any more is accepted: the request is then
// refused on the flow, which tells the caller truthfully that it did not run.
func (t *Table) Decide(now time.Time, own Own, dcid []byte, hop uint8) (Verdict, netip.AddrPort) {
	t.rotate(now)
	// Two agents whose reports are stale may pass an opening to each other.
	// Decisions are kept by hop, so that it still ends after the last one.
	key := string(append(dcid[:len(dcid):len(dcid)], hop))
	c, ok := t.current[key]
	if !ok {
		c, ok = t.last[key]
	}
	if !ok {
		c = t.choose(now, own, hop)
	}
	if len(t.current) < maxRemembered {
		t.current[key] = c
	}
	return c.verdict, c.next
}

func (t *Table) choose(now time.Time, own Own, hop uint8) choice {
	if own.AcceptAll || hop >= MaxHops {
		return choice{verdict: Accept}
	}
	next, flows, ok := t.leastLoaded(now)
	if !ok {
		return choice{verdict: Accept}
	}
	unable := own.Full || own.Load.Flags&tunnel.FlagLeaving != 0
	busier := hop == 0 && flows < int(own.Load.Flows)
	if unable || busier {
		t.peers[next].sent++
		return choice{PassOn, next}
	}
	return choice{verdict: Accept}
}

// leastLoaded returns the agent with the fewest open flows, counting the
// openings that were passed to it since its report.
//
// Flows are counted without regard to the limit of the moment: a flow lasts
// far longer than a cold start, and until its backend server is warm the
// agent relays the requests that it cannot take.
func (t *Table) leastLoaded(now time.Time) (agent netip.AddrPort, flows int, ok bool) {
	for candidate, r := range t.peers {
		if now.Sub(r.At) >= staleAfter || r.Load.Flags&tunnel.FlagLeaving != 0 || r.Load.Limit == 0 {
			continue
		}
		n := int(r.Load.Flows) + r.sent
		if !ok || n < flows || (n == flows && candidate.Compare(agent) < 0) {
			agent, flows, ok = candidate, n, true
		}
	}
	return agent, flows, ok
}

func (t *Table) rotate(now time.Time) {
	if now.Sub(t.rotated) < rememberFor {
		return
	}
	t.last, t.current = t.current, map[string]choice{}
	t.rotated = now
	// Reports this old are never trusted; agents that left would stay for good.
	maps.DeleteFunc(t.peers, func(_ netip.AddrPort, r *Report) bool { return now.Sub(r.At) >= staleAfter })
}
