package follow

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// checkInterval is how often the announcement is compared with the view. A
// write whose answer was lost may take effect late.
const checkInterval = 2 * time.Second

// Announcer keeps this process's member in the store as it is set. Each write
// is conditional, so that one that takes effect late changes nothing.
type Announcer struct {
	// Created is called, if set before the first announcement, when the store
	// has taken a member that it didn't hold before.
	Created func(at time.Time)

	store  Store
	board  *view.Board
	logger *event.Logger
	wake   chan struct{}

	mu      sync.Mutex
	wanted  view.Member
	gone    bool // the member is to be removed
	set     bool
	stored  bool // the store holds what is wanted
	known   view.Revision
	waiters []chan struct{}
}

// NewAnnouncer returns an announcer that announces nothing yet.
func NewAnnouncer(store Store, board *view.Board, logger *event.Logger) *Announcer {
	return &Announcer{store: store, board: board, logger: logger, wake: make(chan struct{}, 1)}
}

// Set announces m. The returned channel is closed when the store holds it or
// something set later.
func (a *Announcer) Set(m view.Member) <-chan struct{} {
	m.Revision = 0
	return a.want(m, false)
}

// Withdraw removes the member of a name, whichever process announced it. The
// returned channel is closed when the store holds it no more.
func (a *Announcer) Withdraw(name string) <-chan struct{} {
	return a.want(view.Member{Name: name}, true)
}

func (a *Announcer) want(m view.Member, gone bool) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	done := make(chan struct{})
	if a.set && a.stored && a.wanted == m && a.gone == gone {
		close(done)
		return done
	}
	a.wanted, a.gone, a.set, a.stored = m, gone, true, false
	a.waiters = append(a.waiters, done)
	select {
	case a.wake <- struct{}{}:
	default: // a wake-up is pending
	}
	return done
}

// Run writes until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	retry := minRetry
	for ctx.Err() == nil {
		if !a.due() {
			select {
			case <-a.wake:
			case <-time.After(checkInterval):
			case <-ctx.Done():
			}
			continue
		}
		if err := a.write(ctx); err != nil {
			if ctx.Err() == nil {
				a.logger.Failure(event.AnnouncementFailed, err, nil)
			}
			delay.Sleep(ctx, retry)
			retry = min(2*retry, maxRetry)
			continue
		}
		retry = minRetry
	}
}

// due reports whether the store may hold something else than what is wanted.
func (a *Announcer) due() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.set {
		return false
	}
	m, ok := a.board.View().Members.ByName[a.wanted.Name]
	if ok && m.Revision > a.known {
		a.known = m.Revision
		a.stored = false
	}
	if !a.stored && ok && m.Revision == a.known && !a.gone && sameMember(m, a.wanted) {
		a.finish()
	}
	return !a.stored
}

func sameMember(a, b view.Member) bool {
	a.Revision, b.Revision = 0, 0
	return a == b
}

// finish tells the waiters that the store holds what is wanted.
func (a *Announcer) finish() {
	a.stored = true
	for _, done := range a.waiters {
		close(done)
	}
	a.waiters = nil
}

// write brings the store to what is wanted.
func (a *Announcer) write(ctx context.Context) error {
	a.mu.Lock()
	m, gone := a.wanted, a.gone
	m.Revision = a.known
	a.mu.Unlock()
	revision, err := m.Revision, error(nil)
	if !gone {
		revision, err = a.store.WriteMember(ctx, m)
	} else if m.Revision > 0 {
		err = a.store.DeleteMember(ctx, m.Name, m.Revision)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if errkind.Is(err, errkind.VersionConflict) && revision > 0 {
		a.known = revision
		return nil
	}
	if errkind.Is(err, errkind.NotFound) {
		a.known = 0
		return nil
	}
	if err != nil {
		return err
	}
	if !gone && m.Revision == 0 && a.Created != nil {
		a.Created(time.Now())
	}
	a.known = max(a.known, revision)
	if gone == a.gone && (gone || sameMember(m, a.wanted)) {
		a.finish()
		a.logger.Emit(event.Announced, event.Fields{"member": m.Name, "state": m.State, "gone": gone, "revision": revision})
	}
	return nil
}
