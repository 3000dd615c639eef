package follow_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// writeStore is a store whose writes are answered by functions.
type writeStore struct {
	follow.Store
	write  func(view.Member) (view.Revision, error)
	remove func(known view.Revision) error
}

func (s *writeStore) WriteMember(_ context.Context, m view.Member) (view.Revision, error) {
	return s.write(m)
}

func (s *writeStore) DeleteMember(_ context.Context, _ string, known view.Revision) error {
	return s.remove(known)
}

// startAnnouncer runs an announcer whose view holds agent-1 at revision 5.
func startAnnouncer(t *testing.T, s *writeStore, stored view.Member) *follow.Announcer {
	t.Helper()
	board := view.NewBoard()
	stored.Revision = 5
	board.Apply(view.Delta{Section: view.MembersSection, To: 5, Full: true, Members: []view.Member{stored}})
	return runAnnouncer(t, s, board)
}

// Guards against removals that are sent without pause while the view is older than the
// object's last change.
func TestConflictingRemovalIsNotRepeatedWithoutPause(t *testing.T) {
	var calls atomic.Int64
	s := &writeStore{remove: func(view.Revision) error {
		calls.Add(1)
		time.Sleep(time.Millisecond)
		return errkind.New(errkind.VersionConflict, "another revision")
	}}
	a := startAnnouncer(t, s, view.Member{Name: "agent-1"})
	a.Withdraw("agent-1")
	time.Sleep(300 * time.Millisecond)
	if n := calls.Load(); n > 10 {
		t.Errorf("%d removals within 300 ms", n)
	}
}

// Guards against a member that disappears while its agent has flows: a removal without
// an answer may still take effect, and its condition still holds if the member is not
// written again.
func TestSetInvalidatesUnansweredRemoval(t *testing.T) {
	var removals, writes atomic.Int64
	s := &writeStore{
		remove: func(view.Revision) error {
			removals.Add(1)
			time.Sleep(20 * time.Millisecond)
			return errkind.New(errkind.PlatformDown, "no answer")
		},
		write: func(m view.Member) (view.Revision, error) {
			writes.Add(1)
			return m.Revision + 1, nil
		},
	}
	m := view.Member{Name: "agent-1", State: view.Ready}
	a := startAnnouncer(t, s, m)
	a.Withdraw("agent-1")
	for removals.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	<-a.Set(m)
	if writes.Load() == 0 {
		t.Error("the member counts as announced although a removal at its revision is unanswered")
	}
}

// Guards against an agent that is silent while its member doesn't say that it restarts: the
// write before, which says that it is back, has no answer, the view still holds the member of
// the restart before, which counts as announced again, and the write takes effect later.
func TestSetInvalidatesUnansweredWrite(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var late view.Member
	stored := agentMember
	stored.Restarting, stored.Revision, stored.StoredMS = true, 5, time.Now().Add(-time.Minute).UnixMilli()
	execute := func(m view.Member) (view.Revision, error) {
		if m.Revision != stored.Revision {
			return stored.Revision, errkind.New(errkind.VersionConflict, "another revision")
		}
		if m != stored {
			stored = m
			stored.Revision++
		}
		return stored.Revision, nil
	}
	unanswered := make(chan struct{})
	a := startAnnouncer(t, &writeStore{write: func(m view.Member) (view.Revision, error) {
		mu.Lock()
		defer mu.Unlock()
		if late.Name == "" {
			late = m
			close(unanswered)
			return 0, errkind.New(errkind.PlatformDown, "no answer")
		}
		return execute(m)
	}}, stored)
	a.Set(agentMember) // the first report after the restart
	<-unanswered
	again := agentMember
	again.Restarting = true
	waitSynced(t, a.Set(again))
	mu.Lock()
	defer mu.Unlock()
	_, _ = execute(late)
	is.True(stored.Restarting)
	is.Equal(a.Revision(), stored.Revision)
}

// Guards against an announcer that calls the store without pause, or takes its
// member for stored, while the view still holds the member that was deleted.
func TestDeletedMemberInAnOldView(t *testing.T) {
	changed := agentMember
	changed.Slots = 9
	for name, next := range map[string]view.Member{"same member": agentMember, "changed member": changed} {
		t.Run(name, func(t *testing.T) {
			server := newStore(t)
			a, board := newAnnouncer(t, server)
			waitSynced(t, a.Set(agentMember))
			applyListing(t, server, board)
			waitSynced(t, a.Withdraw("agent-1"))
			before := server.CallCount()
			done := a.Set(next)
			time.Sleep(300 * time.Millisecond)
			if calls := server.CallCount() - before; calls > 3 {
				t.Errorf("%d calls of the store within 300 ms", calls)
			}
			waitSynced(t, done)
			if server.Member("agent-1") == "" {
				t.Error("the store lacks the member that counts as announced")
			}
		})
	}
}

// Guards against a member that is never removed: the process that announced it lost
// power, and the restarted process found no backend server.
func TestSuccessorWithdraws(t *testing.T) {
	is := is.New(t)
	server := newStore(t)
	previous, _ := newAnnouncer(t, server)
	waitSynced(t, previous.Set(agentMember))
	// Its second write, for which the test's view is too old, must not come later.
	eventually(t, "time of storage", func() bool { return storedMember(t, server).StoredMS > 0 })
	a, _ := newAnnouncer(t, server)
	waitSynced(t, a.Withdraw("agent-1"))
	is.Equal(len(server.Members()), 0)
}
