package balancer

import (
	"net/netip"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/steering"
)

// registerAgents registers the observations and domains of all agents of a
// service in next, keeping earlier observations, and returns the agents that
// accept openings.
func (f *Forwarder) registerAgents(sp ServicePlan, next *forwardingTable) []steering.Agent {
	var candidates []steering.Agent
	for _, c := range sp.Candidates {
		observed := f.observations[c.Tunnel]
		if observed == nil {
			observed = &steering.Observations{}
		}
		next.observations[c.Tunnel] = observed
		next.domains[c.Tunnel] = c.Domain
		if c.AcceptsOpenings {
			candidates = append(candidates, steering.Agent{ID: c.ID, Tunnel: c.Tunnel, Weight: c.Weight, Suspect: c.Suspect, Observations: observed})
		}
	}
	return candidates
}

// openListener opens the socket of a service address, or updates the agents of an
// open one.
func (f *Forwarder) openListener(address netip.AddrPort, agents []steering.Agent) (*listener, error) {
	if l, ok := f.listeners[address]; ok {
		l.service.Store(l.service.Load().WithAgents(agents))
		return l, nil
	}
	bind := address
	if f.bindHost.IsValid() {
		bind = netip.AddrPortFrom(f.bindHost, address.Port())
	}
	socket, err := f.listenUDP(bind)
	if err != nil {
		return nil, err
	}
	l := &listener{socket: socket}
	l.service.Store(steering.NewService(address, agents))
	f.listeners[address] = l
	f.logger.Emit(event.ListenerChanged, event.Fields{"service_address": address.String(), "bound": bind.String(), "open": true})
	f.done.Go(func() { f.forwardLoop(l) })
	return l, nil
}

// closeListenersExcept closes the sockets of all service addresses not in keep.
func (f *Forwarder) closeListenersExcept(keep map[netip.AddrPort]bool) {
	for address, l := range f.listeners {
		if keep[address] {
			continue
		}
		l.socket.Close()
		delete(f.listeners, address)
		f.logger.Emit(event.ListenerChanged, event.Fields{"service_address": address.String(), "open": false})
	}
}
