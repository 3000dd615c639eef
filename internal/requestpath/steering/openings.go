package steering

import (
	"sync"
	"time"
)

const (
	// unansweredAfter is the time after which an opening that comes again
	// counts as unanswered. Callers resend after about 200 ms at the earliest.
	unansweredAfter = 300 * time.Millisecond
	// openingLifetime covers the handshake timeout of a caller.
	openingLifetime = 5 * time.Second
	// maxOpenings bounds the memory of one generation: 65,536 entries of about
	// 40 bytes. Openings beyond it are steered without being remembered.
	maxOpenings = 1 << 16
)

// Openings remembers recent openings, so that one that comes again unanswered
// goes to the next candidate. It is safe for concurrent use.
type Openings struct {
	mu      sync.Mutex
	current map[uint64]opening
	last    map[uint64]opening
	rotated time.Time
}

type opening struct {
	moved    time.Time // first seen, or last moved to the next candidate
	attempts int
}

// NewOpenings returns an empty memory.
func NewOpenings() *Openings {
	return &Openings{current: map[uint64]opening{}, last: map[uint64]opening{}}
}

// Attempts records that the opening with this key was seen, and returns how
// often it went unanswered.
func (o *Openings) Attempts(now time.Time, key uint64) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	entry, ok := o.current[key]
	if !ok {
		entry, ok = o.last[key]
	}
	switch {
	case !ok:
		entry = opening{moved: now}
	case now.Sub(entry.moved) >= unansweredAfter:
		entry = opening{moved: now, attempts: entry.attempts + 1}
	}
	if len(o.current) < maxOpenings {
		o.current[key] = entry
	}
	return entry.attempts
}

// rotate forgets entries that were not seen for one to two lifetimes.
func (o *Openings) rotate(now time.Time) {
	if now.Sub(o.rotated) < openingLifetime {
		return
	}
	o.last, o.current = o.current, map[uint64]opening{}
	o.rotated = now
}
