package follow_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/platform/platformtest"
)

// restore makes the store of a fleet lose its last changes, a number of them, and begin a new
// era.
func (fl *fleet) restore(lost int64) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	era, position := fl.revision.Era()+1, fl.revision.Position()-lost
	var kept []storedChange
	for _, e := range fl.events {
		if e.revision.Position() > position {
			continue
		}
		e.revision = view.NewRevision(era, e.revision.Position())
		if c := e.change.Configuration; c != nil {
			restored := *c
			restored.Revision = e.revision
			e.change.Configuration = &restored
		}
		if m := e.change.Member; m != nil {
			restored := *m
			restored.Revision = e.revision
			e.change.Member = &restored
		}
		kept = append(kept, e)
	}
	fl.events, fl.revision = kept, view.NewRevision(era, position)
	close(fl.changed)
	fl.changed = make(chan struct{})
}

// write writes the member of h again, at the next revision.
func (h *host) write() {
	h.fleet.mu.Lock()
	r := h.fleet.revision
	h.fleet.mu.Unlock()
	m := h.member
	m.Revision = view.NewRevision(r.Era(), r.Position()+1)
	h.fleet.put(view.MembersSection, follow.Change{Name: m.Name, Member: &m})
}

// restart starts the processes of hosts with empty boards, after the fleet has stopped.
func (fl *fleet) restart(hosts []*host) {
	fl.ctx, fl.cancel = context.WithCancel(context.Background())
	for _, h := range hosts {
		h.board = view.NewBoard()
		h.start()
	}
}

// calls returns the number of calls of the store by all hosts.
func calls(hosts []*host) int {
	count := 0
	for _, h := range hosts {
		count += h.callCount()
	}
	return count
}

// Guards against processes, also those that follow a peer, that lose a member, an evacuation or
// a configuration because the store lacks it after a restore, or that count their members as
// complete without it, against more calls of the store meanwhile, and against processes that do
// not follow the store afterwards.
func TestRestoredStoreLosesNothingAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet()
		defer fl.stop()
		hosts := fl.addDomains([]int{3, 2})
		time.Sleep(5 * time.Second)
		lost := fl.addHost(view.AgentRole, "b", 7) // its process doesn't run
		back := fl.addHost(view.AgentRole, "b", 8)
		fl.setConfiguration(2)
		fl.put(view.EvacuationsSection, follow.Change{Name: "a"})
		time.Sleep(4 * time.Second)
		before := calls(hosts)
		time.Sleep(5 * time.Second)
		usual := calls(hosts) - before
		fl.restore(4)
		restored := time.Now()
		time.Sleep(3 * time.Second)
		back.write()
		time.Sleep(time.Second)
		before = calls(hosts)
		time.Sleep(5 * time.Second)
		during := calls(hosts) - before
		if during > usual+usual/2 {
			t.Errorf("%d calls of the store in 5 s, %d before", during, usual)
		}
		for _, h := range hosts {
			v, confirmed := h.board.Snapshot()
			is.Equal(v.Members.Retained(), 1) // the lost one
			is.Equal(v.Members.ByName[back.member.Name].Revision.Era(), int64(1))
			is.Equal(v.Configuration.Version, int64(2))
			is.True(v.Evacuations.Domains["a"])
			is.True(!confirmed.Members.After(restored))
			is.True(time.Since(confirmed.StoredMembers) < 3*time.Second)
		}
		time.Sleep(7 * time.Second)
		fl.setConfiguration(2)
		fl.setConfiguration(3)
		time.Sleep(3 * time.Second)
		for _, h := range hosts {
			v, confirmed := h.board.Snapshot()
			_, ok := v.Members.ByName[lost.member.Name]
			is.True(!ok)
			is.Equal(len(v.Members.ByName), len(hosts)+1)
			is.Equal(v.Configuration.Version, int64(3))
			is.True(!v.Evacuations.Domains["a"])
			is.True(time.Since(confirmed.Members) < 3*time.Second)
			is.True(time.Since(confirmed.Configuration) < 3*time.Second)
		}
	})
}

// Guards against a process that follows or is confirmed by a peer whose view is of the era
// before, because that peer was cut off from the store during the restore.
func TestPeersOfAnEarlierEraAreNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet()
		defer fl.stop()
		hosts := fl.addDomains([]int{1})
		first, second := hosts[0], hosts[1]
		time.Sleep(5 * time.Second)
		is.Equal(second.board.Source(), first.member.Name)
		first.setFault(silent)
		fl.restore(0)
		time.Sleep(4 * time.Second)
		is.Equal(second.board.View().Members.Revision.Era(), int64(1))
		is.Equal(second.board.Source(), second.member.Name)
		first.setFault(cutOffStore) // it reaches peers again, and gets the era from them
		time.Sleep(3 * time.Second)
		is.Equal(first.board.View().Members.Revision.Era(), int64(1))
		time.Sleep(9 * time.Second)
		is.Equal(second.board.Source(), second.member.Name)
		is.Equal(first.board.Source(), second.member.Name)
	})
}

// eraStore starts a store that names its era, with a follower's board, an announcer and the
// channel on which OnStored is called.
func eraStore(t *testing.T) (*platformtest.Store, *follow.Announcer, *view.Board) {
	t.Helper()
	server := newStore(t)
	server.NameEra()
	server.SetConfiguration(1)
	store, board := connect(t, server.Address()), view.NewBoard()
	f := follow.New(follow.Options{Name: "agent-1", Role: view.AgentRole, Store: store, Board: board, Logger: event.Discard()})
	runInBackground(t, f.Run)
	return server, runAnnouncer(t, store, board), board
}

// stored returns the member agent-1 in the store, and whether there is one.
func stored(server *platformtest.Store) (m view.Member, ok bool) {
	text := server.Member("agent-1")
	return m, text != "" && json.Unmarshal([]byte(text), &m) == nil
}

// Guards against a process that takes its member for stored since an answer of the era before,
// and against an agent that counts as new, and so refuses new flows, because of a restore.
func TestMemberIsWrittenAgainInANewEra(t *testing.T) {
	is := is.New(t)
	server, a, board := eraStore(t)
	empty := server.Copy()
	waitSynced(t, a.Set(agentMember))
	eventually(t, "time of storage", func() bool { m, _ := stored(server); return m.StoredMS > 0 })
	since, ok := a.Stored("agent-1")
	is.True(ok)
	before, _ := stored(server)
	eventually(t, "member in the view", func() bool { _, ok := board.View().Members.ByName["agent-1"]; return ok })
	time.Sleep(1500 * time.Millisecond) // the view is confirmed
	server.Restore(empty)
	eventually(t, "member", func() bool { _, ok := stored(server); return ok })
	again, _ := stored(server)
	is.Equal(again.CreatedMS, before.CreatedMS)
	eventually(t, "members settled by the write", func() bool {
		v := board.View()
		return v.Members.Revision.Era() == 1 && v.Members.Retained() == 0
	})
	later, ok := a.Stored("agent-1")
	is.True(ok)
	is.Equal(later, since)
}

// Guards against callers that wait for resets after a power cut of all hosts, because no process
// is left that knows the era to be old, and against resets if it is young.
func TestMembersAreCompleteSoonAfterAPowerCut(t *testing.T) {
	for _, c := range []struct {
		name     string
		age      time.Duration // of the era at the power cut
		complete bool
	}{{"old", 30 * time.Second, true}, {"young", 5 * time.Second, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fl := newFleet()
				hosts := fl.addDomains([]int{3, 2})
				time.Sleep(5 * time.Second)
				fl.restore(0)
				time.Sleep(c.age - time.Second)
				written := hosts[1]
				written.member.Era, written.member.EraSeenMS = written.board.EraSeen()
				written.write()
				time.Sleep(time.Second)
				fl.stop()
				fl.restart(hosts)
				defer fl.stop()
				time.Sleep(time.Second)
				for _, h := range hosts {
					v, confirmed := h.board.Snapshot()
					is.Equal(v.Members.Revision.Era(), int64(1))
					is.Equal(!confirmed.Members.IsZero(), c.complete)
					era, seenMS := h.board.EraSeen()
					is.Equal(era, int64(1))
					is.Equal(seenMS == written.member.EraSeenMS, c.complete)
				}
				time.Sleep(13 * time.Second)
				for _, h := range hosts {
					_, confirmed := h.board.Snapshot()
					is.True(time.Since(confirmed.Members) < 3*time.Second)
				}
			})
		})
	}
}

// Guards against resets that wait when the whole system starts for the first time with a store
// that was restored before, and against a restore after that in which they don't wait.
func TestFirstStartNeedsNoRetention(t *testing.T) {
	for _, firstStart := range []bool{true, false} {
		is := is.New(t)
		server := newStore(t)
		server.NameEra()
		server.SetConfiguration(1)
		server.Restore(server.Copy())
		store, board := connect(t, server.Address()), view.NewBoard()
		f := follow.New(follow.Options{
			Name: "agent-1", Role: view.AgentRole, Store: store, Board: board, Logger: event.Discard(), FirstStart: firstStart,
		})
		runInBackground(t, f.Run)
		eventually(t, "members", func() bool { return !board.SectionConfirmedAt(view.MembersSection).IsZero() })
		_, confirmed := board.Snapshot()
		is.Equal(!confirmed.Members.IsZero(), firstStart)
		server.Restore(server.Copy())
		eventually(t, "second era", func() bool { return board.View().Members.Revision.Era() == 2 })
		time.Sleep(50 * time.Millisecond) // the listing is confirmed
		is.True(board.ChangesSince(nil).MembersIncomplete)
	}
}

// Guards against a member that doesn't tell processes that start how old the era is, and against
// a write by each process because of the fields alone, in a new era or after a restart.
func TestMembersCarryTheAgeOfTheEra(t *testing.T) {
	is := is.New(t)
	server := newStore(t)
	server.NameEra()
	a, board := newAnnouncer(t, server)
	balancer := agentMember // one write suffices for its member
	balancer.Role = view.BalancerRole
	waitSynced(t, a.Set(balancer))
	is.True(!strings.Contains(server.Member("agent-1"), "Era")) // as before in era 0
	before := server.Member("agent-1")
	server.Restore(server.Copy())
	start := time.Now().UnixMilli()
	applyListing(t, server, board)
	eventually(t, "member of the new era", func() bool { return a.Revision().Era() == 1 })
	time.Sleep(3 * time.Second)
	is.Equal(server.Member("agent-1"), before) // the copy has it, so it isn't written

	changed := balancer
	changed.Domain = "c"
	waitSynced(t, a.Set(changed))
	var m view.Member
	is.NoErr(json.Unmarshal([]byte(server.Member("agent-1")), &m))
	is.Equal(m.Era, int64(1))
	is.True(m.EraSeenMS >= start && m.EraSeenMS <= start+1000)
	written := server.Member("agent-1")
	restarted, _ := newAnnouncer(t, server)
	waitSynced(t, restarted.Set(changed))
	time.Sleep(3 * time.Second)
	is.Equal(server.Member("agent-1"), written)
}

// Guards against an agent that counts as known although it writes its member so late in the new
// era that balancers no longer retain it.
func TestMemberWrittenLateInANewEraCountsAsNew(t *testing.T) {
	is := is.New(t)
	server := newStore(t)
	server.NameEra()
	a, board := newAnnouncer(t, server)
	board.Confirm(view.MembersSection, time.Now().Add(-6*time.Second))
	empty := server.Copy()
	waitSynced(t, a.Set(agentMember))
	since, _ := a.Stored("agent-1")
	server.Restore(empty)
	applyListing(t, server, board)
	eventually(t, "member", func() bool { _, ok := stored(server); return ok })
	eventually(t, "later time", func() bool { later, ok := a.Stored("agent-1"); return ok && later.After(since) })
	is.Equal(board.View().Members.Revision.Era(), int64(1))
}

// Guards against a leave that was confirmed to the backend server and that the restore undoes:
// balancers would send new flows.
func TestLeavesAreWrittenAgainInANewEra(t *testing.T) {
	is := is.New(t)
	server, a, board := eraStore(t)
	waitSynced(t, a.Set(agentMember))
	ready := server.Copy()
	leaving := agentMember
	leaving.State = view.Leaving
	waitSynced(t, a.Set(leaving))
	server.Restore(ready)
	eventually(t, "leaving member", func() bool { m, _ := stored(server); return m.State == view.Leaving })
	waitSynced(t, a.Withdraw("agent-1"))
	server.Restore(ready)
	eventually(t, "second era", func() bool { return board.View().Members.Revision.Era() == 2 })
	eventually(t, "no member", func() bool { _, ok := stored(server); return !ok })
	time.Sleep(200 * time.Millisecond)
	is.Equal(len(server.Members()), 0)
}

// Guards against an announcer that calls a replica of the era before without pause, because it
// has learned of the new era from a peer.
func TestAcknowledgementOfAnEarlierEraIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		board := view.NewBoard()
		board.Apply(view.Delta{Section: view.MembersSection, To: view.NewRevision(4, 30), Full: true})
		s := &replica{}
		a := follow.NewAnnouncer(s, board, event.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		go a.Run(ctx)
		done := a.Set(agentMember)
		time.Sleep(5 * time.Second)
		is.True(s.writes.Load() > 1 && s.writes.Load() < 30)
		select {
		case <-done:
			t.Error("the member counts as stored")
		default:
		}
		cancel()
		synctest.Wait()
	})
}

// replica is a store that acknowledges all writes in era 3.
type replica struct {
	follow.Store
	writes atomic.Int64
}

// WriteMember implements follow.Store.
func (s *replica) WriteMember(context.Context, view.Member) (view.Revision, error) {
	return view.NewRevision(3, 50+s.writes.Add(1)), nil
}

// Guards against a member that stays in the store although its process has withdrawn it: the
// store acknowledged the removal, was restored from a copy, and the view showed the member again
// before the acknowledgement was handled.
func TestRemovalOfAnEarlierEraIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		board := view.NewBoard()
		list := func(era, position int64) {
			m := agentMember
			m.Revision = view.NewRevision(era, position)
			board.Apply(view.Delta{Section: view.MembersSection, To: m.Revision, Full: true, Members: []view.Member{m}})
		}
		list(3, 40)
		var removed []view.Revision
		var a *follow.Announcer
		s := &writeStore{remove: func(known view.Revision) error {
			if removed = append(removed, known); len(removed) == 1 {
				list(4, 40)
				a.Stored("agent-1") // takes the view over
			}
			return nil
		}}
		a = follow.NewAnnouncer(s, board, event.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		go a.Run(ctx)
		a.Withdraw("agent-1")
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		is.Equal(removed, []view.Revision{view.NewRevision(3, 40), view.NewRevision(4, 40)})
	})
}

// Guards against an agent that counts as stored, and so accepts new flows, although only a
// replica of the era before has its member, as a conflict shows.
func TestConflictOfAnEarlierEraShowsNoMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		board := view.NewBoard()
		board.Apply(view.Delta{Section: view.MembersSection, To: view.NewRevision(4, 30), Full: true})
		writes := 0
		s := &writeStore{write: func(view.Member) (view.Revision, error) {
			writes++
			return view.NewRevision(3, 50), errkind.New(errkind.VersionConflict, "the object exists")
		}}
		a := follow.NewAnnouncer(s, board, event.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		go a.Run(ctx)
		a.Set(agentMember)
		time.Sleep(5 * time.Second)
		_, ok := a.Stored("agent-1")
		is.True(!ok)
		is.True(writes > 1 && writes < 30)
		cancel()
		synctest.Wait()
	})
}
