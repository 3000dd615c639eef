package flowgate

import (
	"math"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	// busyFactor is the number of requests for each slot from which an agent
	// leaves new flows to less busy ones.
	busyFactor = 1.5
	// loadScale is the unit of hop.Message.BestLoad, in parts of a request for
	// each slot.
	loadScale = 64
)

// requests returns the number of requests that wait for a slot or for the start
// of their answer, flows included that are just being opened.
func (g *Gate) requests() int {
	return g.flows.inProgress + len(g.waiting.list) + g.flows.pending
}

func (g *Gate) busy() bool { return float64(g.requests()) >= busyFactor*float64(g.slots()) }

// load returns the number of requests for each slot, in parts of loadScale.
func (g *Gate) load() uint16 { return uint16(min(g.requests()*loadScale/g.slots(), 1<<16-1)) }

// yield returns why an opening is left to another agent, 0 if it isn't. While
// there may be a better one the opening passes along its candidates, which note
// the least busy of them in m; that one takes it. Without the second round the
// last candidate would take all flows as soon as every agent is busy, and it is
// the one whose load is highest.
func (g *Gate) yield(now time.Time, m *hop.Message) errkind.Kind {
	kind, load := errkind.Kind(0), g.load()
	switch {
	case !g.health.admits(now):
		kind, load = errkind.BackendFailing, math.MaxUint16
	case g.busy():
		kind = errkind.BackendFull
	}
	if m.Final || kind == 0 {
		return 0
	}
	if m.Best == 0 || load < m.BestLoad {
		m.Best, m.BestLoad = m.Position+1, load
	}
	if int(m.Position) == len(m.Candidates)-1 && m.Best == m.Position+1 {
		return 0
	}
	return kind
}
