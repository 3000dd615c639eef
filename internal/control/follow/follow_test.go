package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/platform"
	"github.com/knapweedpier/knapweedpier/platform/platformtest"
)

// waitLimit is how long these tests wait for a condition before they fail.
const waitLimit = 10 * time.Second

// process is a running follower: its board, and the address at which it serves
// peers.
type process struct {
	board *view.Board
	peer  netip.AddrPort
}

// startProcess runs a follower that uses server as its store and
// seedProcesses as its seeds. It writes no member; see announce.
func startProcess(t *testing.T, name string, role view.Role, domain string, server *platformtest.Store, seedProcesses []process) process {
	t.Helper()
	return startProcessAt(t, name, role, domain, server.Address(), seedProcesses)
}

// startProcessAt is startProcess with the address of the store.
func startProcessAt(t *testing.T, name string, role view.Role, domain string, address netip.AddrPort, seedProcesses []process) process {
	t.Helper()
	store := platform.NewStore(address)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := process{board: view.NewBoard(), peer: l.Addr().(*net.TCPAddr).AddrPort()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go follow.Serve(ctx, l, p.board)
	var seeds []netip.AddrPort
	for _, other := range seedProcesses {
		seeds = append(seeds, other.peer)
	}
	f := follow.New(follow.Options{Name: name, PeerAddress: p.peer, Role: role, Domain: domain, Store: store, Board: p.board, Logger: event.Discard(), Seeds: seeds})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		store.Close()
		<-done
	})
	return p
}

// announce writes the member of p to the store.
func announce(t *testing.T, server *platformtest.Store, name string, role view.Role, domain string, p process) {
	t.Helper()
	store := platform.NewStore(server.Address())
	defer store.Close()
	if _, err := store.WriteMember(context.Background(), view.Member{Name: name, Role: role, Domain: domain, Address: p.peer, Peer: p.peer}); err != nil {
		t.Fatal(err)
	}
}

// eventually waits until ok returns true and fails the test after waitLimit.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", waitLimit, what)
}

func (p process) version() int64 { return p.board.View().Configuration.Version }

// Guards against a process that misses changes of the store: during normal
// operation, after the store has discarded its history, and after an outage.
func TestFollowsTheStore(t *testing.T) {
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(1)
	p := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	eventually(t, "first configuration", func() bool { return p.version() == 1 && p.board.View().Complete() })
	server.SetConfiguration(2)
	eventually(t, "change", func() bool { return p.version() == 2 })
	server.Evacuate("a", true)
	eventually(t, "evacuation", func() bool { return p.board.View().Evacuations.Domains["a"] })
	server.SetConfiguration(3)
	server.Evacuate("a", false)
	server.DropHistory()
	eventually(t, "changes in the discarded history", func() bool {
		return p.version() == 3 && !p.board.View().Evacuations.Domains["a"]
	})
	server.SetFault(platformtest.Unavailable)
	server.SetConfiguration(4)
	time.Sleep(200 * time.Millisecond)
	server.SetFault(platformtest.NoFault)
	eventually(t, "change during the outage", func() bool { return p.version() == 4 })
}

// Guards against a configuration object that another writer left unreadable and
// that removes the configuration in force or hides the next readable one.
func TestUnreadableConfigurationIsSkipped(t *testing.T) {
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(1)
	p := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	eventually(t, "first configuration", func() bool { return p.version() == 1 })
	server.SetUnreadableConfiguration()
	server.SetConfiguration(3)
	eventually(t, "next readable configuration", func() bool { return p.version() == 3 })
}

// Guards against a fleet in which each process calls the store: processes that
// follow a peer must not.
func TestOneProcessOfADomainCallsTheStore(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(1)
	first := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	announce(t, server, "balancer-1", view.BalancerRole, "a", first)
	var followers []process
	for i := range 6 {
		followers = append(followers, startProcess(t, fmt.Sprintf("agent-%d", i), view.AgentRole, "a", server, nil))
	}
	for _, p := range followers {
		eventually(t, "first configuration", func() bool { return p.version() == 1 })
	}
	// Watches of the followers that are still pending end after at most 2.5 s or with
	// the next change of their section.
	time.Sleep(3 * time.Second)
	server.PutMember("wake", `{"Name":"wake"}`)
	server.Evacuate("z", true)
	server.SetConfiguration(2)
	for _, p := range followers {
		eventually(t, "change", func() bool { return p.version() == 2 })
	}
	time.Sleep(time.Second)
	before := server.CallCount()
	server.SetConfiguration(3)
	for _, p := range followers {
		eventually(t, "change from the peer", func() bool { return p.version() == 3 })
	}
	is.True(server.CallCount()-before <= 6) // calls of the first process only
}

// Guards against processes that miss changes because the store refuses or doesn't
// answer their calls while it serves others: they must learn the changes from peers
// in other failure domains.
func TestTurnedAwayProcessLearnsFromPeers(t *testing.T) {
	server, failing := platformtest.New(), platformtest.New()
	defer server.Close()
	defer failing.Close()
	server.SetConfiguration(1)
	served := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	announce(t, server, "balancer-1", view.BalancerRole, "a", served)
	eventually(t, "member of the served process", func() bool { return len(served.board.View().Members.ByName) == 1 })
	for _, fault := range []platformtest.Fault{platformtest.Unavailable, platformtest.RateLimited, platformtest.NoResponse} {
		failing.SetFault(fault)
		name := fmt.Sprintf("balancer-%d", fault+1)
		p := startProcess(t, name, view.BalancerRole, "b", failing, []process{served})
		eventually(t, "configuration from a seed", func() bool { return p.version() == served.version() })
		next := int(served.version()) + 1
		server.SetConfiguration(next)
		eventually(t, "change from a peer", func() bool { return p.version() == int64(next) })
	}
}

// Guards against a balancer that can't forward for more than a second after a power
// cut, because the store refuses its calls and the first seeds don't respond yet.
func TestFirstViewDoesNotWaitForSilentPeers(t *testing.T) {
	is := is.New(t)
	server, failing := platformtest.New(), platformtest.New()
	defer server.Close()
	defer failing.Close()
	server.SetConfiguration(1)
	served := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	announce(t, server, "balancer-1", view.BalancerRole, "a", served)
	eventually(t, "complete view of the seed", func() bool { return served.board.View().Complete() })
	silent, err := net.Listen("tcp4", "127.0.0.1:0") // accepts connections and never responds
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	unresponsive := process{peer: silent.Addr().(*net.TCPAddr).AddrPort()}
	failing.SetFault(platformtest.RateLimited)
	began := time.Now()
	p := startProcess(t, "balancer-2", view.BalancerRole, "b", failing, []process{unresponsive, served})
	eventually(t, "complete view", func() bool { return p.board.View().Complete() })
	is.True(time.Since(began) < 600*time.Millisecond)
}

// Guards against a process that retries the calls for every section while the store
// refuses them: refused calls are charged too.
func TestUnavailableStoreGetsFewCalls(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(1)
	p := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	eventually(t, "complete view", func() bool { return p.board.View().Complete() })
	server.SetFault(platformtest.RateLimited)
	server.SetConfiguration(2) // ends the pending watch
	server.Evacuate("z", true)
	server.PutMember("wake", `{"Name":"wake"}`)
	time.Sleep(time.Second)
	before := server.CallCount()
	time.Sleep(2 * time.Second)
	is.True(server.CallCount()-before <= 5) // one call per 500 ms
	server.SetFault(platformtest.NoFault)
	eventually(t, "all changes", func() bool { return p.version() == 2 && p.board.View().Evacuations.Domains["z"] })
}

// proxy forwards connections to a store until it is cut.
type proxy struct {
	listener net.Listener
	mu       sync.Mutex
	open     []net.Conn
	cut      bool
}

func newProxy(t *testing.T, target netip.AddrPort) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener}
	t.Cleanup(func() { _ = listener.Close(); p.setCut(true) })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return // closed at the end of the test
			}
			upstream, err := net.Dial("tcp4", target.String())
			if err != nil || !p.track(client, upstream) {
				_ = client.Close()
				continue
			}
			go func() { _, _ = io.Copy(client, upstream); _ = client.Close() }()
			go func() { _, _ = io.Copy(upstream, client); _ = upstream.Close() }()
		}
	}()
	return p
}

// track records the open connections. It returns false if the proxy is cut.
func (p *proxy) track(client, upstream net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		_ = upstream.Close()
		return false
	}
	p.open = append(p.open, client, upstream)
	return true
}

// setCut closes all connections and refuses new ones while cut is true.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for _, c := range p.open {
		_ = c.Close()
	}
	p.open = nil
}

// Guards against two processes that follow each other and keep an old view. It
// happens when the process that watches the store for its failure domain loses the
// store and polls the process that follows it. A configuration stayed in use 3.1 s
// after its successor was confirmed (gelatines-tr, hunt-92e0-15).
func TestWatcherWithoutStoreDoesNotFollowItsFollower(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(1)
	link := newProxy(t, server.Address())
	watcher := startProcessAt(t, "balancer-1", view.BalancerRole, "a", link.listener.Addr().(*net.TCPAddr).AddrPort(), nil)
	announce(t, server, "balancer-1", view.BalancerRole, "a", watcher)
	eventually(t, "view of the watcher", func() bool { return watcher.board.View().Complete() })
	var others []process
	for i, domain := range []string{"a", "c"} {
		name := fmt.Sprintf("balancer-%d", i+2)
		p := startProcess(t, name, view.BalancerRole, domain, server, nil)
		announce(t, server, name, view.BalancerRole, domain, p)
		others = append(others, p)
	}
	eventually(t, "watcher as the follower's source", func() bool { return others[0].board.Source() == "balancer-1" })
	// A watch of the configuration that the follower began ends after at most 2.5 s.
	time.Sleep(3 * time.Second)
	link.setCut(true)
	began := time.Now()
	server.SetConfiguration(2)
	for _, p := range append(others, watcher) {
		eventually(t, "change", func() bool { return p.version() == 2 })
	}
	is.True(time.Since(began) < 2*time.Second)
}

// Guards against a view that counts as current although the watch that should
// keep it current has gone silent while the store answers other calls. A balancer
// with such a view resets open flows of agents that it doesn't know (issue 17).
func TestSilentWatchConfirmsNothing(t *testing.T) {
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(1)
	p := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	eventually(t, "complete view", func() bool { return p.board.View().Complete() })
	server.StallWatches(true)
	// The watches that began before the stall end with this member's creation.
	server.PutMember("first", memberSpec("first"))
	time.Sleep(500 * time.Millisecond)
	createWhileWatching(t, server, "second", 5*time.Second, p)
}

// Guards against a view that counts as current at the time at which a slow response of
// the store arrives, although the response is as old as its way was long.
func TestSlowWatchConfirmsOnlyItsOwnTime(t *testing.T) {
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(1)
	p := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	eventually(t, "complete view", func() bool { return p.board.View().Complete() })
	server.DelayWatchResponses(600 * time.Millisecond)
	for i := range 12 {
		createWhileWatching(t, server, fmt.Sprintf("member-%d", i), 450*time.Millisecond, p)
	}
}

// Guards against a follower whose view counts as current at a time at which the view
// of the peer that it follows wasn't.
func TestFollowerIsNoMoreCurrentThanItsPeer(t *testing.T) {
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(1)
	watcher := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	announce(t, server, "balancer-1", view.BalancerRole, "a", watcher)
	follower := startProcess(t, "balancer-2", view.BalancerRole, "a", server, []process{watcher})
	eventually(t, "watcher as the follower's source", func() bool { return follower.board.Source() == "balancer-1" })
	server.DelayWatchResponses(300 * time.Millisecond)
	for i := range 12 {
		createWhileWatching(t, server, fmt.Sprintf("member-%d", i), 450*time.Millisecond, watcher, follower)
	}
}

// createWhileWatching creates a member and fails the test if within d the view of a
// process counts as current after the creation although it lacks the member.
func createWhileWatching(t *testing.T, server *platformtest.Store, name string, d time.Duration, processes ...process) {
	t.Helper()
	created := time.Now()
	server.PutMember(name, memberSpec(name))
	stored := time.Now()
	for end := created.Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, p := range processes {
			v, confirmedAt := p.board.Snapshot()
			if _, known := v.Members.ByName[name]; !known && confirmedAt.After(stored) {
				t.Fatalf("%v after its creation a member is unknown, but the view counts as current %v after it", time.Since(created), confirmedAt.Sub(created))
			}
		}
	}
}

// memberSpec returns the object of an agent's member.
func memberSpec(name string) string {
	return fmt.Sprintf(`{"Name":%q,"Role":"agent","Address":"10.1.0.12:8172","Peer":"10.1.0.12:7720"}`, name)
}

// newAnnouncer runs an announcer that uses server as its store. Its board holds the
// members that are in the store now.
func newAnnouncer(t *testing.T, server *platformtest.Store) (*follow.Announcer, *view.Board) {
	t.Helper()
	board := view.NewBoard()
	applyListing(t, server, board)
	return runAnnouncer(t, server, board), board
}

// runAnnouncer runs an announcer that uses server as its store.
func runAnnouncer(t *testing.T, server *platformtest.Store, board *view.Board) *follow.Announcer {
	t.Helper()
	store := platform.NewStore(server.Address())
	a := follow.NewAnnouncer(store, board, event.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		store.Close()
	})
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

// Guards against an announcement that never reaches the store after lost responses,
// after an outage, or because another process wrote the object earlier.
func TestAnnouncementReachesTheStore(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
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
	server := platformtest.New()
	defer server.Close()
	oldBoard := view.NewBoard()
	applyListing(t, server, oldBoard)
	// expect checks whether the member counts as stored before Set, and as new.
	expect := func(a *follow.Announcer, m view.Member, storedBefore, isNew bool) {
		t.Helper()
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
	a, _ := newAnnouncer(t, server)
	expect(a, agentMember, false, true)
	// The previous process was killed before the member came into the view.
	expect(runAnnouncer(t, server, oldBoard), agentMember, false, true)
	restarted, _ := newAnnouncer(t, server)
	expect(restarted, agentMember, true, true)

	leaving := agentMember
	leaving.State = view.Leaving
	created := time.Now().Add(-time.Minute).UnixMilli()
	for _, createdMS := range []int64{created, 0} { // 0: written by an earlier version
		server.Delete("members", "agent-1")
		old := agentMember
		old.CreatedMS = createdMS
		spec, err := json.Marshal(old)
		if err != nil {
			t.Fatal(err)
		}
		server.PutMember("agent-1", string(spec))
		for _, m := range []view.Member{agentMember, leaving, agentMember} {
			restarted, _ = newAnnouncer(t, server)
			expect(restarted, m, true, false)
			var stored view.Member
			if err := json.Unmarshal([]byte(server.Member("agent-1")), &stored); err != nil || stored.CreatedMS != createdMS {
				t.Errorf("the member was created at %d, not %d: %v", stored.CreatedMS, createdMS, err)
			}
		}
	}
}

// Guards against an agent that creates its member, and so counts as new, before it
// knows whether the store holds it, and against a leave that is confirmed then.
func TestNothingIsWrittenBeforeTheMembersAreKnown(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	board := view.NewBoard()
	a := runAnnouncer(t, server, board)
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
	server := platformtest.New()
	defer server.Close()
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

// Guards against an announcer that calls the store without pause, or takes its
// member for stored, while the view still holds the member that was deleted.
func TestDeletedMemberInAnOldView(t *testing.T) {
	changed := agentMember
	changed.Slots = 9
	for name, next := range map[string]view.Member{"same member": agentMember, "changed member": changed} {
		t.Run(name, func(t *testing.T) {
			server := platformtest.New()
			defer server.Close()
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

// applyListing applies the members in the store to a board, as a follower does.
func applyListing(t *testing.T, server *platformtest.Store, board *view.Board) {
	t.Helper()
	store := platform.NewStore(server.Address())
	defer store.Close()
	changes, revision, err := store.List(context.Background(), view.MembersSection)
	if err != nil {
		t.Fatal(err)
	}
	d := view.Delta{Section: view.MembersSection, To: revision, Full: true}
	for _, c := range changes {
		if c.Err == nil {
			d.Members = append(d.Members, *c.Member)
		}
	}
	board.Apply(d)
}

// Guards against a member that stays wrong after another process has written it.
func TestForeignWriteIsCorrected(t *testing.T) {
	server := platformtest.New()
	defer server.Close()
	a, board := newAnnouncer(t, server)
	waitSynced(t, a.Set(agentMember))
	wanted := server.Member("agent-1")
	server.PutMember("agent-1", `{"Name":"agent-1","State":"ready"}`)
	store := platform.NewStore(server.Address())
	defer store.Close()
	_, revision, err := store.List(context.Background(), view.MembersSection)
	if err != nil {
		t.Fatal(err)
	}
	foreign := view.Member{Name: "agent-1", State: view.Ready, Revision: revision}
	board.Apply(view.Delta{Section: view.MembersSection, To: revision, Full: true, Members: []view.Member{foreign}})
	eventually(t, "announced member restored", func() bool { return server.Member("agent-1") == wanted })
}

// Guards against a member that is never removed: the process that announced it lost
// power, and the restarted process found no backend server.
func TestSuccessorWithdraws(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	previous, _ := newAnnouncer(t, server)
	waitSynced(t, previous.Set(agentMember))
	a, _ := newAnnouncer(t, server)
	waitSynced(t, a.Withdraw("agent-1"))
	is.Equal(len(server.Members()), 0)
}
