package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Guards against a limit above what a restarted server can take, an admission
// above the limit, and slots that are never released.
func TestLimitHoldsUnderRandomEvents(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		limits := config.Limits{
			Slots: rapid.IntRange(1, 20).Draw(rt, "slots"), Connections: 3,
			WarmUp: rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute}).Draw(rt, "warm-up"),
		}
		limits.ColdSlots = rapid.IntRange(1, limits.Slots).Draw(rt, "cold")
		now := time.Unix(0, 0)
		l := New(limits, now)
		lastColdSign, admitted := now, []time.Time{}
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0, 1, 2:
				if l.Admit(now) == Admitted {
					admitted = append(admitted, now)
					if l.InProgress() > l.Limit(now) {
						rt.Fatalf("%d in progress, limit %d", l.InProgress(), l.Limit(now))
					}
				} else if len(admitted) < l.Limit(now) {
					rt.Fatalf("refused with %d in progress, limit %d", len(admitted), l.Limit(now))
				}
			case 3, 4:
				if len(admitted) == 0 {
					continue
				}
				signal := rapid.SampledFrom([]Signal{Neutral, Success, Success, Success, Shed, ConnectionLost}).Draw(rt, "signal")
				l.Done(now, Result{signal, admitted[0]})
				admitted = admitted[1:]
				if signal == ConnectionLost {
					lastColdSign = now
				}
			case 5:
				if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
					l.MarkCold(now)
					lastColdSign = now
				}
			}
			if limit := l.Limit(now); limit < 1 || limit > WarmUpLimit(limits, now.Sub(lastColdSign)) {
				rt.Fatalf("limit %d, ramp %d", limit, WarmUpLimit(limits, now.Sub(lastColdSign)))
			}
			if l.InProgress() != len(admitted) {
				rt.Fatalf("in progress %d, want %d", l.InProgress(), len(admitted))
			}
		}
	})
}

// Guards against a limit that never recovers, that is halved several times
// because requests in progress together were all shed, or that is not reduced
// when latency jumps.
func TestGrowthAndReduction(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := New(config.Limits{Slots: 9, ColdSlots: 2, Connections: 1}, now)
	run := func(n int, latency time.Duration, s Signal) {
		for range n {
			is.Equal(l.Admit(now), Admitted)
			start := now
			now = now.Add(latency)
			l.Done(now, Result{s, start})
		}
	}
	is.Equal(l.Limit(now), 2)
	run(100, 10*time.Millisecond, Success)
	is.Equal(l.Limit(now), 9)

	for range 3 {
		is.Equal(l.Admit(now), Admitted)
	}
	start := now
	now = now.Add(time.Millisecond)
	for range 3 {
		l.Done(now, Result{Shed, start})
	}
	is.Equal(l.Limit(now), 4) // halved once, not three times

	is.True(l.IsFailing(now))
	is.True(!l.IsFailing(now.Add(failingBackoff))) // a request may probe again

	run(200, 10*time.Millisecond, Success)
	is.True(!l.IsFailing(now))
	run(15, 100*time.Millisecond, Success)
	is.True(l.Limit(now) < 9)
}

// Guards against flows or feeds above the connection limit.
func TestConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	l := New(config.Limits{Slots: 1, ColdSlots: 1, Connections: 1}, time.Unix(0, 0))
	is.Equal(l.OpenFlow(), Admitted)
	is.Equal(l.OpenFlow(), ConnectionsFull)
	is.Equal(l.OpenFeed(), Admitted)
	is.Equal(l.OpenFeed(), ConnectionsFull)
	l.CloseFlow()
	is.Equal(l.OpenFlow(), Admitted)
	is.Equal(l.Flows(), 1)
}
