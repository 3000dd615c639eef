package follow

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/panics"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// reconcileInterval is the period at which the announced member is compared
// with the view, because a write whose response was lost may take effect late.
const reconcileInterval = 2 * time.Second

// maxCreationTime is how long after its sending a creation is assumed to take effect at
// the latest. The store may execute a call that it doesn't answer seconds later.
const maxCreationTime = 10 * time.Second

// maxRestoreLossAge is how long after the last confirmation of the members in an era a member that
// the store lost by a restore may be written again without counting as new. Balancers rely on
// their members as complete only 10 s after they have seen the new era, and receive the member
// within 3 s of the write.
const maxRestoreLossAge = 5 * time.Second

// Announcer keeps the member of this process in the store equal to the last one
// passed to Set, or absent after Withdraw. Each write is conditional on the
// object's revision, so a delayed write changes nothing once a later one has
// been applied. It creates the member only when the view is known to lack it. A
// write without an answer may have taken effect or may still do so.
type Announcer struct {
	// OnStored is called after a write, or a view during a write, has changed the
	// result of Stored. It may be nil and must be set before the first call of
	// Set or Stored. It may call all methods.
	OnStored func()
	// OnAnswered is called after the store has answered a write, under the same conditions.
	OnAnswered func()

	store  Store
	board  *view.Board
	logger *event.Logger
	wakeup chan struct{}

	mu            sync.Mutex
	desired       view.Member
	withdrawn     bool // the member must not be in the store
	hasDesired    bool
	synced        bool // the store is known to hold the desired state
	knownRevision view.Revision
	waiters       []chan struct{}
	// removedRevision is the last revision at which the member is known to have
	// been removed. An older view may still contain it.
	removedRevision view.Revision

	stored         bool          // the member is known to be in the store
	storedSince    time.Time     // see Stored
	created        stamp         // Member.CreatedMS and CreatedBootMS of the object
	storedAt       stamp         // Member.StoredMS and StoredBootMS of the object
	unansweredCall view.Revision // a write or removal at this revision may still take effect
	maybeNew       bool          // this process may have created or removed the member
	acknowledged   view.Member   // see Acknowledged
	storedChanged  bool          // OnStored is to be called

	era int64 // the highest era of the store that the view has shown
	// lostByRestore is set while the store lacks the member because it was restored from a copy.
	lostByRestore bool
}

// NewAnnouncer returns an announcer that writes nothing before the first call of
// Set or Withdraw.
func NewAnnouncer(store Store, board *view.Board, logger *event.Logger) *Announcer {
	return &Announcer{store: store, board: board, logger: logger, wakeup: make(chan struct{}, 1)}
}

// Set makes m the desired member. The returned channel is closed when the store
// holds m or a state that a later call desired.
func (a *Announcer) Set(m view.Member) <-chan struct{} {
	m.Revision = 0
	return a.setDesired(m, false)
}

// Withdraw removes the member called name, whichever process announced it. The
// returned channel is closed when the store no longer holds the member or holds
// a state that a later call desired.
func (a *Announcer) Withdraw(name string) <-chan struct{} {
	return a.setDesired(view.Member{Name: name}, true)
}

// Stored reports since when the store is known to hold the member called name. If
// this process may have created it, that is when it learned of it, from an answer
// or from the view. If an earlier process created it, that is when the creation had
// taken effect at the latest, by the member's CreatedMS, but not after this process
// learned of the member; the zero time if CreatedMS is unknown. ok is false while
// nothing is known, and from Withdraw to the next Set.
func (a *Announcer) Stored(name string) (since time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observeView(a.board.View().Members, name)
	return a.storedSince, a.stored
}

// Revision returns the last known revision of the announced member, 0 if the store isn't
// known to hold it.
func (a *Announcer) Revision() view.Revision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.knownRevision
}

// Acknowledged returns the member in the last write whose answer this process got; the zero
// value if there was none.
func (a *Announcer) Acknowledged() view.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acknowledged
}

// noteStored records that the store holds the member. The caller holds the lock.
func (a *Announcer) noteStored() {
	if a.stored || a.withdrawn {
		return
	}
	a.stored, a.storedChanged = true, true
	now := time.Now()
	switch {
	case a.maybeNew:
		a.storedSince = now
	case a.storedAt.isKnown():
		a.storedSince = a.storedAt.resolve(now)
	case a.created.isKnown():
		a.storedSince = a.created.resolve(now).Add(maxCreationTime)
	}
	if a.storedSince.After(now) {
		a.storedSince = now
	}
}

// noteMaybeNew records that the store may lack the member, so that it counts as
// new when it is known to be there. The caller holds the lock.
func (a *Announcer) noteMaybeNew() {
	a.storedChanged = a.storedChanged || a.stored
	a.maybeNew, a.stored, a.storedSince = true, false, time.Time{}
}

// notifyStored calls OnStored if the result of Stored has changed. The caller
// doesn't hold the lock: agents call Set while they hold their own lock, which
// they also need in OnStored.
func (a *Announcer) notifyStored() {
	a.mu.Lock()
	changed := a.storedChanged
	a.storedChanged = false
	a.mu.Unlock()
	if changed && a.OnStored != nil {
		a.OnStored()
	}
}

func (a *Announcer) setDesired(m view.Member, withdrawn bool) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	done := make(chan struct{})
	if withdrawn {
		a.noteMaybeNew()
	}
	if a.hasDesired && a.synced && a.desired == m && a.withdrawn == withdrawn {
		close(done)
		return done
	}
	a.desired, a.withdrawn, a.hasDesired, a.synced = m, withdrawn, true, false
	a.waiters = append(a.waiters, done)
	select {
	case a.wakeup <- struct{}{}:
	default: // a wake-up is pending
	}
	return done
}

// Run writes the desired state to the store until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	changed, cancel := a.board.Subscribe()
	defer cancel()
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		needsWrite := a.needsWrite()
		a.notifyStored()
		if !needsWrite {
			select {
			case <-a.wakeup:
			case <-changed:
			case <-time.After(reconcileInterval):
			case <-ctx.Done():
			}
			continue
		}
		if _, err := panics.Handle(a.logger, func() error { return a.reconcile(ctx) }); err != nil {
			if ctx.Err() == nil {
				a.logger.EmitError(event.AnnouncementFailed, err, nil)
			}
			delay.Sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
		if a.OnAnswered != nil {
			a.OnAnswered()
		}
	}
}

// storeCall is a write or deletion of the member.
type storeCall struct {
	member    view.Member // Revision is the expected one, 0 to create the member
	withdrawn bool        // the member is deleted
	created   bool
}

// reconcile makes one attempt to bring the store to the desired state. After a
// conflict it records the object's revision for the next attempt.
func (a *Announcer) reconcile(ctx context.Context) error {
	c := a.prepareCall()
	revision, err := c.member.Revision, error(nil)
	if !c.withdrawn {
		revision, err = a.store.WriteMember(ctx, c.member)
	} else if revision > 0 {
		err = a.store.DeleteMember(ctx, c.member.Name, revision)
	}
	return a.recordResult(c, revision, err)
}

// prepareCall returns the call that brings the store to the desired state.
func (a *Announcer) prepareCall() storeCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, withdrawn := a.desired, a.withdrawn
	m.Revision = a.knownRevision
	created := !withdrawn && m.Revision == 0
	if created && !a.isRecentRestoreLoss() {
		// Whatever becomes of the call, it may create the member.
		a.noteMaybeNew()
		a.created = stampOf(time.Now())
	}
	if !withdrawn && m.Revision > 0 && m.Revision == a.unansweredCall {
		// A write that changes nothing would leave the revision as it is.
		a.created = stampOf(time.Now())
	}
	m.CreatedMS, m.CreatedBootMS = a.created.wallMS, a.created.bootMS
	if a.stored && !a.storedSince.IsZero() {
		stored := stampOf(a.storedSince)
		m.StoredMS, m.StoredBootMS = stored.wallMS, stored.bootMS
	}
	m.Era, m.EraSeenMS = a.board.EraSeen()
	return storeCall{member: m, withdrawn: withdrawn, created: created}
}

// recordResult records the result of a call: the revision of the member in the store, and the
// error.
func (a *Announcer) recordResult(c storeCall, revision view.Revision, err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, withdrawn := c.member, c.withdrawn
	conflicts := errkind.Is(err, errkind.VersionConflict) && revision > 0 && revision != m.Revision
	if !withdrawn && (err == nil || conflicts) && revision > 0 && revision.Era() < a.board.View().Members.Revision.Era() {
		a.unansweredCall = m.Revision
		return errkind.New(errkind.PlatformDown, "the write was answered in an earlier era of the store")
	}
	if conflicts {
		a.knownRevision = revision
		a.noteStored()
		return nil
	}
	if errkind.Is(err, errkind.NotFound) {
		a.noteRemoved(m.Revision)
		return nil
	}
	if err != nil {
		if !errkind.Is(err, errkind.PlatformLimited) {
			a.unansweredCall = m.Revision
		}
		return err
	}
	if withdrawn {
		a.noteRemoved(m.Revision)
		if a.knownRevision.Era() > m.Revision.Era() {
			return nil // the store has the member again since it was restored from a copy
		}
	} else {
		a.noteStored()
		a.lostByRestore = false
		a.knownRevision, a.storedAt = max(a.knownRevision, revision), stamp{m.StoredMS, m.StoredBootMS}
		a.acknowledged = m
	}
	if withdrawn == a.withdrawn && (withdrawn || announcesSame(m, a.desired)) {
		a.markSynced()
		a.logger.Emit(event.Announced, event.Fields{"member": m.Name, "state": m.State, "gone": withdrawn, "created": c.created, "revision": revision})
	}
	return nil
}
