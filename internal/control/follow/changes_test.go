package follow

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

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

// Guards against contradictory limits that are replaced without a line in the log or with one
// for each route, and against a configuration that isn't applied as written because of them.
func TestContradictoryLimitsAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, err := event.New(&out, "json")
	is.NoErr(err)
	board := view.NewBoard()
	f := New(Options{Board: board, Logger: logger})
	apply := func(revision view.Revision, faulty int) (lines int) {
		out.Reset()
		c := view.Configuration{Revision: revision, Version: int64(revision), Routes: map[netip.AddrPort]view.Route{}}
		for i := range 12 {
			r := view.Route{
				Name: fmt.Sprint("r-", i), Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(i+1)),
				Objective: 300 * time.Millisecond, Timeout: time.Duration(revision) * time.Second,
			}
			if i < faulty {
				r.Timeout = 0
			}
			c.Routes[r.Address] = r
		}
		f.applyDelta(view.Delta{Section: view.ConfigurationSection, To: revision, Full: true, Configuration: c.DeltaFrom(view.Configuration{})})
		is.Equal(board.View().Configuration.Routes, c.Routes)
		return strings.Count(out.String(), `"event":1120`)
	}
	is.Equal(apply(1, 0), 0)
	is.Equal(apply(2, 12), 1)
	is.True(strings.Contains(out.String(), `"count":12`))
	is.Equal(strings.Count(out.String(), `"r-`), maxNamedRoutes)
	is.Equal(apply(2, 12), 0) // the same configuration again
}
