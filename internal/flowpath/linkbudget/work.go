package linkbudget

import (
	"math"
	"time"
)

const (
	// workHalfLife is the time after which a finished flow counts half in the mean of its
	// route.
	workHalfLife = 10 * time.Second
	// maxWorkWeight is the maximum number of finished flows that the mean of a route rests on,
	// so that the mean of a busy route whose uploads grow follows within some tens of flows.
	maxWorkWeight = 32
	// minWorkWeight is the weight below which a route counts as one without a mean. Its flows may have
	// changed in the two minutes that a decay from maxWorkWeight takes.
	minWorkWeight = 1.0 / 64
	// maxAllowance is the longest delay up to which a heavy flow is admitted. Callers retransmit
	// after 200 ms without an acknowledgement: beyond that, the link fills with copies of packets
	// that are only delayed.
	maxAllowance = 150 * time.Millisecond
	// heavyMargin prevents rounding from making the only route of a balancer heavy.
	heavyMargin = 1.001
)

// decay returns the factor by which a sum decreases in a time.
func decay(d, halfLife time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp2(-float64(d) / float64(halfLife))
}

// decayingSum is a sum whose summands decay exponentially.
type decayingSum struct {
	value     float64
	updatedAt time.Time
}

func (s *decayingSum) add(now time.Time, halfLife time.Duration, value float64) {
	s.value = s.at(now, halfLife) + value
	if now.After(s.updatedAt) {
		s.updatedAt = now
	}
}

func (s *decayingSum) at(now time.Time, halfLife time.Duration) float64 {
	return s.value * decay(now.Sub(s.updatedAt), halfLife)
}

// routeWork is the measured work of the flows of a route.
type routeWork struct {
	priority                   int
	openings                   decayingSum // first openings, admitted or not
	finishedBytes, finishedNum float64     // decaying sums of finished flows
	updatedAt                  time.Time

	// Set by refresh.
	finishedMean       float64
	openBytes, openNum float64 // of open flows that have sent more than finishedMean
	mean               float64 // bytes of a flow, 0 without measured flows
	heavy              bool
	tracked            int     // open flows
	outstanding        float64 // bytes that they are still expected to send
}

func newRouteWork(now time.Time) *routeWork { return &routeWork{updatedAt: now} }

// update applies the decay until now.
func (r *routeWork) update(now time.Time) {
	factor := decay(now.Sub(r.updatedAt), workHalfLife)
	r.finishedBytes, r.finishedNum = r.finishedBytes*factor, r.finishedNum*factor
	if now.After(r.updatedAt) {
		r.updatedAt = now
	}
}

// finish adds what a flow has sent.
func (r *routeWork) finish(now time.Time, bytes float64) {
	r.update(now)
	r.finishedBytes, r.finishedNum = r.finishedBytes+bytes, r.finishedNum+1
	if excess := r.finishedNum / maxWorkWeight; excess > 1 {
		r.finishedBytes, r.finishedNum = r.finishedBytes/excess, r.finishedNum/excess
	}
}

// isUnused reports whether the route has had no flow for so long that it can be removed.
func (r *routeWork) isUnused(now time.Time) bool {
	return r.finishedNum < minWorkWeight && r.openings.at(now, workHalfLife) < minWorkWeight
}

// startRefresh computes the mean of the finished flows.
func (r *routeWork) startRefresh(now time.Time) {
	r.update(now)
	r.finishedMean, r.openBytes, r.openNum = 0, 0, 0
	if r.finishedNum >= minWorkWeight {
		r.finishedMean = r.finishedBytes / r.finishedNum
	}
}

// addOpen adds an open flow to the mean if it has sent more than the finished ones: its
// work is at least that.
func (r *routeWork) addOpen(bytes float64) {
	if bytes > r.finishedMean {
		r.openBytes, r.openNum = r.openBytes+bytes, r.openNum+1
	}
}

// endRefresh computes the mean of all flows.
func (r *routeWork) endRefresh() {
	r.mean = 0
	if r.openNum > 0 || r.finishedMean > 0 {
		r.mean = (r.finishedBytes + r.openBytes) / (r.finishedNum + r.openNum)
	}
}

// allowance returns the delay up to which a heavy flow of a route is admitted: half of the
// objective, so that the rest is left for the backend server and the way back. It is halved
// while a heavy route of a higher priority has outstanding work.
func allowance(objective time.Duration, higherPriorityOutstanding bool) time.Duration {
	limit := min(objective/2, maxAllowance)
	if higherPriorityOutstanding {
		return limit / 2
	}
	return limit
}
