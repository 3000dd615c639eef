package flowgate

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

const (
	// openingTimeout is how long the opening of a flow may take. Callers give up
	// earlier.
	openingTimeout = 3 * time.Second
	// endedRetention is how long an ended flow is kept after its last packet, so
	// that late packets still reach the backend server, which answers them.
	endedRetention = 5 * time.Second
	// lostRetention is how long a lost flow is kept after its last packet. Its
	// packets are answered with resets.
	lostRetention = 10 * time.Second
	// minIdleMargin is the minimum time that is added to the configured idle timeout before
	// an open flow is removed; see idleMargin.
	minIdleMargin = 5 * time.Second
)

// sweepFlows removes flows whose retention has expired, and stops counting requests
// that have waited for an answer for longer than defaultTimeout. It returns the flows
// of those requests.
func (g *Gate) sweepFlows(now time.Time) []flow.Key {
	var unanswered []flow.Key
	for key, f := range g.flows.entries {
		if f.awaitsAnswer && now.Sub(f.requestDeliveredAt) > defaultTimeout {
			g.flows.endRequest(f)
			unanswered = append(unanswered, key)
		}
		if g.isExpired(now, f, idleMargin(routeTimeout(g.routes, key.Service))) {
			g.flows.remove(key)
		}
	}
	return unanswered
}

// isExpired reports whether the retention of a flow has expired. That of an open flow depends on
// the idle timeout in force. A flow that is older than flows may be is over although no timeout
// is known to be in force: otherwise the table would grow as long as the store is away.
func (g *Gate) isExpired(now time.Time, f *entry, margin time.Duration) bool {
	idle := now.Sub(f.lastPacketAt)
	if f.state != stateOpen {
		return idle > f.retention()
	}
	isOld := now.Sub(f.openedAt) > g.flowLifetime+margin
	return g.idle.isExceeded(f.lastPacketAt, margin) || (isOld && idle > cmp.Or(g.idle.timeout, defaultIdleTimeout)+margin)
}

// routeTimeout returns the timeout of the requests of a route, 0 if there is no route.
func routeTimeout(routes map[netip.AddrPort]view.Route, to netip.AddrPort) time.Duration {
	r, ok := routes[to]
	if !ok {
		return 0
	}
	_, timeout := r.Limits()
	return timeout
}

// idleMargin returns the time that is added to the idle timeout. At the end of that timeout a
// caller may still send a request, and retransmit it until the request's timeout. While a link
// loses its packets, the agent sees none of them, although the flow isn't idle.
func idleMargin(requestTimeout time.Duration) time.Duration {
	return max(minIdleMargin, requestTimeout)
}

// retention returns how long a flow that isn't open is kept after its last packet.
func (f *entry) retention() time.Duration {
	switch f.state {
	case stateEnded:
		return endedRetention
	case stateLost:
		return lostRetention
	}
	return openingTimeout
}
