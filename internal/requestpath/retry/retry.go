// Package retry implements a retry budget, which limits retries to 10% of the
// requests. It does no I/O and reads no clock. A Budget is not safe for
// concurrent use.
package retry

// Each request adds a tenth of a retry to the budget. The unit is a tenth, so
// that integer arithmetic is exact.
const (
	tokensPerRequest = 1
	tokensPerRetry   = 10
	// maxTokens limits a burst of retries after a period without retries to 10.
	maxTokens = 10 * tokensPerRetry
)

// Budget counts requests and the retries they allow. The zero value allows no
// retry before ten requests have been recorded.
type Budget struct {
	tokens int
}

// RecordRequest adds the tokens of a request, when its first attempt is made.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+tokensPerRequest, maxTokens)
}

// TryRetry takes the tokens for one retry and reports whether there were enough.
func (b *Budget) TryRetry() bool {
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}
