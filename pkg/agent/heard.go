package agent

import (
	"hash/maphash"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// heardWithin is how recently a balancer must have been heard from to carry
// return traffic.
const heardWithin = time.Second

// heardSet remembers which balancers were heard from, and when.
type heardSet struct {
	mu     sync.Mutex
	seed   maphash.Seed
	at     map[netip.AddrPort]time.Time
	sorted []netip.AddrPort // keys of at, so that choices are stable
}

func newHeardSet() *heardSet {
	return &heardSet{seed: maphash.MakeSeed(), at: map[netip.AddrPort]time.Time{}}
}

func (s *heardSet) heard(now time.Time, balancer netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.at[balancer]; !ok {
		i, _ := slices.BinarySearchFunc(s.sorted, balancer, netip.AddrPort.Compare)
		s.sorted = slices.Insert(s.sorted, i, balancer)
	}
	s.at[balancer] = now
}

// pick returns a balancer for a caller's return traffic: the same one as long
// as it is heard, so that packets of a flow rarely overtake each other. With
// none heard recently, the one heard last is the best guess.
func (s *heardSet) pick(now time.Time, caller netip.AddrPort) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.sorted)
	if n == 0 {
		return netip.AddrPort{}, false
	}
	first := int(maphash.Comparable(s.seed, caller) % uint64(n))
	var latest netip.AddrPort
	for i := range n {
		balancer := s.sorted[(first+i)%n]
		if now.Sub(s.at[balancer]) < heardWithin {
			return balancer, true
		}
		if !latest.IsValid() || s.at[balancer].After(s.at[latest]) {
			latest = balancer
		}
	}
	return latest, true
}

// forget drops balancers that were not heard from since before.
func (s *heardSet) forget(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sorted = slices.DeleteFunc(s.sorted, func(b netip.AddrPort) bool {
		old := s.at[b].Before(before)
		if old {
			delete(s.at, b)
		}
		return old
	})
}
