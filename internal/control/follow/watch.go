package follow

import (
	"context"
	"errors"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/panics"
	"github.com/knapweedpier/knapweedpier/internal/base/suspension"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

const (
	// watchTimeout is how long the store holds a watch without changes, after the section
	// was known to be current. It is part of the age of the view at all processes, and
	// bounds how long it goes unnoticed that the store no longer serves a watch.
	watchTimeout = 1200 * time.Millisecond
	// followerWatchTimeout replaces it for the configuration and the evacuations at a process
	// that nobody follows: no other view's age depends on its watches.
	followerWatchTimeout = 2300 * time.Millisecond
	// watchPause is the pause between a watch that returned changes and the next
	// watch, so that changes in quick succession cost one call.
	watchPause = 300 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause after a failed call of the
	// store. It doubles with each failure.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxFollowerRetryDelay replaces maxRetryDelay for a process that others don't poll
	// first: those that they do poll notice sooner that the store is back.
	maxFollowerRetryDelay = 2 * time.Second
)

// followStore keeps one section current from the store while no peer does.
func (f *Follower) followStore(ctx context.Context, s view.Section) {
	changed, cancel := f.followsPeer.Subscribe()
	defer cancel()
	var cursor view.Revision
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if !f.needsStore(ctx, changed) {
			// Changes from peers make the cursor out of date.
			cursor = 0
			continue
		}
		if f.isStoreUncertain() && s != view.MembersSection {
			// Until the store is known to serve this process, there are only calls for the
			// members.
			delay.Sleep(ctx, minRetryDelay)
			continue
		}
		if cursor == 0 {
			cursor = f.opts.Board.View().Revision(s)
		}
		next, err := f.readSection(ctx, s, cursor)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			delay.Sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, f.maxRetryDelay())
			continue
		}
		cursor, retryDelay = next, minRetryDelay
	}
}

// maxRetryDelay returns the longest pause after a failed call of the store. A process that
// has no complete view needs the store itself.
func (f *Follower) maxRetryDelay() time.Duration {
	if v := f.opts.Board.View(); v.Complete() && !f.isPolledFirst(v) {
		return maxFollowerRetryDelay
	}
	return maxRetryDelay
}

// isFollowedByNobody reports whether this process isn't announced yet, or is polled only if
// those ranked before it fail.
func (f *Follower) isFollowedByNobody() bool {
	v := f.opts.Board.View()
	_, announced := v.Members.ByName[f.opts.Name]
	return !f.isPolledFirst(v) || !announced && !f.isSeed()
}

// readSection lists or watches a section, lists it if the store no longer has the history
// from the cursor on, and returns the next cursor. A panic counts as a failed call: the
// view changes as a whole or not at all.
func (f *Follower) readSection(ctx context.Context, s view.Section, cursor view.Revision) (next view.Revision, err error) {
	f.pendingCalls.Add(1)
	defer f.pendingCalls.Add(-1)
	_, err = panics.Handle(f.opts.Logger, func() (err error) {
		next, err = f.listOrWatch(ctx, s, cursor)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !errors.Is(err, ErrNotSent) {
			f.recordStoreResult(err)
		}
		if errkind.Is(err, errkind.HistoryGone) {
			next, err = f.listSection(ctx, s)
			f.recordStoreResult(err)
		}
		return err
	})
	return next, err
}

// listOrWatch lists a section without a cursor, and watches it from the cursor
// otherwise. It returns the next cursor.
func (f *Follower) listOrWatch(ctx context.Context, s view.Section, cursor view.Revision) (view.Revision, error) {
	if cursor == 0 {
		return f.listSection(ctx, s)
	}
	wait := f.watchWait(s)
	requested := suspension.Now()
	changes, revision, err := f.opts.Store.Watch(ctx, s, cursor, wait)
	if err != nil {
		return cursor, err
	}
	requestedAt := requested.Time()
	if len(changes) == 0 {
		f.opts.Board.ConfirmInEra(s, revision.Era(), unchangedUntil(requestedAt, time.Now(), wait))
		return revision, nil
	}
	f.applyChanges(s, changes, revision)
	// The response may have been on its way for long, so that later changes are
	// possible from the request on.
	f.opts.Board.ConfirmInEra(s, revision.Era(), requestedAt)
	delay.Sleep(ctx, watchPause)
	return revision, nil
}

// unchangedUntil returns the time up to which a watch without changes confirms the
// view: the store sends its response no sooner than after the wait.
func unchangedUntil(requestedAt, receivedAt time.Time, wait time.Duration) time.Time {
	if until := requestedAt.Add(wait); !until.After(receivedAt) {
		return until
	}
	return requestedAt
}

// isStoreUncertain reports whether the last call of the store failed, or none has ended since
// the process followed a peer.
func (f *Follower) isStoreUncertain() bool { return f.storeLost.Load() || f.storeUntried.Load() }

// watchWait returns how long the store may hold a watch of a section: for less time, the
// older the section is. Until it is known to serve this process, it is to respond at once.
func (f *Follower) watchWait(s view.Section) time.Duration {
	if f.isStoreUncertain() {
		return 0
	}
	timeout := watchTimeout
	if s != view.MembersSection && f.isFollowedByNobody() {
		timeout = followerWatchTimeout
	}
	age := time.Since(f.opts.Board.SectionConfirmedAt(s))
	return max(0, timeout-age).Truncate(time.Millisecond) // the unit of the store
}

// listSection replaces a section by its listing and returns the cursor from which
// to watch it. Its errors have the kinds of Store; NotFound also means that no
// configuration has been written yet. A configuration of an earlier era stays in force.
func (f *Follower) listSection(ctx context.Context, s view.Section) (view.Revision, error) {
	requested := suspension.Now()
	changes, revision, err := f.opts.Store.List(ctx, s)
	if err != nil {
		return 0, err
	}
	d := view.Delta{Section: s, To: revision, Full: true}
	f.addChanges(&d, view.View{}, changes)
	known := f.opts.Board.View().Revision(s)
	if s == view.ConfigurationSection && d.Configuration == nil && (known == 0 || known.Era() >= revision.Era()) {
		return 0, errkind.New(errkind.NotFound, "no configuration in the store")
	}
	f.applyDelta(d)
	f.opts.Board.ConfirmInEra(s, revision.Era(), requested.Time())
	return revision, nil
}
