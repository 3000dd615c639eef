package gate

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// Parameters of the overload test. The work is long and the rates are low, so
// that the test needs little CPU and only the limits determine its result.
const (
	overloadWork   = 100 * time.Millisecond
	overloadWindow = 3 * time.Second
	overloadSlots  = 2 // of each of three backend servers: 60 requests a second
)

// countAnsweredAt sends requests at a multiple of the capacity, spread over all
// agents, and returns the number of answered ones.
func (f *fleet) countAnsweredAt(multiple int) int64 {
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

// Guards against refusals or waiting requests whose cost reduces the throughput
// under overload: at ten times the capacity, the answered rate must stay within
// 10% of the rate at the capacity.
func TestThroughputUnderOverload(t *testing.T) {
	f := newFleet(t, 3, PolicyAdaptive, backend.Options{WorkMean: overloadWork, Slots: overloadSlots, ColdSlots: overloadSlots})
	f.service.Limits.Slots, f.service.Limits.ColdSlots = overloadSlots, overloadSlots
	go f.refreshLoads(t.Context(), 50*time.Millisecond)
	atCapacity := f.countAnsweredAt(1)
	overloaded := f.countAnsweredAt(10)
	t.Logf("answered %d requests at the capacity, %d at ten times the capacity", atCapacity, overloaded)
	if overloaded*10 < atCapacity*9 {
		t.Errorf("answered %d requests at ten times the capacity, want at least 90%% of the %d at the capacity", overloaded, atCapacity)
	}
	for _, m := range f.members {
		if over := m.server.Ledger().OverCapacityStarts; over != 0 {
			t.Errorf("%d requests started above the capacity", over)
		}
	}
}
