package follow_test

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/suspension"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/platform/platformtest"
)

// newAnnouncer runs an announcer that uses server as its store. Its board holds the
// members that are in the store now.
func newAnnouncer(t *testing.T, server *platformtest.Store) (*follow.Announcer, *view.Board) {
	t.Helper()
	board := view.NewBoard()
	applyListing(t, server, board)
	return runAnnouncer(t, connect(t, server.Address()), board), board
}

// runAnnouncer runs an announcer that writes to store.
func runAnnouncer(t *testing.T, store follow.Store, board *view.Board) *follow.Announcer {
	t.Helper()
	a := follow.NewAnnouncer(store, board, event.Discard())
	runInBackground(t, a.Run)
	return a
}

var agentMember = view.Member{
	Name: "agent-1", Role: view.AgentRole, Service: "comptoir", State: view.Ready,
	Address: netip.MustParseAddrPort("10.1.0.12:8172"), Peer: netip.MustParseAddrPort("10.1.0.12:7720"),
}

// waitSynced waits for a channel from Set or Withdraw.
func waitSynced(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(waitLimit):
		t.Fatal("the announcement is not in the store in time")
	}
}

// applyListing applies the members in the store to a board, as a follower does.
func applyListing(t *testing.T, server *platformtest.Store, board *view.Board) {
	t.Helper()
	changes, revision := listMembers(t, server)
	d := view.Delta{Section: view.MembersSection, To: revision, Full: true}
	for _, c := range changes {
		if c.Err == nil {
			d.Members = append(d.Members, *c.Member)
		}
	}
	board.Apply(d)
}

// listMembers returns the members in the store and its revision.
func listMembers(t *testing.T, server *platformtest.Store) ([]follow.Change, view.Revision) {
	t.Helper()
	changes, revision, err := connect(t, server.Address()).List(context.Background(), view.MembersSection)
	if err != nil {
		t.Fatal(err)
	}
	return changes, revision
}

// Guards against an announcement that never reaches the store after lost responses,
// after an outage, or because another process wrote the object earlier.
func TestAnnouncementReachesTheStore(t *testing.T) {
	is := is.New(t)
	server := newStore(t)
	server.PutMember("agent-1", `{"Name":"agent-1","Service":"of an earlier owner"}`)
	a, _ := newAnnouncer(t, server)
	waitSynced(t, a.Set(agentMember))
	leaving := agentMember
	leaving.State = view.Leaving
	server.SetFault(platformtest.WriteResponseLost)
	done := a.Set(leaving)
	time.Sleep(100 * time.Millisecond)
	server.SetFault(platformtest.Unavailable)
	time.Sleep(100 * time.Millisecond)
	server.SetFault(platformtest.NoFault)
	waitSynced(t, done)
	is.Equal(server.Member("agent-1") != "", true)
	waitSynced(t, a.Withdraw("agent-1"))
	is.Equal(len(server.Members()), 0)
}

// Guards against a new agent that doesn't count as new, and against a restarted one
// that does, so that it accepts no flows after a power cut.
func TestOnlyNewMembersCountAsNew(t *testing.T) {
	server := newStore(t)
	oldBoard := view.NewBoard()
	applyListing(t, server, oldBoard)
	// expect runs an announcer whose board is nil for the members in the store now. It checks
	// whether the member counts as stored before Set, and as new. The announcer has ended
	// when it returns: the board of one that runs on never shows a later object, whose times
	// it would replace with its own.
	expect := func(board *view.Board, m view.Member, storedBefore, isNew bool) {
		t.Helper()
		if board == nil {
			board = view.NewBoard()
			applyListing(t, server, board)
		}
		a := follow.NewAnnouncer(connect(t, server.Address()), board, event.Discard())
		defer runInBackground(t, a.Run)()
		var changes atomic.Int64
		a.OnStored = func() { changes.Add(1) }
		began := time.Now()
		check := func(when string, wantStored bool) {
			t.Helper()
			since, ok := a.Stored("agent-1")
			if ok != wantStored || ok && since.Before(began.Add(-waitLimit)) == isNew {
				t.Errorf("%s: stored %v since %v", when, ok, since)
			}
		}
		check("before Set", storedBefore)
		waitSynced(t, a.Set(m))
		eventually(t, "OnStored", func() bool { return changes.Load() == 1 })
		check("after Set", true)
	}
	expect(nil, agentMember, false, true)
	// The previous process was killed before the member came into the view.
	expect(oldBoard, agentMember, false, true)
	expect(nil, agentMember, true, true)

	leaving := agentMember
	leaving.State = view.Leaving
	created := time.Now().Add(-time.Minute).UnixMilli()
	for _, createdMS := range []int64{created, 0} { // 0: written by an earlier version
		server.Delete("members", "agent-1")
		old := agentMember
		old.CreatedMS = createdMS
		putMember(t, server, old)
		for _, m := range []view.Member{agentMember, leaving, agentMember} {
			expect(nil, m, true, false)
			var stored view.Member
			if err := json.Unmarshal([]byte(server.Member("agent-1")), &stored); err != nil || stored.CreatedMS != createdMS {
				t.Errorf("the member was created at %d, not %d: %v", stored.CreatedMS, createdMS, err)
			}
		}
	}
}

// putMember writes a member as an earlier process did.
func putMember(t *testing.T, server *platformtest.Store, m view.Member) {
	t.Helper()
	spec, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	server.PutMember(m.Name, string(spec))
}

// Guards against an agent that takes flows before balancers can know it: the creation of
// its member got no answer and took effect seconds later, after a restart.
func TestLateCreationCountsAsNew(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	sent := time.Now().Add(-5 * time.Second)
	m := agentMember
	m.CreatedMS = sent.UnixMilli()
	putMember(t, server, m)

	began := time.Now()
	first, _ := newAnnouncer(t, server)
	since, ok := first.Stored("agent-1")
	is.True(ok)
	is.True(!since.Before(began))
	first.Set(agentMember)
	eventually(t, "time of storage", func() bool { return storedMember(t, server).StoredMS == ceilMS(since) })
	is.Equal(storedMember(t, server).CreatedMS, m.CreatedMS)

	second, _ := newAnnouncer(t, server)
	known, ok := second.Stored("agent-1")
	is.True(ok)
	is.Equal(known.UnixMilli(), ceilMS(since))
	restarting := agentMember
	restarting.Restarting = true
	waitSynced(t, second.Set(restarting))
	is.Equal(storedMember(t, server).StoredMS, ceilMS(since))
}

// Guards against an agent that takes flows before balancers can know it, so that they reset them: it
// was new when its process ended, and the time of day was stepped forward before the next one.
func TestClockStepMakesNoAgentOlder(t *testing.T) {
	sinceBoot := suspension.SinceBoot()
	for name, c := range map[string]struct {
		change func(m *view.Member, age time.Duration)
		oldest time.Duration // age that the member may have at most
	}{
		"time of storage": {func(m *view.Member, age time.Duration) {
			m.StoredMS, m.StoredBootMS = time.Now().Add(-age).UnixMilli(), (sinceBoot - time.Second).Milliseconds()
		}, 2 * time.Second},
		"time of creation": {func(m *view.Member, age time.Duration) {
			m.CreatedMS, m.CreatedBootMS = time.Now().Add(-age).UnixMilli(), (sinceBoot - time.Second).Milliseconds()
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := platformtest.New()
			defer server.Close()
			m := agentMember
			c.change(&m, 15*time.Second) // 14 s of them by the step
			putMember(t, server, m)
			began := time.Now()
			a, _ := newAnnouncer(t, server)
			since, ok := a.Stored("agent-1")
			is.True(ok)
			is.True(!since.Before(began.Add(-c.oldest)))
		})
	}
}

// Guards against an agent that waits like a new one after a restart, because its object
// doesn't tell when the store was known to hold it, and against a write for each balancer.
func TestOnlyAgentsWriteWhenTheyWereStored(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	a, _ := newAnnouncer(t, server)
	waitSynced(t, a.Set(agentMember))
	eventually(t, "time of storage", func() bool { return storedMember(t, server).StoredMS > 0 })
	since, ok := a.Stored("agent-1")
	is.True(ok)
	is.Equal(storedMember(t, server).StoredMS, ceilMS(since))

	server.Delete("members", "agent-1")
	balancer := agentMember
	balancer.Role = view.BalancerRole
	b, _ := newAnnouncer(t, server)
	waitSynced(t, b.Set(balancer))
	calls := server.CallCount()
	time.Sleep(100 * time.Millisecond)
	is.Equal(server.CallCount(), calls)
}

// storedMember returns the member agent-1 as the store holds it.
func storedMember(t *testing.T, server *platformtest.Store) view.Member {
	t.Helper()
	var m view.Member
	if err := json.Unmarshal([]byte(server.Member("agent-1")), &m); err != nil {
		t.Fatal(err)
	}
	return m
}

// Guards against an agent that creates its member, and so counts as new, before it
// knows whether the store holds it, and against a leave that is confirmed then.
func TestNothingIsWrittenBeforeTheMembersAreKnown(t *testing.T) {
	is := is.New(t)
	server := newStore(t)
	board := view.NewBoard()
	a := runAnnouncer(t, connect(t, server.Address()), board)
	calls := server.CallCount()
	synced := a.Withdraw("agent-1")
	time.Sleep(100 * time.Millisecond)
	select {
	case <-synced:
		t.Error("the member counts as removed")
	default:
	}
	synced = a.Set(agentMember)
	time.Sleep(100 * time.Millisecond)
	is.Equal(server.CallCount(), calls)
	applyListing(t, server, board)
	waitSynced(t, synced)
	is.Equal(len(server.Members()), 1)
}

// Guards against an agent that stops forever: a report of its backend server, for
// which it holds its own lock, sets the member while the announcer tells it about
// the creation.
func TestSetDuringTheNoticeOfACreation(t *testing.T) {
	server := newStore(t)
	a, _ := newAnnouncer(t, server)
	noticed := make(chan bool, 1)
	a.OnStored = func() {
		set := make(chan struct{})
		go func() {
			defer close(set)
			a.Set(agentMember)
		}()
		select {
		case <-set:
			noticed <- true
		case <-time.After(time.Second):
			noticed <- false
		}
	}
	a.Set(agentMember)
	if !<-noticed {
		t.Fatal("Set waits for the notice of the creation to end")
	}
}

// Guards against a member that stays wrong after another process has written it.
func TestForeignWriteIsCorrected(t *testing.T) {
	server := newStore(t)
	a, board := newAnnouncer(t, server)
	waitSynced(t, a.Set(agentMember))
	eventually(t, "time of storage", func() bool { return storedMember(t, server).StoredMS > 0 })
	wanted := server.Member("agent-1")
	server.PutMember("agent-1", `{"Name":"agent-1","State":"ready"}`)
	_, revision := listMembers(t, server)
	foreign := view.Member{Name: "agent-1", State: view.Ready, Revision: revision}
	board.Apply(view.Delta{Section: view.MembersSection, To: revision, Full: true, Members: []view.Member{foreign}})
	eventually(t, "announced member restored", func() bool { return server.Member("agent-1") == wanted })
}

// Guards against an agent that waits too short after a restart, because its member names a
// time before the store was known to hold it.
func TestStoredTimeIsNotTooEarly(t *testing.T) {
	server := newStore(t)
	a, _ := newAnnouncer(t, server)
	waitSynced(t, a.Set(agentMember))
	eventually(t, "time of storage", func() bool { return storedMember(t, server).StoredMS > 0 })
	since, _ := a.Stored("agent-1")
	if stored := time.UnixMilli(storedMember(t, server).StoredMS); stored.Before(since) {
		t.Errorf("the member names a time %v before", since.Sub(stored))
	}
}

// ceilMS returns a time in Unix milliseconds, rounded up.
func ceilMS(t time.Time) int64 { return t.Add(time.Millisecond - 1).UnixMilli() }

// Guards against a member that counts as acknowledged because an old view shows the same
// one, although the store holds another.
func TestOnlyAnswersAcknowledgeAMember(t *testing.T) {
	is := is.New(t)
	server := newStore(t)
	write := func(m view.Member) {
		spec, err := json.Marshal(m)
		is.NoErr(err)
		server.PutMember(m.Name, string(spec))
	}
	write(agentMember)
	a, _ := newAnnouncer(t, server)
	restarting := agentMember
	restarting.Restarting = true
	write(restarting) // not in the view
	waitSynced(t, a.Set(agentMember))
	is.Equal(a.Acknowledged(), view.Member{})
	leaving := agentMember
	leaving.State = view.Leaving
	waitSynced(t, a.Set(leaving))
	is.Equal(a.Acknowledged().State, view.Leaving)
	is.True(!a.Acknowledged().Restarting)
}
