package quickstart

import (
	"context"
	"fmt"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// printProgress writes one progress line with the seconds since the start of the
// load, or of the run if the load has not started. It ignores write errors, so that they do not
// stop a run.
func (r *run) printProgress(format string, args ...any) {
	r.progressMu.Lock()
	defer r.progressMu.Unlock()
	seconds := time.Since(r.startedAt).Seconds()
	_, _ = fmt.Fprintf(r.opt.Progress, "%6.1fs %s\n", seconds, fmt.Sprintf(format, args...))
}

// startProgressReports prints the numbers of requests and answers periodically
// until the returned function is called, which waits for the last line.
func (r *run) startProgressReports() (stop func()) {
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
				r.printProgress("%d requests, %d answered", requests, answered)
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}

// waitUntil waits until the given time has passed since the load started.
func (r *run) waitUntil(ctx context.Context, after time.Duration) error {
	timer := time.NewTimer(time.Until(r.startedAt.Add(after)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return endedEarlyError(ctx)
	case <-timer.C:
		return nil
	}
}

// endedEarlyError returns an error if ctx is done, which ends the run early, and
// nil otherwise.
func endedEarlyError(ctx context.Context) error {
	return errkind.Wrap(ctx.Err(), errkind.Internal, "run ended early")
}
