package follow

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// Guards against a view that counts as current in the future: this process was suspended
// during the request, so its steady clock shows less time than its peer held the request.
func TestPeerConfirmsNoFutureView(t *testing.T) {
	is := is.New(t)
	board := view.NewBoard()
	f := New(Options{Board: board, Logger: event.Discard()})
	f.confirmFromPeer(time.Now(), ChangesResponse{HeldMS: 700})
	is.True(!board.ConfirmedAt().After(time.Now()))
}

// Guards against hundreds of processes that call a store which is down twice a second each,
// and against a failure domain in which none notices soon that it is back.
func TestFewProcessesOfADomainCallALostStoreOften(t *testing.T) {
	is := is.New(t)
	const agents = 3 * followersPerUpstream
	full := view.Delta{Section: view.MembersSection, To: 1, Full: true}
	for i := range agents {
		for _, domain := range []string{"a", "b"} {
			full.Members = append(full.Members, view.Member{Name: fmt.Sprintf("agent-%s-%03d", domain, i), Role: view.AgentRole, Domain: domain})
		}
	}
	often := 0
	for i := range agents {
		board := view.NewBoard()
		f := New(Options{Name: fmt.Sprintf("agent-a-%03d", i), Role: view.AgentRole, Domain: "a", Board: board, Logger: event.Discard()})
		board.Apply(full)
		is.Equal(f.maxRetryDelay(), maxRetryDelay) // the view is incomplete
		board.Apply(view.Delta{Section: view.ConfigurationSection, To: 1, Full: true, Configuration: &view.ConfigurationDelta{Version: 1}})
		board.Apply(view.Delta{Section: view.EvacuationsSection, To: 1, Full: true})
		if f.maxRetryDelay() == maxRetryDelay {
			often++
		}
	}
	is.Equal(often, 1+agents/followersPerUpstream)
}

// Guards against a process that, while the store is down, can't rely on a peer's view of a
// second ago because the peer has lost the store as well.
func TestPeerWithoutASourceConfirmsButIsNotFollowed(t *testing.T) {
	is := is.New(t)
	board := view.NewBoard()
	f := New(Options{Name: "agent-1", Board: board, Logger: event.Discard()})
	now := time.Now()
	age := int64(1000)
	is.True(!f.applyResponse(now, ChangesResponse{
		AgeMS: age, MembersAgeMS: &age, Deltas: []view.Delta{{Section: view.MembersSection, To: 7, Full: true}},
	}))
	is.Equal(board.SectionConfirmedAt(view.MembersSection), now.Add(-time.Second))
	is.Equal(board.View().Members.Revision, view.Revision(7))
	is.Equal(len(board.Path()), 0)
}

// observer is a store that records the eras of which it is told.
type observer struct {
	Store
	highest int64
}

// ObserveEra implements EraObserver.
func (s *observer) ObserveEra(era int64) { s.highest = max(s.highest, era) }

// Guards against a store that isn't told of an era which this process has learned from a peer:
// the announcer would write by revisions of the era before.
func TestStoreObservesTheEraOfPeers(t *testing.T) {
	is := is.New(t)
	s := &observer{}
	f := New(Options{Name: "agent-1", Store: s, Board: view.NewBoard(), Logger: event.Discard()})
	f.applyResponse(time.Now(), ChangesResponse{Deltas: []view.Delta{
		{Section: view.MembersSection, To: view.NewRevision(4, 7), Full: true},
	}})
	is.Equal(s.highest, int64(4))
}

// downStore is a store that is down, of which a later era is known.
type downStore struct{ Store }

// Watch implements Store.
func (downStore) Watch(context.Context, view.Section, view.Revision, time.Duration) ([]Change, view.Revision, error) {
	return nil, 0, errkind.Wrap(ErrNotSent, errkind.HistoryGone, "era 3 is over")
}

// List implements Store.
func (downStore) List(context.Context, view.Section) ([]Change, view.Revision, error) {
	return nil, 0, errkind.New(errkind.PlatformDown, "no response")
}

// Guards against a process that takes a store which is down for one that serves it, and names
// itself as the source of its peers' view, since it sends no watch of an era that is over.
func TestWatchThatWasNotSentShowsNoStore(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, err := event.New(&out, "json")
	is.NoErr(err)
	f := New(Options{Name: "agent-1", Store: downStore{}, Board: view.NewBoard(), Logger: logger})
	for range 3 {
		_, err = f.readSection(t.Context(), view.ConfigurationSection, view.NewRevision(3, 40))
		is.True(errkind.Is(err, errkind.PlatformDown))
	}
	is.Equal(strings.Count(out.String(), "\n"), 1) // the store is lost
}
