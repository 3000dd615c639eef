package fabric

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
)

// Balancer is a balancer that the fabric sends packets to.
type Balancer struct {
	ID        string
	HealthURL string                                      // HTTP URL that answers 200 while the balancer is healthy; empty: always healthy
	Addr      func(service netip.AddrPort) netip.AddrPort // address at which it receives packets of a service
}

// HostAddr returns an Addr function for a balancer that listens on host with
// the port of each service.
func HostAddr(host netip.Addr) func(netip.AddrPort) netip.AddrPort {
	return func(service netip.AddrPort) netip.AddrPort {
		return netip.AddrPortFrom(host, service.Port())
	}
}

// poolEntry is a balancer with its state, addresses and counts.
type poolEntry struct {
	id                  string
	healthURL           string
	addrs               []netip.AddrPort // by index of the service
	probe               probeResult      // guarded by pool.mu
	removed             bool             // guarded by pool.mu
	forwarded, returned *atomic.Uint64
}

// isLive reports whether the balancer is in use and passed its last probe. It is
// called with pool.mu held.
func (e *poolEntry) isLive() bool { return e.probe == probePassed && !e.removed }

// snapshot is an immutable copy of the pool, which the packet loops read without
// a lock.
type snapshot struct {
	targets    []*poolEntry                  // balancers to send packets to
	failedOpen bool                          // no balancer is live; probes of targets were unanswered
	byAddr     map[netip.AddrPort]*poolEntry // also removed and unhealthy balancers
}

// pool holds the balancers and publishes a snapshot after each change.
type pool struct {
	services []netip.AddrPort
	mu       sync.Mutex
	entries  map[string]*poolEntry
	byAddr   map[netip.AddrPort]*poolEntry
	current  atomic.Pointer[snapshot]
}

func newPool(services []netip.AddrPort) *pool {
	p := &pool{services: services, entries: map[string]*poolEntry{}, byAddr: map[netip.AddrPort]*poolEntry{}}
	p.publish()
	return p
}

func (p *pool) add(b Balancer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := &poolEntry{id: b.ID, healthURL: b.HealthURL, probe: probePassed, forwarded: new(atomic.Uint64), returned: new(atomic.Uint64)}
	if old, ok := p.entries[b.ID]; ok {
		e.forwarded, e.returned = old.forwarded, old.returned
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

func (p *pool) recordProbe(e *poolEntry, result probeResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.probe == result {
		return
	}
	e.probe = result
	p.publish()
}

// publish stores a new snapshot. It is called with mu held.
func (p *pool) publish() {
	s := &snapshot{targets: p.withProbe(probePassed), byAddr: maps.Clone(p.byAddr)}
	if len(s.targets) == 0 {
		s.targets = p.withProbe(probeUnanswered)
		s.failedOpen = len(s.targets) > 0
	}
	p.current.Store(s)
}

// withProbe returns the balancers that are not removed and whose last probe had
// the given result. It is called with mu held. The order is by ID, so that a seed
// gives the same choices in every run.
func (p *pool) withProbe(result probeResult) []*poolEntry {
	var out []*poolEntry
	for _, e := range p.entries {
		if e.probe == result && !e.removed {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *poolEntry) int { return cmp.Compare(a.id, b.id) })
	return out
}

// probeTargets returns the balancers that have a health URL and are not removed.
func (p *pool) probeTargets() []*poolEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*poolEntry
	for _, e := range p.entries {
		if e.healthURL != "" && !e.removed {
			out = append(out, e)
		}
	}
	return out
}
