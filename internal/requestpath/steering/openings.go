package steering

import (
	"sync"
	"time"
)

const (
	// unansweredAfter is the time after which a resent opening counts as
	// unanswered. Callers resend after about 200 ms at the earliest.
	unansweredAfter = 300 * time.Millisecond
	// openingLifetime is the minimum time for which an opening is remembered. It
	// covers the handshake timeout of a caller.
	openingLifetime = 5 * time.Second
	// maxOpenings bounds each of the two maps of openings: 65,536 entries of
	// about 40 bytes. Openings beyond it are steered without being remembered.
	maxOpenings = 1 << 16
)

// Openings remembers recent openings, so that an opening that is resent because
// it was not answered goes to the next candidate. It is safe for concurrent use.
type Openings struct {
	mu       sync.Mutex
	current  map[uint64]opening
	previous map[uint64]opening
	rotated  time.Time
}

type opening struct {
	movedAt    time.Time // first seen, or last moved to the next candidate
	unanswered int       // attempts that were not answered
}

// NewOpenings returns an Openings without entries.
func NewOpenings() *Openings {
	return &Openings{current: map[uint64]opening{}, previous: map[uint64]opening{}}
}

// RecordAttempt records that a packet of the opening with the key was received,
// and returns how many attempts at it were not answered so far.
func (o *Openings) RecordAttempt(now time.Time, key uint64) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	entry, ok := o.current[key]
	if !ok {
		entry, ok = o.previous[key]
	}
	switch {
	case !ok:
		entry = opening{movedAt: now}
	case now.Sub(entry.movedAt) >= unansweredAfter:
		entry = opening{movedAt: now, unanswered: entry.unanswered + 1}
	}
	if len(o.current) < maxOpenings {
		o.current[key] = entry
	}
	return entry.unanswered
}

// rotate forgets openings that were not received for one to two lifetimes.
func (o *Openings) rotate(now time.Time) {
	if now.Sub(o.rotated) < openingLifetime {
		return
	}
	o.previous, o.current = o.current, map[uint64]opening{}
	o.rotated = now
}
