package agent

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// flow is what is counted of one flow.
type flow struct {
	active atomic.Int64 // requests in progress
	broken atomic.Int64 // the first error kind that broke the flow
}

// fail notes that the flow is broken; the first kind stays.
func (f *flow) fail(kind errkind.Kind) { f.broken.CompareAndSwap(0, int64(kind)) }

// end returns why the flow counts as broken, or 0. A caller that falls silent
// with a request in progress counts, because the agent cannot tell a caller
// that died from a path that lost track of the flow.
func (f *flow) end(cause error) errkind.Kind {
	var reset *quic.StatelessResetError
	var transport *quic.TransportError
	var idle *quic.IdleTimeoutError
	switch {
	case f.active.Load() == 0:
	case errors.As(cause, &idle):
		f.fail(errkind.DeadlineUnknown)
	case errors.As(cause, &reset), errors.As(cause, &transport):
		f.fail(errkind.BackendLost)
	}
	return errkind.Kind(f.broken.Load())
}

type flowKey struct{}

// withFlow makes the flow known to its requests.
func (f *flowServer) withFlow(ctx context.Context, conn *quic.Conn) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return context.WithValue(ctx, flowKey{}, f.flows[conn])
}

// flowOf returns the flow of a request, or nil.
func flowOf(ctx context.Context) *flow {
	own, _ := ctx.Value(flowKey{}).(*flow)
	return own
}

// feedBroken notes a feed that was cut, which breaks its flow.
func feedBroken(ctx context.Context, kind errkind.Kind) {
	if own := flowOf(ctx); own != nil {
		own.fail(kind)
	}
}

// counted counts the requests in progress of each flow.
func counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if own := flowOf(r.Context()); own != nil {
			own.active.Add(1)
			defer own.active.Add(-1)
		}
		next.ServeHTTP(w, r)
	})
}
