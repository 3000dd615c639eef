package agent

import (
	"hash/maphash"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// heardWithin is how recently a balancer must have answered a hello to carry
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

// answered notes that a balancer answered a hello, which shows that packets
// reach it.
func (s *heardSet) answered(now time.Time, balancer netip.AddrPort) {
	s.note(now, balancer)
}

// forwarded notes that a balancer forwarded a packet. This shows only that
// packets arrive from it: the path to it may be broken. It is a choice if no
// balancer has answered.
func (s *heardSet) forwarded(now time.Time, balancer netip.AddrPort) {
	s.note(now.Add(-heardWithin), balancer)
}

func (s *heardSet) note(at time.Time, balancer netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.at[balancer]
	if ok && !at.After(last) {
		return
	}
	if !ok {
		i, _ := slices.BinarySearchFunc(s.sorted, balancer, netip.AddrPort.Compare)
		s.sorted = slices.Insert(s.sorted, i, balancer)
	}
	s.at[balancer] = at
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
