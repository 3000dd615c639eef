// Package clockoffset estimates, without reading a clock, how far this host's
// clock is off the median of its peers' clocks.
package clockoffset

import (
	"sort"
	"time"
)

// Limit is the difference that planned changes tolerate.
const Limit = time.Second

// maxAge is how long a peer's sample counts.
const maxAge = time.Minute

// Estimator keeps the latest sample of each peer. It is not safe for
// concurrent use. The zero value is usable.
type Estimator struct {
	samples map[string]sample
}

type sample struct {
	offset time.Duration
	at     time.Time
}

// Sample notes that peer's clock showed theirs when the local one showed ours.
func (e *Estimator) Sample(peer string, theirs, ours time.Time) {
	if e.samples == nil {
		e.samples = map[string]sample{}
	}
	// Round strips the monotonic reading, which is no clock that a peer shares.
	e.samples[peer] = sample{ours.Round(0).Sub(theirs.Round(0)), ours}
}

// Offset returns how far the local clock is ahead of the median of the peers'
// clocks; negative if it is behind, 0 without peers.
func (e *Estimator) Offset(now time.Time) time.Duration {
	var offsets []time.Duration
	for peer, s := range e.samples {
		if now.Sub(s.at) > maxAge {
			delete(e.samples, peer)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) == 0 {
		return 0
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	mid := len(offsets) / 2
	if len(offsets)%2 == 1 {
		return offsets[mid]
	}
	return (offsets[mid-1] + offsets[mid]) / 2
}

// Off reports whether an offset exceeds Limit.
func Off(offset time.Duration) bool { return offset.Abs() > Limit }
