// Package clockoffset estimates how far this host's clock is ahead of or behind
// the median of its peers' clocks. It must not read a clock: callers pass in
// all times. It imports no other package of this module.
package clockoffset

import (
	"sort"
	"time"
)

// Limit is the largest clock offset that planned changes tolerate.
const Limit = time.Second

// maxSampleAge is the age up to which a peer's sample is used.
const maxSampleAge = time.Minute

// Estimator keeps the latest sample of each peer. It is not safe for
// concurrent use. The zero value is usable.
type Estimator struct {
	samples map[string]sample
}

type sample struct {
	offset  time.Duration
	takenAt time.Time
}

// AddSample records that peer's clock showed peerTime when the local clock showed
// localTime. It replaces the peer's earlier sample.
func (e *Estimator) AddSample(peer string, peerTime, localTime time.Time) {
	if e.samples == nil {
		e.samples = map[string]sample{}
	}
	// Round strips the monotonic reading, which can't be compared across hosts.
	e.samples[peer] = sample{localTime.Round(0).Sub(peerTime.Round(0)), localTime}
}

// Offset returns how far the local clock is ahead of the median of the peers'
// clocks: negative if it is behind, 0 without recent samples. It deletes samples
// older than maxSampleAge.
func (e *Estimator) Offset(now time.Time) time.Duration {
	var offsets []time.Duration
	for peer, s := range e.samples {
		if now.Sub(s.takenAt) > maxSampleAge {
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

// ExceedsLimit reports whether offset, ahead or behind, exceeds Limit.
func ExceedsLimit(offset time.Duration) bool { return offset.Abs() > Limit }
