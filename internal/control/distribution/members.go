package distribution

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
)

// Intervals that grow with the fleet, so that control traffic stays within the
// budget of a process, a few kilobytes a second.
const (
	loadInterval      = 2 * time.Second        // between changes of load alone, at least
	loadPerMember     = 200 * time.Millisecond // for each member: the fleet makes 5 such changes a second
	publishPerMember  = 250 * time.Microsecond // least time between snapshots
	maxNewsDelay      = time.Second
	newsDelayMember   = 250 * time.Microsecond // how long record changes are collected before they are sent
	maxChangesPerPull = 1000
	largeFleet        = 256 // records, above which not every process gets each record from every partner
	maxCursors        = 64  // of former partners
)

// load holds back changes of load alone.
type load struct {
	pending           bool
	inProgress, flows int
	raised            time.Time // when the sequence was last raised
}

// SetSelf changes the own record and raises its sequence, if anything changed.
// Changes of InProgress and Flows alone are held back: they raise the sequence
// at most every 2 s, and less often in a large fleet.
func (n *Node) SetSelf(change func(*membership.Record)) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.table.Self()
	next := old
	if n.load.pending {
		next.InProgress, next.Flows = n.load.inProgress, n.load.flows
	}
	change(&next)
	n.load.pending = false
	if next == old {
		return
	}
	if loadOnly(old, next) && now.Sub(n.load.raised) < n.loadInterval() {
		n.load.pending = true
		n.load.inProgress, n.load.flows = next.InProgress, next.Flows
		return
	}
	n.replaceSelf(next, now)
}

func loadOnly(old, next membership.Record) bool {
	next.InProgress, next.Flows = old.InProgress, old.Flows
	return next == old
}

// loadInterval must be called with n.mu held, as all unexported methods that
// touch the table without taking the lock.
func (n *Node) loadInterval() time.Duration {
	return max(loadInterval, time.Duration(n.table.Len())*loadPerMember)
}

func (n *Node) replaceSelf(next membership.Record, now time.Time) {
	n.load.raised = now
	n.table.SetSelf(func(r *membership.Record) { *r = next }, now)
	n.selfChanged()
}

func (n *Node) selfChanged() {
	n.self.fire()
	n.recordsChanged()
}

func (n *Node) recordsChanged() {
	n.records.fire()
	n.publish()
}

// publish asks for a new value of Board.Members.
func (n *Node) publish() {
	select {
	case n.publication <- struct{}{}:
	default: // one is pending
	}
}

// flushLoad applies a held back change of load when its time has come.
func (n *Node) flushLoad(now time.Time) {
	if !n.load.pending || now.Sub(n.load.raised) < n.loadInterval() {
		return
	}
	next := n.table.Self()
	next.InProgress, next.Flows = n.load.inProgress, n.load.flows
	n.load.pending = false
	n.replaceSelf(next, now)
}

// merge takes changes from elsewhere.
func (n *Node) merge(changes []membership.Change, now time.Time) {
	before := n.table.Self()
	if !n.table.Merge(changes, now) {
		return
	}
	if n.table.Self() != before { // refuted
		n.self.fire()
	}
	n.recordsChanged()
}

// Heard notes own evidence that a process is alive, which overrides the
// suspicion of others for 1 s.
func (n *Node) Heard(id string) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Heard(id, now)
}

// Self returns the own record as it is announced.
func (n *Node) Self() membership.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Self()
}

// LaggingBehind returns the IDs of the members whose record shows a generation
// older than the given one in force.
func (n *Node) LaggingBehind(generation uint64) []string {
	now := n.now()
	n.mu.Lock()
	snapshot := n.table.Snapshot(now)
	n.mu.Unlock()
	var ids []string
	for _, m := range snapshot.Members {
		if m.Generation < generation {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// publishMembers keeps Board.Members up to date.
func (n *Node) publishMembers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.publication:
		}
		now := n.now()
		n.mu.Lock()
		next := n.table.Snapshot(now)
		n.mu.Unlock()
		previous := n.Board.Members.Get()
		n.Board.Members.Set(next)
		n.reportMembers(previous.Members, next.Members)
		if !delay.Sleep(ctx, time.Duration(len(next.Members))*publishPerMember) {
			return
		}
	}
}

// reportMembers logs members that came, went or changed their state.
func (n *Node) reportMembers(old, next []membership.Member) {
	for len(old) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || (len(old) > 0 && old[0].ID < next[0].ID):
			n.reportMember(old[0], "absent")
			old = old[1:]
		case len(old) == 0 || next[0].ID < old[0].ID:
			n.reportMember(next[0], standing(next[0]))
			next = next[1:]
		default:
			if standing(old[0]) != standing(next[0]) {
				n.reportMember(next[0], standing(next[0]))
			}
			old, next = old[1:], next[1:]
		}
	}
}

func standing(m membership.Member) string {
	if m.Suspect() {
		return "suspect"
	}
	return string(m.State)
}

func (n *Node) reportMember(m membership.Member, standing string) {
	n.log.Emit(event.MemberChanged, event.Fields{
		"member": m.ID, "role": string(m.Role), "domain": m.Domain, "standing": standing,
	})
}
