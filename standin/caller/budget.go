package caller

import "sync"

const (
	// retryShare keeps a fleet of callers from multiplying the load while
	// backend servers fail.
	retryShare = 0.1
	// startRetries lets the first requests of a load be retried.
	startRetries = 5
	maxRetries   = 100
)

// budget allows retries as a share of requests.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: startRetries} }

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, maxRetries)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
