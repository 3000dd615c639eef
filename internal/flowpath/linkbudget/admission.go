package linkbudget

import (
	"math"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

const (
	// maxFlows is the maximum number of tracked flows. Others are admitted and count as
	// background.
	maxFlows = 16384
	// maxRoutes is the maximum number of routes whose work is measured. Flows of others are
	// admitted and count as background.
	maxRoutes = 4096
	// trackTime is the age up to which a flow counts as work. An older one counts as
	// background.
	trackTime = 5 * time.Second
	// idleTime is the time without a packet after which a flow has no outstanding work. Callers
	// keep flows open between requests. When such flows were counted, openings were rejected at
	// 70% of the link. It is longer than the delay of a first retransmission, 200 ms.
	idleTime = 250 * time.Millisecond
	// refreshInterval is the maximum age of the means and sums on which decisions rest.
	refreshInterval = 20 * time.Millisecond
	// rateHalfLife makes the background rate an average over about a second.
	rateHalfLife = 500 * time.Millisecond
	// minSpareShare is the minimum share of the link that counts as free for new flows.
	minSpareShare = 0.1
	// refusalTime is how long copies of a refused opening are dropped. Its caller gives up
	// sooner.
	refusalTime = 1500 * time.Millisecond
	// maxRefused is the maximum number of refused openings that are remembered. Others are
	// admitted: the reset of a refused flow means that it was not opened, which is only true if
	// no copy of its opening reaches an agent.
	maxRefused = 16384
)

// MaxTickGap is the time between two ticks of a balancer beyond which it has stalled, so that
// datagrams may have lain unread. A usage cap of the processor stalls it for up to a tenth of a
// second.
const MaxTickGap = 100 * time.Millisecond

// trackedFlow is a flow that was opened through this balancer.
type trackedFlow struct {
	key      flow.Key
	route    *routeWork
	openedAt time.Time
	lastAt   time.Time // of the last packet
	bytes    float64   // sent by the caller, without openings and retransmissions
	endSeq   uint32    // sequence number after the last data, valid if hasData
	hasData  bool
	// outstanding is the number of bytes that the flow is still expected to send.
	outstanding float64
}

// isActive reports whether more is to be expected of the flow.
func (f *trackedFlow) isActive(now time.Time) bool { return now.Sub(f.lastAt) < idleTime }

// AdmitOpening decides whether the first opening (age 0) of a flow is admitted, and tracks the
// flow if it is. It must be called before the opening is sent to an agent. If the opening is
// refused, the balancer must reset the flow in place of sending it.
func (b *Budget) AdmitOpening(now time.Time, key flow.Key, route view.Route) (admitted bool, reason Reason) {
	if !b.Enabled() {
		return true, 0
	}
	if _, ok := b.flows[key]; ok {
		return true, 0 // a duplicate of an opening that was admitted
	}
	if now.Sub(b.refreshedAt) >= refreshInterval {
		b.refresh(now)
	}
	r := b.routes[route.Address]
	if r == nil {
		if len(b.routes) >= maxRoutes {
			return true, 0
		}
		r = newRouteWork(now)
		b.routes[route.Address] = r
	}
	r.priority = route.Priority
	r.openings.add(now, workHalfLife, 1)
	if reason, refused := b.refusalReason(now, r, route); refused {
		b.refused[key] = now
		b.counts.Refused[reason]++
		return false, reason
	}
	delete(b.refused, key)
	if len(b.flows) < maxFlows {
		f := &trackedFlow{key: key, route: r, openedAt: now, lastAt: now}
		b.flows[key] = b.order.PushBack(f)
		r.tracked++
		b.setOutstanding(f, r.mean)
	}
	return true, 0
}

// refusalReason returns whether a new flow is refused, and why. While no heavy flow has
// outstanding work, a heavy one is admitted, so that none is locked out however much work it
// has.
func (b *Budget) refusalReason(now time.Time, r *routeWork, route view.Route) (reason Reason, refused bool) {
	if r.mean == 0 || b.outstanding <= 0 || b.hasStalled(now) || b.isRateDoubtful(now) || len(b.refused) >= maxRefused {
		return 0, false
	}
	objective, timeout := route.Limits()
	outstanding, higherOutstanding := b.outstandingHeavy(r.priority)
	if !r.heavy {
		// Heavy flows are rejected and shed first, so that others don't wait for them.
		delay := b.expectedDelay(now, b.outstanding-outstanding+r.mean)
		return TimeoutUnreachable, delay > timeout
	}
	if outstanding == 0 {
		return 0, false
	}
	delay := b.expectedDelay(now, b.outstanding+r.mean)
	if delay > timeout {
		return TimeoutUnreachable, true
	}
	return WorkExceedsAllowance, objective > 0 && delay > allowance(objective, higherOutstanding)
}

// outstandingHeavy returns the outstanding work of the heavy routes, and whether one of them
// has a higher priority (a smaller number) than the given.
func (b *Budget) outstandingHeavy(priority int) (outstanding float64, higher bool) {
	for _, r := range b.routes {
		if r.heavy && r.outstanding > 0 {
			outstanding += r.outstanding
			higher = higher || r.priority < priority
		}
	}
	return outstanding, higher
}

// expectedDelay returns how long the link needs for some work beside the background.
func (b *Budget) expectedDelay(now time.Time, work float64) time.Duration {
	used := b.background.at(now, rateHalfLife) * math.Ln2 / rateHalfLife.Seconds()
	spare := max(b.rate-used, b.rate*minSpareShare)
	return time.Duration(min(work/spare, math.MaxInt32) * float64(time.Second))
}

// WasRefused reports whether an opening of a flow was refused less than refusalTime ago. A
// further one must not be forwarded: it is a copy or a duplicate, or opens another flow from
// the same port.
func (b *Budget) WasRefused(now time.Time, key flow.Key) bool {
	refusedAt, ok := b.refused[key]
	return ok && now.Sub(refusedAt) < refusalTime
}

// setOutstanding sets how many bytes a flow is still expected to send.
func (b *Budget) setOutstanding(f *trackedFlow, bytes float64) {
	b.outstanding += bytes - f.outstanding
	f.route.outstanding += bytes - f.outstanding
	f.outstanding = bytes
}

// advanceFlow records a packet of a flow. Data that the caller has sent before is no progress.
func (b *Budget) advanceFlow(now time.Time, f *trackedFlow, p flow.Packet, bytes float64) {
	f.lastAt = now
	if p.Length > 0 {
		end := p.Seq + uint32(p.Length)
		if f.hasData && int32(end-f.endSeq) <= 0 {
			return
		}
		f.endSeq, f.hasData = end, true
	}
	f.bytes += bytes
	b.setOutstanding(f, max(f.outstanding-bytes, 0))
}

// endFlow removes a flow that is closed or too old, and adds its bytes to the work of its
// route.
func (b *Budget) endFlow(now time.Time, key flow.Key) {
	element := b.flows[key]
	f := element.Value.(*trackedFlow)
	b.setOutstanding(f, 0)
	f.route.finish(now, f.bytes)
	f.route.tracked--
	b.order.Remove(element)
	delete(b.flows, key)
}

// refresh removes old flows and computes the means of the routes, which of them are heavy, and
// the outstanding work.
func (b *Budget) refresh(now time.Time) {
	b.refreshedAt = now
	b.removeExpired(now)
	b.refreshRoutes(now)
	b.outstanding = 0
	for e := b.order.Front(); e != nil; e = e.Next() {
		f := e.Value.(*trackedFlow)
		expected := max(f.route.mean-f.bytes, 0)
		if !f.isActive(now) {
			expected = 0
		}
		f.outstanding = 0 // the sums are computed anew, without rounding errors
		b.setOutstanding(f, expected)
	}
}

// removeExpired removes flows older than trackTime and refusals older than refusalTime.
func (b *Budget) removeExpired(now time.Time) {
	for e := b.order.Front(); e != nil && now.Sub(e.Value.(*trackedFlow).openedAt) >= trackTime; e = b.order.Front() {
		b.endFlow(now, e.Value.(*trackedFlow).key)
	}
	for key, refusedAt := range b.refused {
		if now.Sub(refusedAt) >= refusalTime {
			delete(b.refused, key)
		}
	}
}

// refreshRoutes computes the means of the routes and which of them are heavy, and removes
// unused ones. It sets their outstanding work to 0.
func (b *Budget) refreshRoutes(now time.Time) {
	for address, r := range b.routes {
		r.startRefresh(now)
		if r.tracked == 0 && r.isUnused(now) {
			delete(b.routes, address)
		}
	}
	for e := b.order.Front(); e != nil; e = e.Next() {
		f := e.Value.(*trackedFlow)
		f.route.addOpen(f.bytes)
	}
	var openings, work float64
	for _, r := range b.routes {
		r.endRefresh()
		if r.mean > 0 {
			n := r.openings.at(now, workHalfLife)
			openings, work = openings+n, work+n*r.mean
		}
	}
	for _, r := range b.routes {
		r.heavy, r.outstanding = r.mean*openings > work*heavyMargin, 0
	}
}

// hasStalled reports whether the balancer stalls or has stalled shortly before, so that
// openings may have lain unread.
func (b *Budget) hasStalled(now time.Time) bool {
	return b.isLate(now) || (!b.stallEndedAt.IsZero() && now.Sub(b.stallEndedAt) < flow.OpeningCopyDelay)
}

// isLate reports whether Tick is overdue.
func (b *Budget) isLate(now time.Time) bool {
	return !b.lastTick.IsZero() && now.Sub(b.lastTick) > MaxTickGap
}

// Tick runs the timers. It must be called every 20 ms: openings are admitted after a
// stall. It reports whether the rate of the link was raised since the last call.
func (b *Budget) Tick(now time.Time) (rateRaised bool) {
	if b.isLate(now) {
		b.stallEndedAt = now
		b.window = rateWindow{startedAt: now.Add(rateWindowLength)}
	}
	b.lastTick = now
	if b.Enabled() {
		b.refresh(now)
	}
	rateRaised, b.rateRaised = b.rateRaised, false
	return rateRaised
}
