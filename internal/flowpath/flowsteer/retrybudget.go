package flowsteer

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	// retryShare is the share of the link rate that repeated messages may always use.
	retryShare = 0.05
	// headerLen is the length of a packet without data, which is that of an opening and of
	// the header that a query carries.
	headerLen = 36
	// answerEarning is what each answer adds to the budget, in bytes: a quarter of the size of
	// an opening or a query. While answers are lost, the balancer thus repeats less.
	answerEarning = float64(hop.DatagramOverhead+hop.MaxHeader+headerLen) / 4
)

// retryBudget limits the bytes of the messages that a balancer with a narrow link repeats by
// its timers. Without a limit the repeats saturate the link for as long as the answers that
// would end them are lost. It is a token bucket that holds what it earns in a second from the
// link rate.
type retryBudget struct {
	perSecond  float64 // bytes earned from the link rate, 0 if there is no limit
	left       float64
	refilledAt time.Time // zero before the first use: the bucket is full then
}

func newRetryBudget(o Options) retryBudget {
	if !o.narrow() {
		return retryBudget{}
	}
	return retryBudget{perSecond: retryShare * o.LinkRate, left: retryShare * o.LinkRate}
}

// setLinkRate replaces the rate of the link. What is left stays, up to the new maximum.
func (b *retryBudget) setLinkRate(o Options) {
	b.perSecond = newRetryBudget(o).perSecond
	b.left = min(b.left, b.perSecond)
}

// refill adds what was earned since the last call.
func (b *retryBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.add(max(now.Sub(b.refilledAt).Seconds(), 0) * b.perSecond)
	}
	b.refilledAt = now
}

// earnAnswer adds what an answer of an agent earns.
func (b *retryBudget) earnAnswer() { b.add(answerEarning) }

func (b *retryBudget) add(earned float64) { b.left = min(b.left+earned, b.perSecond) }

// spend reports whether the budget covers a number of bytes, and subtracts them if it does.
func (b *retryBudget) spend(now time.Time, size int) bool {
	if b.perSecond == 0 {
		return true
	}
	b.refill(now)
	if b.left < float64(size) {
		return false
	}
	b.left -= float64(size)
	return true
}
