package quickstart

import (
	"context"
	"fmt"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// say writes one progress line with the seconds since the load began. A
// failed write does not stop a run.
func (r *run) say(format string, args ...any) {
	r.saying.Lock()
	defer r.saying.Unlock()
	seconds := time.Since(r.began).Seconds()
	_, _ = fmt.Fprintf(r.opt.Progress, "%6.1fs %s\n", seconds, fmt.Sprintf(format, args...))
}

// report writes progress lines until the returned function is called, which
// waits for the last one.
func (r *run) report() (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-quit:
				return
			case <-tick.C:
				requests, answered := r.load.Progress()
				r.say("%d requests, %d answered", requests, answered)
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}

// waitUntil waits until the given time after the load began.
func (r *run) waitUntil(ctx context.Context, after time.Duration) error {
	timer := time.NewTimer(time.Until(r.began.Add(after)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return endedEarly(ctx)
	case <-timer.C:
		return nil
	}
}

// endedEarly returns an error if ctx ended before the run did.
func endedEarly(ctx context.Context) error {
	return errkind.Wrap(ctx.Err(), errkind.Internal, "run ended early")
}
