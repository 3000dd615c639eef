package distribution

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
)

// Intervals that grow with the fleet, so that the control traffic of a process
// stays within its budget of a few kilobytes a second.
const (
	minLoadInterval          = 2 * time.Second        // least time between two changes of load alone
	loadIntervalPerMember    = 200 * time.Millisecond // for each member, so that the whole fleet makes 5 such changes a second
	publishIntervalPerMember = 250 * time.Microsecond // least time between two snapshots, for each member
	maxBatchDelay            = time.Second
	batchDelayPerMember      = 250 * time.Microsecond // how long record changes are batched before they are sent, for each record
	maxChangesPerPull        = 1000
	largeFleetRecords        = 256 // number of records above which not every process gets each record from every partner
	maxCursors               = 64  // kept for current and former partners
)

// heldBackLoad is a change of load alone that has not been applied yet.
type heldBackLoad struct {
	pending           bool
	inProgress, flows int
	raisedAt          time.Time // when the sequence of this process's record was last raised
}

// SetSelf changes this process's record and raises its sequence, if anything
// changed.
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
	if differsOnlyInLoad(old, next) && now.Sub(n.load.raisedAt) < n.loadInterval() {
		n.load.pending = true
		n.load.inProgress, n.load.flows = next.InProgress, next.Flows
		return
	}
	n.replaceSelf(next, now)
}

func differsOnlyInLoad(old, next membership.Record) bool {
	next.InProgress, next.Flows = old.InProgress, old.Flows
	return next == old
}

// loadInterval returns the least time between two changes of load alone. Like
// all unexported methods that use the table without locking, it must be called
// with n.mu held.
func (n *Node) loadInterval() time.Duration {
	return max(minLoadInterval, time.Duration(n.table.Len())*loadIntervalPerMember)
}

func (n *Node) replaceSelf(next membership.Record, now time.Time) {
	n.load.raisedAt = now
	n.table.SetSelf(func(r *membership.Record) { *r = next }, now)
	n.notifySelfChanged()
}

func (n *Node) notifySelfChanged() {
	n.selfSignal.notifyAll()
	n.notifyRecordsChanged()
}

func (n *Node) notifyRecordsChanged() {
	n.recordsSignal.notifyAll()
	n.requestPublish()
}

// requestPublish asks publishMembers for a new value of Board.Members.
func (n *Node) requestPublish() {
	select {
	case n.publishRequested <- struct{}{}:
	default: // a request is already pending
	}
}

// flushLoad applies a held-back change of load once loadInterval has passed.
func (n *Node) flushLoad(now time.Time) {
	if !n.load.pending || now.Sub(n.load.raisedAt) < n.loadInterval() {
		return
	}
	next := n.table.Self()
	next.InProgress, next.Flows = n.load.inProgress, n.load.flows
	n.load.pending = false
	n.replaceSelf(next, now)
}

// merge applies changes from peers or from announcements to the table.
func (n *Node) merge(changes []membership.Change, now time.Time) {
	before := n.table.Self()
	if !n.table.Merge(changes, now) {
		return
	}
	if n.table.Self() != before { // a suspicion was refuted, or the incarnation raised
		n.selfSignal.notifyAll()
	}
	n.notifyRecordsChanged()
}

// RecordContact notes that this process itself has evidence that another one is
// alive. This overrides a suspicion for 1 s.
func (n *Node) RecordContact(id string) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.RecordContact(id, now)
}

// Self returns this process's record as it is announced.
func (n *Node) Self() membership.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Self()
}

// LaggingMembers returns the IDs of the members whose record shows a generation
// lower than the given one.
func (n *Node) LaggingMembers(generation uint64) []string {
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

// publishMembers updates Board.Members after each request, at a limited rate.
func (n *Node) publishMembers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.publishRequested:
		}
		now := n.now()
		n.mu.Lock()
		next := n.table.Snapshot(now)
		n.mu.Unlock()
		previous := n.Board.Members.Get()
		n.Board.Members.Set(next)
		n.logMemberChanges(previous.Members, next.Members)
		if !delay.Sleep(ctx, time.Duration(len(next.Members))*publishIntervalPerMember) {
			return
		}
	}
}

// logMemberChanges logs members that appeared, disappeared or changed their
// state. Both lists are ordered by ID.
func (n *Node) logMemberChanges(old, next []membership.Member) {
	for len(old) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || (len(old) > 0 && old[0].ID < next[0].ID):
			n.logMemberChange(old[0], "absent")
			old = old[1:]
		case len(old) == 0 || next[0].ID < old[0].ID:
			n.logMemberChange(next[0], standing(next[0]))
			next = next[1:]
		default:
			if standing(old[0]) != standing(next[0]) {
				n.logMemberChange(next[0], standing(next[0]))
			}
			old, next = old[1:], next[1:]
		}
	}
}

// standing returns the standing of m for the log: its announced state, or
// "suspect" if it is suspected.
func standing(m membership.Member) string {
	if m.IsSuspected() {
		return "suspect"
	}
	return string(m.State)
}

func (n *Node) logMemberChange(m membership.Member, standing string) {
	n.log.Emit(event.MemberChanged, event.Fields{
		"member": m.ID, "role": string(m.Role), "domain": m.Domain, "standing": standing,
	})
}
