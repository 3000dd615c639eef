package caller

import "sync"

const (
	// retriesPerRequest limits retries to a share of the requests, so that
	// callers do not multiply the load while backend servers fail.
	retriesPerRequest = 0.1
	// initialRetries allows retries of the first requests of a load.
	initialRetries = 5
	// maxSavedRetries bounds the unused budget, in retries.
	maxSavedRetries = 100
)

// retryBudget is a token bucket that limits retries to a share of the requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: initialRetries} }

// addRequest credits the budget for one request.
func (b *retryBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerRequest, maxSavedRetries)
}

// takeRetry reports whether a retry is allowed, and deducts it from the budget if
// so.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
