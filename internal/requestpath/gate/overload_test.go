package gate

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// Times of the overload test. The work is long and the rates are low, so that
// the test needs little CPU and measures the limits only.
const (
	overloadWork   = 100 * time.Millisecond
	overloadWindow = 3 * time.Second
	overloadSlots  = 2 // of each of three backend servers: 60 requests a second
)

// answeredAt sends requests at a multiple of the capacity, spread over all
// agents, and returns how many were answered.
func (f *fleet) answeredAt(multiple int) int64 {
	gap := overloadWork / time.Duration(multiple*overloadSlots*len(f.members))
	var answered atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < overloadWindow; n++ {
		m := f.members[n%len(f.members)]
		wg.Go(func() {
			if m.call("GET", "/catalogue", "").status == 200 {
				answered.Add(1)
			}
		})
		time.Sleep(time.Until(start.Add(time.Duration(n+1) * gap)))
	}
	wg.Wait()
	return answered.Load()
}

// Guards against refusals that cost so much, or waits that hold so much, that
// fewer requests are answered under overload: at ten times the capacity, the
// answered rate must stay within 10% of the rate at the capacity.
func TestRefusalsStayCheap(t *testing.T) {
	f := newFleet(t, 3, Adaptive, backend.Options{WorkMean: overloadWork, Slots: overloadSlots, ColdSlots: overloadSlots})
	f.service.Limits.Slots, f.service.Limits.ColdSlots = overloadSlots, overloadSlots
	go f.gossip(t.Context(), 50*time.Millisecond)
	atCapacity := f.answeredAt(1)
	overloaded := f.answeredAt(10)
	t.Logf("answered %d at the capacity, %d at ten times the capacity", atCapacity, overloaded)
	if overloaded*10 < atCapacity*9 {
		t.Errorf("answered %d at ten times the capacity, %d at the capacity", overloaded, atCapacity)
	}
	for _, m := range f.members {
		if over := m.server.Ledger().OverCapacityStarts; over != 0 {
			t.Errorf("%d starts above the capacity", over)
		}
	}
}
