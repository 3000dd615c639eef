// Package fence detects that this process was paused for longer than its lease
// allows, so that it does not act on outdated state. It must not depend on the
// network, the configuration or the membership.
package fence

import (
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/suspension"
)

// Intervals of the fence.
const (
	TickInterval = 100 * time.Millisecond // between the ticks of Run
	MaxGap       = 5 * time.Second        // longest time between two observations that leaves the fence open
)

// Fence closes when more than MaxGap passes between two observations that this
// process runs, and stays closed until Renew. Each tick and each check is such an
// observation, so a check detects a pause before any other goroutine has run
// again. Times must come from one monotonic clock; the time during which the machine was
// suspended is added. A Fence is safe for concurrent use.
type Fence struct {
	suspended func() time.Duration // suspension.Total, but in tests

	mu          sync.Mutex
	last        time.Time
	lastTotal   time.Duration // total suspension at last
	gap         time.Duration // length of the pause that closed the fence, 0 while it is open
	incarnation uint64
}

// New returns an open fence. The incarnation is the start time of the process in
// Unix nanoseconds.
func New(incarnation uint64, now time.Time) *Fence {
	return &Fence{suspended: suspension.Total, last: now, lastTotal: suspension.Total(), incarnation: incarnation}
}

// Tick notes that this process runs at now. It reports whether it closed the
// fence.
func (f *Fence) Tick(now time.Time) (closed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previousGap := f.gap
	f.observe(now)
	return previousGap == 0 && f.gap != 0
}

func (f *Fence) observe(now time.Time) {
	total := f.suspended()
	gap := now.Sub(f.last) + total - f.lastTotal
	if gap > MaxGap && f.gap == 0 {
		f.gap = gap
	}
	if gap > 0 {
		f.last, f.lastTotal = now, total
	}
}

// Check must precede each use of what the lease protects. It returns an
// AgentFenced error if the fence is closed or if the time since the last
// observation closes it.
func (f *Fence) Check(now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	if f.gap != 0 {
		return errkind.Errorf(errkind.AgentFenced, "this process did not run for %v", f.gap.Round(time.Millisecond))
	}
	return nil
}

// IsCurrent reports whether incarnation is current and the fence is open at
// now. Work that was queued under an earlier incarnation must not run.
func (f *Fence) IsCurrent(incarnation uint64, now time.Time) bool {
	return f.Check(now) == nil && f.Incarnation() == incarnation
}

// Closed reports whether the fence has been closed. Unlike Check, it does not
// detect a new pause.
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

// Renew opens the fence with a new, higher incarnation and returns it. Before,
// the caller must drop all state that belongs to the old incarnation.
func (f *Fence) Renew(now time.Time) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation = max(f.incarnation+1, uint64(now.UnixNano()))
	f.gap = 0
	f.last, f.lastTotal = now, f.suspended()
	return f.incarnation
}
