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

// Intervals and thresholds of the health controller.
const (
	healthInterval          = 100 * time.Millisecond
	tableTickInterval       = 250 * time.Millisecond // each tick visits all records
	slowCheckInterval       = time.Second
	platformReachableWindow = 8 * time.Second       // the platform's state ages by up to 1 s at each of up to 6 hops
	minOffsetChange         = 50 * time.Millisecond // smaller changes of the clock offset are not announced
)

// runHealthChecks does the periodic work: suspicion, isolation, clock offset and
// the reachability of the platform.
func (n *Node) runHealthChecks(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	var lastSlow, lastTick time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := n.now()
		n.updateIsolation(now)
		if now.Sub(lastTick) >= tableTickInterval {
			lastTick = now
			n.tickTable(now)
		}
		if now.Sub(lastSlow) >= slowCheckInterval {
			lastSlow = now
			n.updateClockOffset(now)
			n.updatePlatformReachable(now)
			n.updateGauges()
			n.pruneAndRecount(now)
			n.relay.Prune()
		}
	}
}

// pruneAndRecount removes outdated state kept for each address and recounts the
// failure domains. While any member is suspected it also publishes the members
// again, since this process's own evidence that a member is alive overrides a
// suspicion only for a limited time.
func (n *Node) pruneAndRecount(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.failedAt, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= failedPartnerBackoff })
	if len(n.cursors) > maxCursors {
		clear(n.cursors) // each partner then sends its full state once
	}
	if !n.Board.Isolation.Get().Isolated { // while isolated, silence must not shrink the number that makes a majority
		n.updateTrackedDomains(now)
	}
	if n.table.HasSuspects() {
		n.requestPublish()
	}
}

func (n *Node) tickTable(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.table.Tick(now) {
		n.notifyRecordsChanged()
	}
	n.flushLoad(now)
}

func (n *Node) updateIsolation(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.Board.Isolation.Get()
	status := n.tracker.Status(now)
	if status == old {
		return
	}
	n.Board.Isolation.Set(status)
	if status.Isolated != old.Isolated {
		n.logIsolationChange(status, old, now)
	}
}

// updateTrackedDomains passes the failure domains over which a majority is
// counted to the isolation tracker. Domains that are out do not count.
func (n *Node) updateTrackedDomains(now time.Time) {
	self, view := n.table.Self(), n.Board.View.Get()
	domains := slices.DeleteFunc(n.table.Domains(self.Region), func(d string) bool {
		_, out := view.DomainOut(d)
		return out
	})
	// Before any contact, other processes may exist that are not known yet.
	contacted := !n.lastResponse.IsZero() || !n.platformKnownAt.IsZero()
	n.tracker.SetDomains(domains, contacted && n.table.CountOthers(self.Domain) == 0, now)
}

func (n *Node) logIsolationChange(status, old isolation.Status, now time.Time) {
	if status.Isolated {
		n.log.Emit(event.Isolated, event.Fields{"since": status.Since})
		return
	}
	n.log.Emit(event.IsolationOver, event.Fields{"lasted": now.Sub(old.Since).String()})
}

func (n *Node) updateClockOffset(now time.Time) {
	n.mu.Lock()
	offset := n.clocks.Offset(now)
	n.mu.Unlock()
	if (offset - n.Board.ClockOffset.Get()).Abs() < minOffsetChange {
		return
	}
	n.Board.ClockOffset.Set(offset)
	n.SetSelf(func(r *membership.Record) { r.ClockOffset = offset })
	if clockoffset.ExceedsLimit(offset) {
		n.log.Emit(event.ClockOffsetExceeded, event.Fields{"offset": offset.String()})
	}
}

func (n *Node) updatePlatformReachable(now time.Time) {
	n.mu.Lock()
	reachable := !n.platformKnownAt.IsZero() && now.Sub(n.platformKnownAt) < platformReachableWindow
	n.mu.Unlock()
	if n.Board.PlatformReachable.Update(func(old bool) (bool, bool) { return reachable, reachable != old }) {
		n.Board.PlatformReachableSince.Set(now)
	}
}
