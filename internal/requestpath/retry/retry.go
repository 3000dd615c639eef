// Package retry owns the retry budget, which keeps attempts at most 10% above
// requests. It is pure; a Budget is not safe for concurrent use.
package retry

// Tokens are counted in tenths, so that the budget is exact: each request
// earns one tenth of a retry.
const (
	earned = 1
	cost   = 10
	// maxTokens bounds a burst of retries after a quiet time to 10.
	maxTokens = 10 * cost
)

// Budget counts requests and the retries they allow. The zero value allows no
// retry before ten requests were seen.
type Budget struct {
	tokens int
}

// Request records a first attempt.
func (b *Budget) Request() {
	b.tokens = min(b.tokens+earned, maxTokens)
}

// Retry asks for one more attempt and reports whether the budget allows it.
func (b *Budget) Retry() bool {
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}
