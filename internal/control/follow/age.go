package follow

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// maxViewAge is the age up to which a process relies on its peers to keep its view current.
// It leaves time for a call of the store before a change must be in force everywhere, 3 s
// after it was stored. Without faults a view stays younger: at most watchTimeout and
// watchPause at the process that watches the store, and pollTimeout more at each process
// between.
const maxViewAge = 2500 * time.Millisecond

// needsStore reports whether the process is to call the store: because it follows no peer,
// or because its view is older than maxViewAge. The latter doesn't depend on any response
// of a peer, and thus bounds the age of the view of each process that the store serves.
// Before it returns false, needsStore waits up to idlePollInterval, or for a notification of
// followsPeer.
func (f *Follower) needsStore(ctx context.Context, changed <-chan struct{}) bool {
	if !f.followsPeer.Get() {
		return true
	}
	age := f.viewAge()
	if age >= maxViewAge {
		if f.setFollowsPeer(false) {
			f.opts.Logger.Emit(event.ViewOutdated, event.Fields{"age_ms": age.Milliseconds(), "source": f.opts.Board.Source()})
		}
		return true
	}
	timer := time.NewTimer(min(maxViewAge-age, idlePollInterval))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// setFollowsPeer records whether a peer keeps the view current, and notifies the loops that
// otherwise call the store. It reports whether that changed.
func (f *Follower) setFollowsPeer(follows bool) bool {
	return f.followsPeer.Update(func(old bool) (bool, bool) {
		if old && !follows && f.pendingCalls.Load() == 0 {
			f.storeUntried.Store(true)
		}
		return follows, follows != old
	})
}

// viewAge returns the age of the oldest section that was ever known to be current, and
// maxViewAge if none was.
func (f *Follower) viewAge() time.Duration {
	age, known := time.Duration(0), false
	for _, s := range view.Sections() {
		if at := f.opts.Board.SectionConfirmedAt(s); !at.IsZero() {
			age, known = max(age, time.Since(at)), true
		}
	}
	if !known {
		return maxViewAge
	}
	return age
}
