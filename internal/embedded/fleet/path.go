package fleet

import (
	"net/netip"
	"sync"

	"github.com/knapweedpier/knapweedpier/internal/base/udp"
)

// path is the network between one agent and the balancers. It can lose track
// of the UDP flows to one balancer's present ports, in the direction from the
// agent, while other ports work.
type path struct {
	mu   sync.Mutex
	seen map[netip.AddrPort]bool // balancers' and other agents' sockets
	lost map[netip.AddrPort]bool
}

func (p *path) open(inner udp.ListenFunc) udp.ListenFunc {
	return func(address netip.AddrPort) (udp.Socket, error) {
		s, err := inner(address)
		if err != nil {
			return nil, err
		}
		return &pathSocket{s, p}, nil
	}
}

// lose loses the present flows to a host.
func (p *path) lose(host netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost == nil {
		p.lost = map[netip.AddrPort]bool{}
	}
	for address := range p.seen {
		if address.Addr() == host {
			p.lost[address] = true
		}
	}
}

// note reports whether packets to an address are lost.
func (p *path) note(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen == nil {
		p.seen = map[netip.AddrPort]bool{}
	}
	p.seen[address] = true
	return p.lost[address]
}

type pathSocket struct {
	udp.Socket
	path *path
}

// WriteToUDPAddrPort implements udp.Socket.
func (s *pathSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if s.path.note(to) {
		return len(b), nil
	}
	return s.Socket.WriteToUDPAddrPort(b, to)
}
