package agent

import (
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/requestpath/placement"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

// PeerLoads returns the recent load reports of other agents of the service.
func (e *Endpoint) PeerLoads() map[netip.AddrPort]tunnel.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.placement.FreshLoads(time.Now())
}

// recordLoad records the load report of another agent of the service.
func (e *Endpoint) recordLoad(now time.Time, from netip.AddrPort, load tunnel.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placement.RecordLoad(now, from, load)
}

// decidePlacement returns whether this agent accepts an opening and, if not, which agent
// gets it.
func (e *Endpoint) decidePlacement(now time.Time, local placement.LocalState, dcid []byte, hop uint8) (placement.Decision, netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.placement.Decide(now, local, dcid, hop)
}

// replacePlacement replaces the placement table after a panic, which may have left it
// half changed. Load reports fill the new one.
func (e *Endpoint) replacePlacement() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placement = placement.NewTable()
}
