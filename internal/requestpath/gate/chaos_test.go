package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// orderResult holds the outcomes that the caller got for the attempts of one order.
type orderResult struct {
	id       string
	outcomes []string
}

// Guards against duplicate runs, not-run refusals of orders that ran, answers
// that reach another request and starts above capacity, while backend servers
// restart, freeze, start cold and leave at random times.
func TestGuaranteesUnderFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 4, PolicyAdaptive, backend.Options{WorkMean: 5 * time.Millisecond, WarmUp: 300 * time.Millisecond})
	// Faults are injected for at least 1.5 s, and longer on a machine that is
	// short of CPU, until more than minDone orders are done.
	const minDone = 200
	var done atomic.Int64
	start := time.Now()
	running := func() bool {
		elapsed := time.Since(start)
		return elapsed < 1500*time.Millisecond || done.Load() <= minDone && elapsed < 30*time.Second
	}
	var mu sync.Mutex
	var orders []orderResult
	counts := map[string]int{}
	var wg sync.WaitGroup
	for caller := range 24 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(uint64(caller), 5))
			for n := 0; running(); n++ {
				id := fmt.Sprintf("%d-%d", caller, n)
				got, crossed := f.randomOrder(random, id)
				mu.Lock()
				orders = append(orders, got)
				counts[got.outcomes[len(got.outcomes)-1]]++
				done.Store(int64(counts["done"]))
				if crossed {
					counts["crossed"]++
				}
				mu.Unlock()
				time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
			}
		})
	}
	f.injectFaults(running)
	wg.Wait()
	runs, overCapacity := f.runs()
	for _, o := range orders {
		is.True(runs[o.id] <= 1) // at most once
		for _, outcome := range o.outcomes {
			is.True(outcome != "done" || runs[o.id] == 1)
		}
		if o.outcomes[len(o.outcomes)-1] == "not-run" {
			is.Equal(runs[o.id], 0)
		}
	}
	t.Log(counts)
	is.Equal(overCapacity, 0)
	is.Equal(counts["crossed"], 0)
	is.True(counts["done"] > minDone)
	for _, m := range f.members {
		is.True(m.becomesIdle())
	}
}

// randomOrder sends one order, with or without a ticket, and retries a
// ticketed one through any agent. It returns the outcome of each attempt, and
// whether an answer belonged to another order.
func (f *fleet) randomOrder(random *rand.Rand, id string) (got orderResult, crossed bool) {
	pick := func() *member { return f.members[random.IntN(len(f.members))] }
	timeout := strconv.Itoa(5 + random.IntN(150))
	got.id = id
	header := []string{TimeoutHeader, timeout}
	attempts := 1
	if random.IntN(2) == 0 {
		header = append(header, TicketHeader, pick().call("POST", TicketPath, "").header.Get(TicketHeader))
		attempts = 3
	}
	for n := range attempts {
		r := pick().call("POST", "/orders", `{"order":"`+id+`"}`, append(header, AttemptHeader, strconv.Itoa(n+1))...)
		got.outcomes = append(got.outcomes, r.outcome())
		if r.outcome() == "done" {
			return got, !strings.Contains(r.body, `"order":"`+id+`"`)
		}
	}
	return got, false
}

func (f *fleet) injectFaults(running func() bool) {
	random := rand.New(rand.NewPCG(11, 11))
	for running() {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		m := f.members[random.IntN(len(f.members))]
		switch random.IntN(6) {
		case 0, 1:
			m.server.Restart()
		case 2:
			m.server.Freeze(time.Duration(random.IntN(100)) * time.Millisecond)
		case 3:
			m.server.MakeCold()
		case 4:
			m.state.Store(State{Leaving: true})
		case 5:
			m.state.Store(State{})
		}
		for _, m := range f.members {
			m.load.Store(m.Gate.Load())
		}
	}
}

// runs returns the runs of each order and the starts above capacity, over all
// backend servers.
func (f *fleet) runs() (runs map[string]int, overCapacity int) {
	runs = map[string]int{}
	for _, m := range f.members {
		l := m.server.Ledger()
		overCapacity += l.OverCapacityStarts
		for id, n := range l.Runs {
			runs[id] += n
		}
	}
	return runs, overCapacity
}

// Guards against a retry storm while half of the backend servers fail, and
// against requests that are still sent to the failing ones.
func TestRetryBudgetWhileHalfFail(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 4, PolicyAdaptive, backend.Options{WorkMean: time.Millisecond})
	f.members[0].server.Drain()
	f.members[1].server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.refreshLoads(ctx, 20*time.Millisecond)
	var answered atomic.Int64
	var wg sync.WaitGroup
	for _, m := range f.members {
		wg.Go(func() {
			for range 300 {
				if m.call("GET", "/catalogue", "").status == 200 {
					answered.Add(1)
				}
			}
		})
	}
	wg.Wait()
	requests, attempts := 0, 0
	for _, m := range f.members {
		r, a := m.RequestCounts()
		requests, attempts = requests+r, attempts+a
	}
	t.Logf("%d attempts for %d requests, %d answered", attempts, requests, answered.Load())
	is.Equal(requests, 1200)
	is.True(answered.Load() > 1150)
	is.True(attempts*10 <= requests*11)
}
