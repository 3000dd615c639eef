package distribution

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/clockoffset"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/isolation"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
)

// Times of the health controller.
const (
	healthInterval = 100 * time.Millisecond
	tableInterval  = 250 * time.Millisecond // each time, all records are looked at
	slowInterval   = time.Second
	reachableFor   = 8 * time.Second       // freshness ages by up to 1 s at each of up to 6 hops
	offsetGrain    = 50 * time.Millisecond // smaller changes of the offset are not announced
)

// keepHealth applies the passing of time: suspicion, isolation, clock offset
// and the platform's reachability.
func (n *Node) keepHealth(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	var slow, table time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := n.now()
		n.checkIsolation(now)
		if now.Sub(table) >= tableInterval {
			table = now
			n.tick(now)
		}
		if now.Sub(slow) >= slowInterval {
			slow = now
			n.checkClock(now)
			n.checkReachable(now)
			n.updateGauges()
			n.tidy(now)
			n.relay.Prune()
		}
	}
}

// tidy forgets what is kept for each address, counts failure domains, and
// publishes members again while any is suspected, since own evidence changes what is believed of it.
func (n *Node) tidy(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.failed, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= avoidFailed })
	if len(n.cursors) > maxCursors {
		clear(n.cursors) // costs a full state for each partner
	}
	if !n.Board.Isolation.Get().Isolated { // while isolated, silence must not shrink what a majority is
		n.countDomains(now)
	}
	if n.table.AnySuspect() {
		n.publish()
	}
}

func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.table.Tick(now) {
		n.recordsChanged()
	}
	n.flushLoad(now)
}

func (n *Node) checkIsolation(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.Board.Isolation.Get()
	status := n.tracker.Status(now)
	if status == old {
		return
	}
	n.Board.Isolation.Set(status)
	if status.Isolated != old.Isolated {
		n.reportIsolation(status, old, now)
	}
}

func (n *Node) countDomains(now time.Time) {
	self, view := n.table.Self(), n.Board.View.Get()
	domains := slices.DeleteFunc(n.table.Domains(self.Region), func(d string) bool {
		_, out := view.DomainOut(d)
		return out
	})
	// Before any contact, others may exist that are not known yet.
	contacted := !n.answered.IsZero() || !n.fresh.IsZero()
	n.tracker.SetDomains(domains, contacted && n.table.Others(self.Domain) == 0, now)
}

func (n *Node) reportIsolation(status, old isolation.Status, now time.Time) {
	if status.Isolated {
		n.log.Emit(event.Isolated, event.Fields{"since": status.Since})
		return
	}
	n.log.Emit(event.IsolationOver, event.Fields{"lasted": now.Sub(old.Since).String()})
}

func (n *Node) checkClock(now time.Time) {
	n.mu.Lock()
	offset := n.clocks.Offset(now)
	n.mu.Unlock()
	if (offset - n.Board.ClockOffset.Get()).Abs() < offsetGrain {
		return
	}
	n.Board.ClockOffset.Set(offset)
	n.SetSelf(func(r *membership.Record) { r.ClockOffset = offset })
	if clockoffset.Off(offset) {
		n.log.Emit(event.ClockOff, event.Fields{"offset": offset.String()})
	}
}

func (n *Node) checkReachable(now time.Time) {
	n.mu.Lock()
	reachable := !n.fresh.IsZero() && now.Sub(n.fresh) < reachableFor
	n.mu.Unlock()
	if n.Board.PlatformReachable.Update(func(old bool) (bool, bool) { return reachable, reachable != old }) {
		n.Board.PlatformSince.Set(now)
	}
}
