package agent

import (
	"context"
	"sync"
)

// relayedRequests tracks the requests in progress that peers relayed here, so
// that they can be cancelled: otherwise relayed feeds would go on in a failure
// domain that is out. The zero value is ready to use.
type relayedRequests struct {
	mu      sync.Mutex
	nextID  int
	cancels map[int]context.CancelFunc
}

// add registers a relayed request and returns its context. done must be called
// when the request has been answered.
func (r *relayedRequests) add(parent context.Context) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancel(parent)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels == nil {
		r.cancels = map[int]context.CancelFunc{}
	}
	id := r.nextID
	r.nextID++
	r.cancels[id] = cancel
	return ctx, func() {
		cancel()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cancels, id)
	}
}

// cancelAll cancels all relayed requests in progress.
func (r *relayedRequests) cancelAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.cancels {
		cancel()
	}
}
