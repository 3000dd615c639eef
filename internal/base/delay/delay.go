// Package delay waits for a time that a context can cut short.
package delay

import (
	"context"
	"time"
)

// Sleep waits for d or the end of ctx, and reports whether ctx goes on.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
