package agent

import (
	"context"
	"sync"
)

// relays are the requests in progress that peers relayed here. Without an end
// of their own, relayed feeds would go on in a failure domain that is out. The
// zero value is ready.
type relays struct {
	mu      sync.Mutex
	next    int
	cancels map[int]context.CancelFunc
}

// begin returns the context of one relayed request. The caller must call done.
func (r *relays) begin(parent context.Context) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancel(parent)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels == nil {
		r.cancels = map[int]context.CancelFunc{}
	}
	number := r.next
	r.next++
	r.cancels[number] = cancel
	return ctx, func() {
		cancel()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cancels, number)
	}
}

// end cancels all relayed requests in progress.
func (r *relays) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.cancels {
		cancel()
	}
}
