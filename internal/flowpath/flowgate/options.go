package flowgate

import (
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

// Options holds the fixed settings of a gate.
type Options struct {
	Self    netip.AddrPort // address at which this agent receives messages
	Service uint32
	Limits  Limits
	// Learning is set if the backend server may hold flows from before the start
	// of this process. Packets of unknown flows are then offered to it until such flows
	// must be over.
	Learning bool
	// FlowLifetime is how long a flow may last.
	FlowLifetime time.Duration
	// HandoverPending is set if a later process may still use a handover of a process
	// before this one as complete, and so deny flows that are opened here. The gate then
	// accepts no new flows before EndHandoverPending.
	HandoverPending bool
	// Replaces is set if the gate replaces another one of the same process.
	Replaces bool
}

// New returns a gate for an agent that starts at now.
func New(o Options, now time.Time) *Gate {
	g := &Gate{
		self:     o.Self,
		service:  o.Service,
		started:  now,
		replaces: o.Replaces,
		backend:  newBackend(o.Limits, now),
		flows:    newTable(),

		flowLifetime: o.FlowLifetime,
		offers:       map[uint32]offer{},
		denied:       map[flow.Key]struct{}{},

		lastOffers:  map[flow.Key]time.Time{},
		maybeOpened: map[flow.Key]time.Time{},
	}
	g.backend.handoverPending = o.HandoverPending
	g.backend.learning.reason = KnowsFromFirstStart
	if o.Learning {
		g.backend.learning = learning{unseenSince: now, reason: LearnsSinceStart}
	}
	return g
}
