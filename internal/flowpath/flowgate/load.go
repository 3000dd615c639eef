package flowgate

import (
	"math"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	// busyThreshold is the number of outstanding requests per slot from which on an
	// agent passes new flows on to less busy agents.
	busyThreshold = 1.5
	// loadScale is the value of hop.Message.LeastLoad that stands for one
	// outstanding request per slot.
	loadScale = 64
)

// outstanding returns the number of requests that wait for a slot or for
// the start of their answer. Each flow that is being opened counts as one.
func (g *Gate) outstanding() int {
	return g.flows.inProgress + len(g.queue.requests) + g.flows.openingFlows
}

func (g *Gate) isBusy() bool { return float64(g.outstanding()) >= busyThreshold*float64(g.slots()) }

// loadPerSlot returns the number of outstanding requests per slot, in units of
// 1/loadScale.
func (g *Gate) loadPerSlot() uint16 { return uint16(min(g.outstanding()*loadScale/g.slots(), 1<<16-1)) }

// yieldReason returns why an opening is passed on to another agent, 0 if this
// agent accepts it. A busy or failing agent passes the opening on and records
// itself in m if it is the least loaded candidate so far. After the last candidate
// the opening goes back to the least loaded one, which accepts it. Without this
// second round the last candidate would accept all flows as soon as every agent is
// busy, and it is the one with the highest load.
func (g *Gate) yieldReason(now time.Time, m *hop.Message) errkind.Kind {
	kind, load := errkind.Kind(0), g.loadPerSlot()
	switch {
	case !g.health.admitsNewFlow(now):
		kind, load = errkind.BackendFailing, math.MaxUint16
	case g.isBusy():
		kind = errkind.BackendFull
	}
	if m.LastRound || kind == 0 {
		return 0
	}
	if m.LeastLoaded == 0 || load < m.LeastLoad {
		m.LeastLoaded, m.LeastLoad = m.Position+1, load
	}
	if int(m.Position) == len(m.Candidates)-1 && m.LeastLoaded == m.Position+1 {
		return 0
	}
	return kind
}
