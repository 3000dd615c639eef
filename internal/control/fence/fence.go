// Package fence detects that this process did not run for longer than its
// lease allows, so that it does not act on what it knew before.
package fence

import (
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Times of the fence.
const (
	Interval = 100 * time.Millisecond // between ticks
	Limit    = 5 * time.Second        // longest gap between signs of running
)

// Fence is closed by a gap of more than Limit between two signs that this
// process runs, and stays closed until Renew. Ticks and checks are such signs,
// so a check detects a pause before any goroutine has run again. Times must
// come from one monotonic clock. A Fence is safe for concurrent use.
type Fence struct {
	mu          sync.Mutex
	last        time.Time
	gap         time.Duration // that closed the fence, 0 while it is open
	incarnation uint64
}

// New returns an open fence for an incarnation, which is the start time in
// Unix nanoseconds.
func New(incarnation uint64, now time.Time) *Fence {
	return &Fence{last: now, incarnation: incarnation}
}

// Tick notes that this process runs at now. It reports whether this tick
// closed the fence.
func (f *Fence) Tick(now time.Time) (closed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.gap
	f.observe(now)
	return was == 0 && f.gap != 0
}

func (f *Fence) observe(now time.Time) {
	gap := now.Sub(f.last)
	if gap > Limit && f.gap == 0 {
		f.gap = gap
	}
	if gap > 0 {
		f.last = now
	}
}

// Check must precede each use of what the lease protects. It returns an
// AgentFenced error if the fence is closed or if now shows that it must be.
func (f *Fence) Check(now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	if f.gap != 0 {
		return errkind.Errorf(errkind.AgentFenced, "this process did not run for %v", f.gap.Round(time.Millisecond))
	}
	return nil
}

// Holds reports whether incarnation is still current and the fence is open at
// now. Work that was queued under an earlier incarnation must not run.
func (f *Fence) Holds(incarnation uint64, now time.Time) bool {
	return f.Check(now) == nil && f.Incarnation() == incarnation
}

// Closed reports whether the fence is closed, without reading a clock.
func (f *Fence) Closed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gap != 0
}

// Incarnation returns the current incarnation.
func (f *Fence) Incarnation() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnation
}

// Renew opens the fence with a new, higher incarnation and returns it. The
// caller has dropped everything that belongs to the old one.
func (f *Fence) Renew(now time.Time) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation = max(f.incarnation+1, uint64(now.UnixNano()))
	f.gap = 0
	f.last = now
	return f.incarnation
}
