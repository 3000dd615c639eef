package fence

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

// Guards against work that runs after a pause longer than the lease, whether a
// tick or a check detects the pause, and against a fence that opens without
// Renew.
func TestGapClosesUntilRenewed(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		f, paused := New(1, now), false
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			gap := time.Duration(rapid.SampledFrom([]int{50, 100, 4900, 5000, 5001, 60000}).Draw(t, "gap")) * time.Millisecond
			now = now.Add(gap)
			paused = paused || gap > MaxGap
			switch rapid.SampledFrom([]string{"tick", "check", "renew"}).Draw(t, "step") {
			case "tick":
				f.Tick(now)
			case "check":
				if err := f.Check(now); errkind.Is(err, errkind.AgentFenced) != paused {
					t.Fatalf("Check returned %v, want an AgentFenced error: %v", err, paused)
				}
			case "renew":
				if old := f.Incarnation(); f.Renew(now) <= old {
					t.Fatalf("Renew did not raise the incarnation")
				}
				paused = false
			}
		}
	})
}

// Guards against a pause that a check detects but Run never reports, and against
// more than one report for one incarnation.
func TestRunReportsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var skipped, reports atomic.Int64
		now := func() time.Time { return time.Now().Add(time.Duration(skipped.Load())) }
		f := New(1, now())
		go Run(ctx, f, now, func() { reports.Add(1) })
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(reports.Load(), int64(0))
		skipped.Store(int64(2 * MaxGap))
		is.True(f.Check(now()) != nil) // before any tick
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(reports.Load(), int64(1))
		is.True(!f.IsCurrent(1, now()))
		cancel()
		synctest.Wait()
	})
}

// Guards against a suspended machine whose processes go on with a lease that has lapsed
// meanwhile, because the steady clock stood still.
func TestSuspensionClosesTheFence(t *testing.T) {
	is := is.New(t)
	now, total := time.Unix(1000, 0), time.Duration(0)
	f := New(1, now)
	f.suspended, f.lastTotal = func() time.Duration { return total }, 0
	total = MaxGap - time.Second
	is.NoErr(f.Check(now.Add(TickInterval)))
	total += MaxGap + time.Second
	is.True(errkind.Is(f.Check(now.Add(2*TickInterval)), errkind.AgentFenced))
	f.Renew(now.Add(3 * TickInterval))
	is.NoErr(f.Check(now.Add(4 * TickInterval)))
}
