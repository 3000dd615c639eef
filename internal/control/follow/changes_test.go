package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// Guards against a member that stays in the view after it was written and deleted
// between two watches.
func TestLastChangeOfAMemberCounts(t *testing.T) {
	member := view.Member{Name: "agent-1"}
	written, deleted := Change{Name: member.Name, Member: &member}, Change{Name: member.Name, Deleted: true}
	for _, c := range []struct {
		name    string
		changes []Change
		present bool
	}{
		{"written and deleted", []Change{written, deleted}, false},
		{"deleted and written", []Change{deleted, written}, true},
		{"written, deleted and written", []Change{written, deleted, written}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			board := view.NewBoard()
			board.Apply(view.Delta{Section: view.MembersSection, To: 1, Full: true})
			f := New(Options{Board: board, Logger: event.Discard()})
			f.applyChanges(view.MembersSection, c.changes, 2)
			_, present := board.View().Members.ByName[member.Name]
			is.Equal(present, c.present)
		})
	}
}

// writeStore is a store whose writes are answered by functions.
type writeStore struct {
	Store
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
func startAnnouncer(t *testing.T, s *writeStore, stored view.Member) *Announcer {
	t.Helper()
	board := view.NewBoard()
	stored.Revision = 5
	board.Apply(view.Delta{Section: view.MembersSection, To: 5, Full: true, Members: []view.Member{stored}})
	a := NewAnnouncer(s, board, event.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return a
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

// Guards against a view that counts as current in the future: this process was suspended
// during the request, so its steady clock shows less time than its peer held the request.
func TestPeerConfirmsNoFutureView(t *testing.T) {
	is := is.New(t)
	board := view.NewBoard()
	f := New(Options{Board: board, Logger: event.Discard()})
	f.confirmFromPeer(time.Now(), ChangesResponse{HeldMS: 700})
	is.True(!board.ConfirmedAt().After(time.Now()))
}
