package fleet

import (
	"net/netip"
	"sync"

	"github.com/knapweedpier/knapweedpier/internal/base/udp"
)

// returnPath is the network path from one agent's tunnel socket. It can drop
// the packets to the ports of a host that the agent has sent to so far, like a
// network device that has lost its state of some UDP flows. Packets to other
// ports, and those towards the agent, arrive.
type returnPath struct {
	mu                  sync.Mutex
	destinations        map[netip.AddrPort]bool // sent to so far: sockets of balancers and of other agents
	droppedDestinations map[netip.AddrPort]bool // packets to these are dropped
}

// wrapListen returns a ListenFunc whose sockets send through the path.
func (p *returnPath) wrapListen(inner udp.ListenFunc) udp.ListenFunc {
	return func(address netip.AddrPort) (udp.Socket, error) {
		s, err := inner(address)
		if err != nil {
			return nil, err
		}
		return &returnPathSocket{s, p}, nil
	}
}

// dropFlowsTo drops, from now on, packets to the ports of a host that have been
// sent to so far.
func (p *returnPath) dropFlowsTo(host netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.droppedDestinations == nil {
		p.droppedDestinations = map[netip.AddrPort]bool{}
	}
	for address := range p.destinations {
		if address.Addr() == host {
			p.droppedDestinations[address] = true
		}
	}
}

// recordDestination records that a packet is sent to an address, and reports
// whether the path drops it.
func (p *returnPath) recordDestination(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.destinations == nil {
		p.destinations = map[netip.AddrPort]bool{}
	}
	p.destinations[address] = true
	return p.droppedDestinations[address]
}

type returnPathSocket struct {
	udp.Socket
	returnPath *returnPath
}

// WriteToUDPAddrPort implements udp.Socket.
func (s *returnPathSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if s.returnPath.recordDestination(to) {
		return len(b), nil
	}
	return s.Socket.WriteToUDPAddrPort(b, to)
}
