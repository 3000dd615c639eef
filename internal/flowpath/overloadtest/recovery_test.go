// Package overloadtest checks how the decisions of a balancer together behave on a narrow link
// under overload, on a fake clock and a modelled link.
package overloadtest

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

const (
	// calm is the time before the burst, and that after the recovery in which requests count.
	calm = 3 * time.Second
	// recoveryTime is how long after a burst the service may be worse than before it.
	recoveryTime = 3 * time.Second
	// smallLoad and uploadLoad are the parts of the link that requests use outside of bursts.
	smallLoad, uploadLoad = 0.1, 0.2
)

func init() {
	// A play takes 0.3 s on average. By hand, -rapid.checks plays more.
	if err := flag.Set("rapid.checks", "10"); err != nil {
		panic(err)
	}
}

// burst is a load pattern: uploads of factor times the link for a time, beside the usual load.
type burst struct {
	megabits float64 // rate of the link
	factor   float64
	length   time.Duration
	rotates  bool // the rotation changes in the middle of the burst
}

// The phases of a play.
const (
	before = iota
	inBurst
	recovering
	after
	phaseCount
)

// result is what a play showed, by phase.
type result struct {
	shares [phaseCount]map[string]share // by route
	traces [phaseCount]string           // kB on the link, by kind
}

// share is how many requests were served in their objective.
type share struct{ served, all int }

func (s share) String() string { return fmt.Sprintf("%d/%d", s.served, s.all) }

// recovered reports whether the share after a burst is at least 0.9 of that before it. One
// request more may fail, as a slow link carries few uploads in the time.
func (s share) recovered(before share) bool {
	return float64(s.served+1) >= 0.9*float64(s.all)*float64(before.served)/float64(before.all)
}

// play runs a burst on a balancer whose settings give configured times the rate of its link.
func (b burst) play(configured float64) result {
	rate := b.megabits * 1e6 / 8
	m := newModel(rate, configured*rate)
	ends := [phaseCount]time.Duration{calm, calm + b.length, calm + b.length + recoveryTime, 2*calm + b.length + recoveryTime}
	m.offer(small, smallLoad*rate, ends[after])
	m.offer(upload, uploadLoad*rate, ends[after])
	m.after(ends[before], func() { m.offer(upload, b.factor*rate, ends[inBurst]) })
	if b.rotates {
		m.after(calm+b.length/2, m.rotate)
	}
	var r result
	for phase, end := range ends {
		m.runUntil(end)
		r.traces[phase] = fmt.Sprintf("received %s, sent %s", m.in.takeTrace(), m.out.takeTrace())
		r.shares[phase] = map[string]share{}
	}
	m.runUntil(ends[after] + upload.Objective)
	phase := before
	for _, q := range m.requests {
		for q.started >= ends[phase] {
			phase++
		}
		s := r.shares[phase][q.route.Name]
		s.all++
		if q.inTime {
			s.served++
		}
		r.shares[phase][q.route.Name] = s
	}
	return r
}

// check fails the test if the service is not as before the burst in time.
func (b burst) check(t rapid.TB) {
	r := b.play(1)
	t.Logf("uploads of %.1f times a link of %.1f Mbit/s for %v, change of rotation %v", b.factor, b.megabits, b.length, b.rotates)
	for phase, name := range [phaseCount]string{"before", "in the burst", "3 s after", "later"} {
		t.Logf("%s: served %v; kB %s", name, r.shares[phase], r.traces[phase])
	}
	for name, s := range r.shares[after] {
		if !s.recovered(r.shares[before][name]) {
			t.Errorf("%s: %v served before the burst, %v after it", name, r.shares[before][name], s)
		}
	}
}

// Guards against a link that stays full after a burst because of what the balancer repeats.
// Load pattern: uploads of several times a link of 10 Mbit/s for 5 s.
func TestServiceRecoversOnTenMegabits(t *testing.T) {
	for _, factor := range []float64{1.5, 2.5, 4} {
		for _, rotates := range []bool{false, true} {
			burst{megabits: 10, factor: factor, length: 5 * time.Second, rotates: rotates}.check(t)
		}
	}
}

// Guards against the same on other links and after other bursts. Load pattern: uploads of 1.2
// to 5 times a link of 2 to 50 Mbit/s for 1 to 20 s.
func TestServiceRecoversOnAnyLink(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		burst{
			// Evenly on logarithmic scales: long bursts on fast links take most of the time.
			megabits: 2 * math.Pow(25, rapid.Float64Range(0, 1).Draw(t, "rate of the link")),
			factor:   rapid.Float64Range(1.2, 5).Draw(t, "factor"),
			length:   time.Duration(math.Pow(20, rapid.Float64Range(0, 1).Draw(t, "length")) * float64(time.Second)),
			rotates:  rapid.Bool().Draw(t, "rotates"),
		}.check(t)
	})
}

// Guards against a model in which requests fail without an overload, and against rejections
// because the settings give a tenth of the link. Load pattern: a third of 10 Mbit/s.
func TestCalmLoadIsServed(t *testing.T) {
	for _, configured := range []float64{1, 0.1} {
		r := burst{megabits: 10, length: time.Second}.play(configured)
		for phase := recovering; phase < phaseCount; phase++ {
			for name, s := range r.shares[phase] {
				if s.served != s.all {
					t.Errorf("%s: %v served; kB %s", name, s, r.traces[phase])
				}
			}
		}
	}
}
