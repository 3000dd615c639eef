package fence

import (
	"context"
	"time"
)

// Run ticks f every TickInterval until ctx ends. It calls onClosed, in the same
// goroutine, once for each incarnation whose fence was closed by a tick or by a
// check.
func Run(ctx context.Context, f *Fence, now func() time.Time, onClosed func()) {
	ticker := time.NewTicker(TickInterval)
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
			onClosed()
		}
	}
}
