package fence

import (
	"context"
	"time"
)

// Run ticks f every Interval until ctx ends and calls closed, in its own
// goroutine, each time the fence was found closed by a tick or by a check.
func Run(ctx context.Context, f *Fence, now func() time.Time, closed func()) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	reported := uint64(0) // incarnation whose end has been reported
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.Tick(now())
		if inc := f.Incarnation(); f.Closed() && inc != reported {
			reported = inc
			closed()
		}
	}
}
