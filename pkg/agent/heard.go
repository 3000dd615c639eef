package agent

import (
	"hash/maphash"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// contactTimeout is how recently a balancer must have answered a hello to be
// preferred for return traffic.
const contactTimeout = time.Second

// contactTable records the last contact with each balancer.
type contactTable struct {
	mu          sync.Mutex
	seed        maphash.Seed
	lastContact map[netip.AddrPort]time.Time
	sorted      []netip.AddrPort // keys of lastContact, so that choices are stable
}

func newContactTable() *contactTable {
	return &contactTable{seed: maphash.MakeSeed(), lastContact: map[netip.AddrPort]time.Time{}}
}

// recordHelloAck records that a balancer answered a hello, which shows that
// packets reach it.
func (t *contactTable) recordHelloAck(now time.Time, balancer netip.AddrPort) {
	t.record(now, balancer)
}

// recordForward records that a balancer forwarded a packet. This shows only that
// packets arrive from it: the path to it may be broken. Such a balancer is chosen
// only if none has answered a hello in time.
func (t *contactTable) recordForward(now time.Time, balancer netip.AddrPort) {
	t.record(now.Add(-contactTimeout), balancer)
}

func (t *contactTable) record(at time.Time, balancer netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.lastContact[balancer]
	if ok && !at.After(last) {
		return
	}
	if !ok {
		i, _ := slices.BinarySearchFunc(t.sorted, balancer, netip.AddrPort.Compare)
		t.sorted = slices.Insert(t.sorted, i, balancer)
	}
	t.lastContact[balancer] = at
}

// pick returns a balancer for a caller's return traffic: the same one as long as
// it answers hellos, so that packets of a flow rarely overtake each other. If
// none has answered within contactTimeout, it returns the one with the latest
// contact.
func (t *contactTable) pick(now time.Time, caller netip.AddrPort) (netip.AddrPort, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.sorted)
	if n == 0 {
		return netip.AddrPort{}, false
	}
	first := int(maphash.Comparable(t.seed, caller) % uint64(n))
	var latest netip.AddrPort
	for i := range n {
		balancer := t.sorted[(first+i)%n]
		if now.Sub(t.lastContact[balancer]) < contactTimeout {
			return balancer, true
		}
		if !latest.IsValid() || t.lastContact[balancer].After(t.lastContact[latest]) {
			latest = balancer
		}
	}
	return latest, true
}

// removeOlder removes balancers whose last contact was before the given time.
func (t *contactTable) removeOlder(before time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sorted = slices.DeleteFunc(t.sorted, func(b netip.AddrPort) bool {
		expired := t.lastContact[b].Before(before)
		if expired {
			delete(t.lastContact, b)
		}
		return expired
	})
}
