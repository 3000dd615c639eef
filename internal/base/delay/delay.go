// Package delay provides a sleep that a context can interrupt. It imports no
// other package of this module.
package delay

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx ends. It returns true after d, and false
// if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
