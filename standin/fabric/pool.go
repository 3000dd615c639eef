package fabric

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
)

// Balancer is one balancer behind the fabric.
type Balancer struct {
	ID     string
	Health string                                      // http URL that answers 200 while healthy, or empty
	Addr   func(service netip.AddrPort) netip.AddrPort // where it listens for a service
}

// HostAddr returns an Addr function for a balancer that listens on host with
// the port of each service.
func HostAddr(host netip.Addr) func(netip.AddrPort) netip.AddrPort {
	return func(service netip.AddrPort) netip.AddrPort {
		return netip.AddrPortFrom(host, service.Port())
	}
}

// entry is a balancer with its addresses resolved, by index of service.
type entry struct {
	id                 string
	health             string
	addrs              []netip.AddrPort
	healthy, removed   bool // guarded by pool.mu
	forwarded, returns *atomic.Uint64
}

// snapshot is what the packet loops read.
type snapshot struct {
	live   []*entry
	byAddr map[netip.AddrPort]*entry
}

// pool holds the balancers and publishes a snapshot after each change.
type pool struct {
	services []netip.AddrPort
	mu       sync.Mutex
	entries  map[string]*entry
	byAddr   map[netip.AddrPort]*entry
	current  atomic.Pointer[snapshot]
}

func newPool(services []netip.AddrPort) *pool {
	p := &pool{services: services, entries: map[string]*entry{}, byAddr: map[netip.AddrPort]*entry{}}
	p.publish()
	return p
}

func (p *pool) add(b Balancer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := &entry{id: b.ID, health: b.Health, healthy: true, forwarded: new(atomic.Uint64), returns: new(atomic.Uint64)}
	if old, ok := p.entries[b.ID]; ok {
		e.forwarded, e.returns = old.forwarded, old.returns
	}
	for _, service := range p.services {
		addr := b.Addr(service)
		e.addrs = append(e.addrs, addr)
		p.byAddr[addr] = e
	}
	p.entries[b.ID] = e
	p.publish()
}

func (p *pool) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.removed = true
	}
	p.publish()
}

func (p *pool) setHealthy(e *entry, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.healthy == healthy {
		return
	}
	e.healthy = healthy
	p.publish()
}

// publish is called with mu held. The order of live balancers is fixed so that
// a seed gives the same choices on every run.
func (p *pool) publish() {
	s := &snapshot{byAddr: make(map[netip.AddrPort]*entry, len(p.byAddr))}
	for _, e := range p.entries {
		if e.healthy && !e.removed {
			s.live = append(s.live, e)
		}
	}
	slices.SortFunc(s.live, func(a, b *entry) int { return cmp.Compare(a.id, b.id) })
	for addr, e := range p.byAddr {
		s.byAddr[addr] = e
	}
	p.current.Store(s)
}

// probed returns the balancers that have a health URL and were not removed.
func (p *pool) probed() []*entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*entry
	for _, e := range p.entries {
		if e.health != "" && !e.removed {
			out = append(out, e)
		}
	}
	return out
}
