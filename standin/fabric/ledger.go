package fabric

import (
	"cmp"
	"slices"
)

// Ledger holds packet counts since Start.
type Ledger struct {
	Balancers      []BalancerLedger `json:"balancers"`       // ordered by ID
	Callers        int              `json:"callers"`         // caller sockets open now
	NoBalancer     uint64           `json:"no_balancer"`     // dropped because no balancer was live and each had failed its probe
	FailedOpen     uint64           `json:"failed_open"`     // sent to balancers whose probes were unanswered, because none was live
	Lost           uint64           `json:"lost"`            // dropped by the injected random loss
	RefusedCallers uint64           `json:"refused_callers"` // dropped because MaxCallers caller sockets were open
	Stray          uint64           `json:"stray"`           // dropped because the sender is not a known balancer
	Overflow       uint64           `json:"overflow"`        // dropped because a delay queue was full
}

// BalancerLedger counts the packets of one balancer.
type BalancerLedger struct {
	ID        string `json:"id"`
	Live      bool   `json:"live"`
	Forwarded uint64 `json:"forwarded"` // from callers to the balancer
	Returned  uint64 `json:"returned"`  // from the balancer to callers
}

// Ledger returns the counts so far.
func (f *Fabric) Ledger() Ledger {
	return Ledger{
		Balancers:      f.pool.ledger(),
		Callers:        int(f.openCallerSockets.Load()),
		NoBalancer:     f.counts.noBalancer.Load(),
		FailedOpen:     f.counts.failedOpen.Load(),
		Lost:           f.counts.lost.Load(),
		RefusedCallers: f.counts.refusedCallers.Load(),
		Stray:          f.counts.stray.Load(),
		Overflow:       f.counts.overflow.Load(),
	}
}

func (p *pool) ledger() []BalancerLedger {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]BalancerLedger, 0, len(p.entries))
	for _, e := range p.entries {
		out = append(out, BalancerLedger{e.id, e.isLive(), e.forwarded.Load(), e.returned.Load()})
	}
	slices.SortFunc(out, func(a, b BalancerLedger) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
