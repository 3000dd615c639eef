package linkbudget

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	// shedShare is the share of the link that the balancer may use before it sheds load. What
	// callers send through a link of the same rate takes up to 1.03 of it when it is forwarded,
	// with the header of the message. At 0.95, a link saturated by callers alone paused flows for
	// 200 ms each time: a quarter fewer uploads were in time at 10 Mbit/s, two thirds at 50.
	shedShare = 1.05
	// shedBurst is the time that the link may be used beyond that share.
	shedBurst = 50 * time.Millisecond
	// pauseInterval is the time between two changes of the paused flows. Each change scans all
	// flows. With 25 ms, half as many uploads were in time (at a share of 0.95).
	pauseInterval = 2 * time.Millisecond
)

// shedder pauses flows while the balancer sends more than the link carries.
type shedder struct {
	level     float64 // bytes that may be sent now, negative if too much was sent
	updatedAt time.Time
	// pausedFrom is the opening time from which heavy flows are paused, zero if none is.
	pausedFrom time.Time
	adjustedAt time.Time // when adjustPaused was called last
}

// isPaused reports whether a heavy flow is paused.
func (s *shedder) isPaused(f *trackedFlow) bool {
	return !s.pausedFrom.IsZero() && !f.openedAt.Before(s.pausedFrom)
}

// shedCapacity returns the maximum level of the shedder.
func (b *Budget) shedCapacity() float64 { return b.rate * shedShare * shedBurst.Seconds() }

// refillShedder adds what the link has carried since the last call.
func (b *Budget) refillShedder(now time.Time) {
	s := &b.shedder
	if s.updatedAt.IsZero() {
		s.level = b.shedCapacity()
	} else {
		s.level = min(s.level+b.rate*shedShare*max(now.Sub(s.updatedAt), 0).Seconds(), b.shedCapacity())
	}
	s.updatedAt = now
}

// spend counts sent bytes. The debt is bounded: what is beyond is lost on the link.
func (b *Budget) spend(now time.Time, bytes float64) {
	b.refillShedder(now)
	b.shedder.level = max(b.shedder.level-bytes, -b.shedCapacity())
}

// ShedPacket reports whether a caller's packet must be dropped because the balancer sends
// more than the link carries. Its caller retransmits it. It is called before Received, which
// isn't called for a dropped packet. Only data of heavy flows is dropped, and whole flows are
// paused, those that began last first: dropping some packets of all flows would delay all.
func (b *Budget) ShedPacket(now time.Time, p flow.Packet, bytes int) bool {
	if !b.Enabled() || p.Length == 0 || p.Has(flow.Reset) {
		return false
	}
	element, ok := b.flows[p.CallerKey()]
	if !ok {
		return false
	}
	f := element.Value.(*trackedFlow)
	if !f.route.heavy || now.Sub(f.openedAt) >= trackTime {
		return false
	}
	b.refillShedder(now)
	if now.Sub(b.shedder.adjustedAt) >= pauseInterval {
		b.adjustPaused(now)
	}
	if !b.shedder.isPaused(f) || b.isRateDoubtful(now) {
		return false
	}
	f.lastAt = now
	b.counts.Received.add(bytes)
	b.counts.Shed.add(bytes)
	b.measureRate(now, bytes+hop.DatagramOverhead)
	return true
}

// adjustPaused pauses the flow that began last while too much is sent, and resumes the one
// that began first when half of the burst is available again. The oldest flow is never
// paused.
func (b *Budget) adjustPaused(now time.Time) {
	s := &b.shedder
	s.adjustedAt = now
	switch {
	case s.level < 0:
		var newest, next time.Time // of the flows that aren't paused
		for e := b.order.Back(); e != nil && next.IsZero(); e = e.Prev() {
			f := e.Value.(*trackedFlow)
			switch {
			case !f.route.heavy || s.isPaused(f):
			case newest.IsZero():
				newest = f.openedAt
			default:
				next = f.openedAt
			}
		}
		if !next.IsZero() {
			s.pausedFrom = newest
		}
	case !s.pausedFrom.IsZero() && s.level >= b.shedCapacity()/2:
		// The next flow to be paused after the one that is resumed.
		resumed := s.pausedFrom
		s.pausedFrom = time.Time{}
		for e := b.order.Front(); e != nil; e = e.Next() {
			f := e.Value.(*trackedFlow)
			if f.route.heavy && f.openedAt.After(resumed) {
				s.pausedFrom = f.openedAt
				break
			}
		}
	}
}
