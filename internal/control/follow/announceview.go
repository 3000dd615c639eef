package follow

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// needsWrite reports whether the store may differ from the desired state and it is
// known whether it holds the member.
func (a *Announcer) needsWrite() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hasDesired {
		return false
	}
	members := a.board.View().Members
	a.observeView(members, a.desired.Name)
	m, ok := members.InStore(a.desired.Name)
	stays := m.Revision == a.knownRevision && m.Revision != a.unansweredCall
	if !a.synced && ok && stays && !a.withdrawn && announcesSame(m, a.desired) {
		a.markSynced()
	}
	return (!a.synced || a.lacksStoredMS()) && (a.knownRevision > 0 || members.Revision > 0)
}

// lacksStoredMS reports whether the object is to be written once more, so that it tells a
// later process of an agent that it isn't new. The caller holds the lock.
func (a *Announcer) lacksStoredMS() bool {
	return a.desired.Role == view.AgentRole && a.stored && !a.storedSince.IsZero() && !a.storedAt.isKnown()
}

// observeView takes over newer revisions of the member from the members of the view,
// and notices that a member in the store was removed. The caller holds the lock.
func (a *Announcer) observeView(members view.Members, name string) {
	if era := members.Revision.Era(); era > a.era {
		// The store was restored from a copy. It may lack the last write, also an acknowledged
		// one, or have the member again that was removed.
		a.era, a.synced = era, false
	}
	m, ok := members.InStore(name)
	switch {
	case ok && m.Revision > a.removedRevision:
		if m.Revision > a.knownRevision {
			a.knownRevision, a.storedAt = m.Revision, stamp{m.StoredMS, m.StoredBootMS}
			a.synced = false
		}
		if !a.created.isKnown() {
			a.created = stamp{m.CreatedMS, m.CreatedBootMS}
		}
		a.noteStored()
	case a.synced && !a.withdrawn && members.Revision >= a.knownRevision:
		// A write of an earlier process, or of another writer, has removed it.
		a.noteRemoved(a.knownRevision)
		a.synced = false
	}
}

// noteRemoved records that the store no longer holds the member at the given
// revision. The caller holds the lock.
func (a *Announcer) noteRemoved(revision view.Revision) {
	a.lostByRestore = a.stored && !a.withdrawn && revision > 0 && revision.Era() < a.era
	a.removedRevision = max(a.removedRevision, revision)
	if a.knownRevision <= revision {
		a.knownRevision = 0
		if !a.isRecentRestoreLoss() {
			a.created, a.storedAt = stamp{}, stamp{}
		}
	}
	if !a.isRecentRestoreLoss() {
		a.noteMaybeNew()
	}
}

// isRecentRestoreLoss reports whether the store lacks the member only because it was restored
// from a copy, so recently that no balancer relies on its members as complete. Writing the member
// again then doesn't make it count as new. The caller holds the lock.
func (a *Announcer) isRecentRestoreLoss() bool {
	return a.lostByRestore && time.Since(a.board.EraNotBefore()) <= maxRestoreLossAge
}

// announcesSame reports whether a and b differ at most in what the announcer or the
// store sets.
func announcesSame(a, b view.Member) bool {
	a.Revision, b.Revision = 0, 0
	a.CreatedMS, b.CreatedMS = 0, 0
	a.StoredMS, b.StoredMS = 0, 0
	a.CreatedBootMS, b.CreatedBootMS = 0, 0
	a.StoredBootMS, b.StoredBootMS = 0, 0
	a.Era, b.Era = 0, 0
	a.EraSeenMS, b.EraSeenMS = 0, 0
	return a == b
}

// markSynced closes the waiters' channels: the store holds the desired state. The
// caller holds the lock.
func (a *Announcer) markSynced() {
	a.synced = true
	for _, done := range a.waiters {
		close(done)
	}
	a.waiters = nil
}
