package admission

import "time"

// Weights of the two exponential moving averages, and the ratio between them
// that counts as a jump. With exponentially distributed service times, the
// recent average has a standard deviation of 18% of the mean, so that a ratio of
// 3 is not reached by chance.
const (
	recentWeight = 1.0 / 16
	steadyWeight = 1.0 / 512
	jumpRatio    = 3
)

// minSamples is the number of samples before a jump is reported: the averages of
// the first few samples vary too much.
const minSamples = 64

// latencyDetector detects a jump in latency by comparing a short-term average
// with a long-term one.
type latencyDetector struct {
	samples        int
	recent, steady float64 // seconds
}

// addSample adds one latency and reports whether latency has jumped.
func (l *latencyDetector) addSample(d time.Duration) bool {
	l.samples++
	s := d.Seconds()
	l.recent += (s - l.recent) * max(recentWeight, 1/float64(l.samples))
	l.steady += (s - l.steady) * max(steadyWeight, 1/float64(l.samples))
	return l.samples > minSamples && l.recent > jumpRatio*l.steady
}
