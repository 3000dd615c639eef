package admission

import "time"

// Weights of the two moving averages and the ratio that counts as a jump. With
// exponentially distributed service times, the recent average deviates by 18%
// of the mean, so that a ratio of 3 is not reached by chance.
const (
	recentWeight = 1.0 / 16
	steadyWeight = 1.0 / 512
	jumpRatio    = 3
)

// minSamples is the number of successes before a jump can be told apart from
// the first few values.
const minSamples = 64

// latency compares the recent latency with the steady one.
type latency struct {
	samples        int
	recent, steady float64 // seconds
}

// jumped adds one sample and reports whether latency has jumped.
func (l *latency) jumped(d time.Duration) bool {
	l.samples++
	s := d.Seconds()
	l.recent += (s - l.recent) * max(recentWeight, 1/float64(l.samples))
	l.steady += (s - l.steady) * max(steadyWeight, 1/float64(l.samples))
	return l.samples > minSamples && l.recent > jumpRatio*l.steady
}
