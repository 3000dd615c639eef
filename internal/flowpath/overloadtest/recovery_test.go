// Package overloadtest checks how the decisions of a balancer together behave on a narrow link
// under overload, on a fake clock and a modelled link.
package overloadtest

import (
	"fmt"
	"testing"
	"time"
)

const (
	// calm is the time before the burst, and that after the recovery in which requests count.
	calm = 3 * time.Second
	// recoveryTime is how long after a burst the service may be worse than before it.
	recoveryTime = 3 * time.Second
	// smallLoad and uploadLoad are the parts of the link that requests use outside of bursts.
	smallLoad, uploadLoad = 0.1, 0.2
)

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
