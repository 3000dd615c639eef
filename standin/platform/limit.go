package platform

import (
	"sync"
	"time"
)

// tokenBucket is a token bucket with a burst of one second of calls.
type tokenBucket struct {
	mu         sync.Mutex
	rate       float64 // tokens a second, also the capacity
	tokens     float64
	refilledAt time.Time
}

func newTokenBucket(perSecond int, now time.Time) *tokenBucket {
	return &tokenBucket{rate: float64(perSecond), tokens: float64(perSecond), refilledAt: now}
}

// take reports whether a call at now is within the rate.
func (b *tokenBucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
