package linkbudget

import (
	"math"
	"time"
)

const (
	// rateWindowLength is the time over which the received rate is measured.
	rateWindowLength = time.Second
	// maxRateExcess is how far the received rate may exceed that of the link. A link carries
	// no more than its rate, apart from what a host has buffered.
	maxRateExcess = 1.2
)

// rateWindow measures the received rate.
type rateWindow struct {
	startedAt time.Time // in the future after a stall: what lay unread would raise the rate
	bytes     float64
}

// measureRate counts received bytes, and raises the rate of the link at the end of a window
// in which more was received than a link of this rate carries.
func (b *Budget) measureRate(now time.Time, bytes int) {
	b.received.add(now, rateHalfLife, float64(bytes))
	w := &b.window
	switch elapsed := now.Sub(w.startedAt); {
	case elapsed < 0:
		return
	case w.startedAt.IsZero() || elapsed >= 2*rateWindowLength:
		*w = rateWindow{startedAt: now}
	case elapsed >= rateWindowLength:
		received := w.bytes / elapsed.Seconds()
		if received > maxRateExcess*b.rate && !b.hasStalled(now) {
			// What was received is only the least that the link carries. With that as the rate,
			// a link used to 93% had 27 of 260 uploads rejected.
			b.rate, b.rateRaised = maxRateExcess*received, true
		}
		*w = rateWindow{startedAt: now}
	}
	w.bytes += float64(bytes)
}

// isRateDoubtful reports whether more is received now than a link of the rate carries. The rate
// is then about to be raised. Until then no openings are rejected and no flows are paused.
func (b *Budget) isRateDoubtful(now time.Time) bool {
	return b.received.at(now, rateHalfLife)*math.Ln2/rateHalfLife.Seconds() > maxRateExcess*b.rate
}
