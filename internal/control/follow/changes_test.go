package follow

import (
	"context"
	"net/netip"
	"sync"
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

// Guards against a change of the store that is lost, and against routes that stay after
// they were dropped, because other changes are applied at the same time.
func TestConcurrentChangesLeadToSameConfiguration(t *testing.T) {
	board := view.NewBoard()
	const versions, routes = 5000, 20
	// Each version has routes to other addresses than the version before.
	address := func(r view.Revision, i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i), 1}), uint16(r%3+1))
	}
	configuration := func(r view.Revision) *view.Configuration {
		c := &view.Configuration{Revision: r, Routes: map[netip.AddrPort]view.Route{}}
		for i := range routes {
			c.Routes[address(r, i)] = view.Route{Address: address(r, i)}
		}
		return c
	}
	board.Apply(view.Delta{Section: view.ConfigurationSection, To: 1, Full: true, Configuration: configuration(1).DeltaFrom(view.Configuration{})})
	f := New(Options{Board: board, Logger: event.Discard()})
	var wg sync.WaitGroup
	for _, step := range []view.Revision{1, 2, 5} { // each skips other versions
		wg.Go(func() {
			for r := 1 + step; r <= versions; r = board.View().Configuration.Revision + step {
				f.applyChanges(view.ConfigurationSection, []Change{{Name: "main", Configuration: configuration(r)}}, r)
				got := board.View().Configuration
				_, ok := got.Routes[address(got.Revision, 0)]
				if got.Revision < r || len(got.Routes) != routes || !ok {
					t.Errorf("after version %d: version %d with %d routes", r, got.Revision, len(got.Routes))
					return
				}
			}
		})
	}
	wg.Wait()
}

// Guards against a view that a peer confirms although it lacks the peer's changes: they
// were from an older revision than the known one.
func TestPeerConfirmsNoViewWithoutItsChanges(t *testing.T) {
	is := is.New(t)
	board := view.NewBoard()
	for _, s := range view.Sections() {
		board.Apply(view.Delta{Section: s, To: 5, Full: true})
	}
	f := New(Options{Board: board, Logger: event.Discard()})
	change := view.Delta{Section: view.ConfigurationSection, From: 4, To: 6, Configuration: &view.ConfigurationDelta{}}
	f.applyResponse(time.Now(), ChangesResponse{Source: "peer", Deltas: []view.Delta{change}})
	is.True(board.ConfirmedAt().IsZero())
	f.applyResponse(time.Now(), ChangesResponse{Source: "peer"})
	is.True(!board.ConfirmedAt().IsZero())
}

// Guards against processes that know the same configuration by different revisions, so
// that the changes of one can't be applied by another.
func TestConfigurationHasTheRevisionOfItsObject(t *testing.T) {
	is := is.New(t)
	board := view.NewBoard()
	store := &listStore{changes: []Change{{Name: "main", Configuration: &view.Configuration{Revision: 3}}}, revision: 7}
	f := New(Options{Store: store, Board: board, Logger: event.Discard()})
	next, err := f.listSection(context.Background(), view.ConfigurationSection)
	is.NoErr(err)
	is.Equal(next, view.Revision(7))
	is.Equal(board.View().Configuration.Revision, view.Revision(3))
	f.applyChanges(view.ConfigurationSection, []Change{{Name: "main", Configuration: &view.Configuration{Revision: 9}}}, 12)
	is.Equal(board.View().Configuration.Revision, view.Revision(9))
}

// listStore is a store with one listing.
type listStore struct {
	Store
	changes  []Change
	revision view.Revision
}

func (s *listStore) List(context.Context, view.Section) ([]Change, view.Revision, error) {
	return s.changes, s.revision, nil
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
