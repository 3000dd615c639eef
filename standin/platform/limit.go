package platform

import (
	"sync"
	"time"
)

// bucket is a token bucket that holds one second of calls.
type bucket struct {
	mu     sync.Mutex
	rate   float64 // tokens a second, and the most that are held
	tokens float64
	at     time.Time
}

func newBucket(perSecond int, now time.Time) *bucket {
	return &bucket{rate: float64(perSecond), tokens: float64(perSecond), at: now}
}

// take reports whether a call at now is within the rate.
func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
