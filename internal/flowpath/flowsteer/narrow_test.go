package flowsteer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

const narrowRate = 1.25e6

// linkedSteerer returns a steerer of a balancer with the given link rate.
func linkedSteerer(agents int, linkRate float64) *Steerer {
	s := New(self, "a", Options{LinkRate: linkRate})
	s.SetView(testView(agents), view.Confirmations{Members: start})
	return s
}

// runLookups runs the timers of s until the given time after start.
func runLookups(s *Steerer, until time.Duration) []Action {
	var out []Action
	for at := time.Duration(0); at <= until; at += 20 * time.Millisecond {
		out = append(out, s.Tick(start.Add(at))...)
	}
	return out
}

// Guards against openings that fill a narrow link after a burst: each was repeated every
// 80 ms. A copy of the caller must ask a further agent whatever the budget.
func TestNarrowBalancerRepeatsOpeningsRarely(t *testing.T) {
	for _, c := range []struct {
		name     string
		linkRate float64
		repeats  int // in 2 s with copies after 200 ms and 600 ms
	}{{"wide", 0, 23}, {"narrow", narrowRate, 3}, {"without budget", 1250, 0}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := linkedSteerer(37, c.linkRate)
			p := callerPacket(1, flow.Open)
			var repeats int
			var asked []Action
			for at := time.Duration(0); at <= 2*time.Second; at += 20 * time.Millisecond {
				if at == 0 || at == 200*time.Millisecond || at == 600*time.Millisecond {
					asked = append(asked, s.FromCaller(start.Add(at), p, make([]byte, headerLen)))
				}
				for _, a := range forwardActions(s.Tick(start.Add(at))) {
					is.True(a.Repeated)
					repeats++
				}
			}
			is.Equal(repeats, c.repeats)
			for i, a := range asked {
				is.True(!a.Repeated)
				is.True(!slices.ContainsFunc(asked[:i], func(earlier Action) bool { return earlier.To == a.To }))
			}
			runLookups(s, 5*time.Second)
			is.Equal(len(s.openings), 0)
		})
	}
}

// Guards against a budget that grows without bounds while a link is idle, and against one
// that answers don't fill.
func TestRetryBudgetIsBounded(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget(Options{LinkRate: narrowRate})
	is.True(b.spend(start, 62_500))
	is.True(!b.spend(start, 1))
	for range 4 {
		b.earnAnswer()
	}
	is.True(b.spend(start, 132)) // one message for four answers
	is.True(!b.spend(start, 1))
	is.True(b.spend(start.Add(100*time.Millisecond), 6_250))
	is.True(!b.spend(start.Add(time.Hour), 62_501))
	is.True(b.spend(start.Add(time.Hour), 62_500))
}
