package agent

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// flow holds the counters of one flow.
type flow struct {
	activeRequests atomic.Int64 // requests in progress
	firstError     atomic.Int64 // the first errkind.Kind that broke the flow, 0 for none
}

// markBroken records that the flow is broken. The first kind stays.
func (f *flow) markBroken(kind errkind.Kind) { f.firstError.CompareAndSwap(0, int64(kind)) }

// brokenKind returns why a flow that ended with cause counts as broken, or 0. A
// flow that times out with a request in progress counts, because the agent
// cannot tell whether the caller died or the path lost the flow.
func (f *flow) brokenKind(cause error) errkind.Kind {
	var reset *quic.StatelessResetError
	var transport *quic.TransportError
	var idle *quic.IdleTimeoutError
	switch {
	case f.activeRequests.Load() == 0:
	case errors.As(cause, &idle):
		f.markBroken(errkind.DeadlineUnknown)
	case errors.As(cause, &reset), errors.As(cause, &transport):
		f.markBroken(errkind.BackendLost)
	}
	return errkind.Kind(f.firstError.Load())
}

type flowContextKey struct{}

// connContext adds the flow to the context of its requests.
func (f *flowServer) connContext(ctx context.Context, conn *quic.Conn) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return context.WithValue(ctx, flowContextKey{}, f.flows[conn])
}

// flowFromContext returns the flow of a request, or nil.
func flowFromContext(ctx context.Context) *flow {
	current, _ := ctx.Value(flowContextKey{}).(*flow)
	return current
}

// markFeedBroken marks a flow as broken, since one of its feeds was interrupted.
func markFeedBroken(ctx context.Context, kind errkind.Kind) {
	if current := flowFromContext(ctx); current != nil {
		current.markBroken(kind)
	}
}

// countRequests counts the requests in progress of each flow.
func countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if current := flowFromContext(r.Context()); current != nil {
			current.activeRequests.Add(1)
			defer current.activeRequests.Add(-1)
		}
		next.ServeHTTP(w, r)
	})
}
