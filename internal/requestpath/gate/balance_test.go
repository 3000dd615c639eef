package gate

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// timerSlack is the lateness of a timer on a machine that is not short of CPU.
const timerSlack = 20 * time.Millisecond

// measureImbalance sends Poisson arrivals to seven members, in unequal shares as
// hashed flows have them. For each window it computes the maximum over the mean
// of the members' time-averaged requests in progress; it returns these ratios,
// sorted.
func measureImbalance(t testing.TB, policy Policy, load float64, work, window time.Duration, windows int) (ratios []float64, answered, total int) {
	f := newFleet(t, 7, policy, backend.Options{WorkMean: work})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.refreshLoads(ctx, 100*time.Millisecond)
	random := rand.New(rand.NewPCG(1, 2))
	const flows = 70
	flow := make([]int, flows)
	for i := range flow {
		flow[i] = random.IntN(7)
	}
	gap := time.Duration(float64(work) / (load * 9 * 7))
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	end := start.Add(window * time.Duration(windows))
	stalled := time.Duration(0)
	for at := start; at.Before(end); at = at.Add(time.Duration(random.ExpFloat64() * float64(gap))) {
		time.Sleep(time.Until(at.Add(stalled)))
		stalled = max(stalled, time.Since(at)-timerSlack)
		m := f.members[flow[random.IntN(flows)]]
		total++
		wg.Go(func() {
			w := httptest.NewRecorder()
			m.ServeHTTP(w, httptest.NewRequest("GET", "/catalogue", nil))
			mu.Lock()
			defer mu.Unlock()
			if w.Code == 200 {
				answered++
				return
			}
			t.Logf("at %v: status %d, %s", time.Since(start), w.Code, w.Header().Get("Knapweedpier-Error"))
		})
	}
	wg.Wait()
	ledgers := make([]backend.Ledger, len(f.members))
	for i, m := range f.members {
		ledgers[i] = m.server.Ledger()
	}
	for i := 1; i < windows; i++ { // the first window is for warm-up
		highest, sum := 0.0, 0.0
		for _, l := range ledgers {
			v := l.InProgressAverage(start.Add(window*time.Duration(i)), start.Add(window*time.Duration(i+1)))
			highest, sum = max(highest, v), sum+v
		}
		ratios = append(ratios, highest/(sum/7))
	}
	slices.Sort(ratios)
	return ratios, answered, total
}

// Guards against requests that run only where their flows were hashed to: the
// median imbalance above 1 must be at most half of the baseline's.
func TestImbalanceAt70PercentLoad(t *testing.T) {
	// 300 requests a second need little CPU under the race detector. On a machine
	// short of CPU, requests hold their slots for longer than their work takes,
	// which is a higher load than the 70% that the bounds apply to.
	const work, window = 150 * time.Millisecond, 1500 * time.Millisecond
	ratios, answered, total := measureImbalance(t, PolicyAdaptive, 0.7, work, window, 3)
	baseline, _, _ := measureImbalance(t, PolicyBaseline, 0.7, work, window, 2)
	t.Logf("adaptive %.3f, baseline %.3f, answered %d of %d", ratios, baseline, answered, total)
	if ratios[len(ratios)/2]-1 > (baseline[0]-1)/2 {
		t.Errorf("median imbalance %.3f, baseline %.3f: the excess over 1 must be at most half", ratios[len(ratios)/2], baseline[0])
	}
	if answered*1000 < total*995 {
		t.Errorf("answered %d of %d", answered, total)
	}
}
