package follow_test

import (
	"context"
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

// patience bounds the waits of these tests.
const patience = 10 * time.Second

// process is a follower with its board, and its peers' address.
type process struct {
	board *view.Board
	peer  netip.AddrPort
}

// startProcess runs a follower against a store. Its member is announced if the
// store answers.
func startProcess(t *testing.T, name string, role view.Role, domain string, server *platformtest.Store, announced []process) process {
	t.Helper()
	return startProcessAt(t, name, role, domain, server.Address(), announced)
}

// startProcessAt does the same with a store's address.
func startProcessAt(t *testing.T, name string, role view.Role, domain string, address netip.AddrPort, announced []process) process {
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
	for _, other := range announced {
		seeds = append(seeds, other.peer)
	}
	f := follow.New(follow.Options{Name: name, Self: p.peer, Role: role, Domain: domain, Store: store, Board: p.board, Logger: event.Discard(), Seeds: seeds})
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

func announce(t *testing.T, server *platformtest.Store, name string, role view.Role, domain string, p process) {
	t.Helper()
	store := platform.NewStore(server.Address())
	defer store.Close()
	if _, err := store.WriteMember(context.Background(), view.Member{Name: name, Role: role, Domain: domain, Address: p.peer, Peer: p.peer}); err != nil {
		t.Fatal(err)
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", patience, what)
}

func (p process) version() int64 { return p.board.View().Configuration.Version }

// Guards against a process that misses changes: from the store, after the
// store forgot its history, and after the store was down.
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
	server.Forget()
	eventually(t, "changes before the forgotten history", func() bool {
		return p.version() == 3 && !p.board.View().Evacuations.Domains["a"]
	})
	server.Set(platformtest.Busy)
	server.SetConfiguration(4)
	time.Sleep(200 * time.Millisecond)
	server.Set(platformtest.None)
	eventually(t, "change during the outage", func() bool { return p.version() == 4 })
}

// Guards against a configuration that another writer made unreadable and that
// takes the one in force away.
func TestUnreadableConfigurationIsPassedOver(t *testing.T) {
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(1)
	p := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	eventually(t, "first configuration", func() bool { return p.version() == 1 })
	server.SetUnreadableConfiguration()
	server.SetConfiguration(3)
	eventually(t, "next readable one", func() bool { return p.version() == 3 })
}

// Guards against a fleet in which each process calls the store: those that
// follow a peer make no calls.
func TestOneProcessOfADomainCallsTheStore(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(1)
	first := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	announce(t, server, "balancer-1", view.BalancerRole, "a", first)
	var rest []process
	for i := range 6 {
		rest = append(rest, startProcess(t, fmt.Sprintf("agent-%d", i), view.AgentRole, "a", server, nil))
	}
	for _, p := range rest {
		eventually(t, "first configuration", func() bool { return p.version() == 1 })
	}
	// Their own watches end after at most 8 s; an earlier change ends them too.
	time.Sleep(3 * time.Second)
	server.PutMember("wake", `{"Name":"wake"}`)
	server.Evacuate("z", true)
	server.SetConfiguration(2)
	for _, p := range rest {
		eventually(t, "change", func() bool { return p.version() == 2 })
	}
	time.Sleep(time.Second)
	before := server.Calls()
	server.SetConfiguration(3)
	for _, p := range rest {
		eventually(t, "change over the peer", func() bool { return p.version() == 3 })
	}
	is.True(server.Calls()-before <= 6) // of the first process alone
}

// Guards against hosts that the store turns away while it serves others:
// they learn changes from peers of other failure domains.
func TestTurnedAwayProcessLearnsFromPeers(t *testing.T) {
	server, unreachable := platformtest.New(), platformtest.New()
	defer server.Close()
	defer unreachable.Close()
	server.SetConfiguration(1)
	served := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	announce(t, server, "balancer-1", view.BalancerRole, "a", served)
	eventually(t, "its own member", func() bool { return len(served.board.View().Members.ByName) == 1 })
	for _, fault := range []platformtest.Fault{platformtest.Busy, platformtest.Limited, platformtest.Silent} {
		unreachable.Set(fault)
		name := fmt.Sprintf("balancer-%d", fault+1)
		p := startProcess(t, name, view.BalancerRole, "b", unreachable, []process{served})
		eventually(t, "the configuration over a seed", func() bool { return p.version() == served.version() })
		next := int(served.version()) + 1
		server.SetConfiguration(next)
		eventually(t, "a change over a peer", func() bool { return p.version() == int64(next) })
	}
}

// Guards against a balancer that can't forward for more than a second after a
// power cut: the store turns it away, and the first seeds are not back yet.
func TestFirstViewDoesNotWaitForSilentPeers(t *testing.T) {
	is := is.New(t)
	server, unreachable := platformtest.New(), platformtest.New()
	defer server.Close()
	defer unreachable.Close()
	server.SetConfiguration(1)
	served := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	announce(t, server, "balancer-1", view.BalancerRole, "a", served)
	eventually(t, "complete view of the seed", func() bool { return served.board.View().Complete() })
	silent, err := net.Listen("tcp4", "127.0.0.1:0") // takes connections and never answers
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	dead := process{peer: silent.Addr().(*net.TCPAddr).AddrPort()}
	unreachable.Set(platformtest.Limited)
	began := time.Now()
	p := startProcess(t, "balancer-2", view.BalancerRole, "b", unreachable, []process{dead, served})
	eventually(t, "complete view", func() bool { return p.board.View().Complete() })
	is.True(time.Since(began) < 600*time.Millisecond)
}

// Guards against a process that the store turns away and that asks it again for
// each section: calls that are refused are priced too.
func TestStoreThatIsLostGetsFewCalls(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(1)
	p := startProcess(t, "balancer-1", view.BalancerRole, "a", server, nil)
	eventually(t, "complete view", func() bool { return p.board.View().Complete() })
	server.Set(platformtest.Limited)
	server.SetConfiguration(2) // ends the waiting watch
	server.Evacuate("z", true)
	server.PutMember("wake", `{"Name":"wake"}`)
	time.Sleep(time.Second)
	before := server.Calls()
	time.Sleep(2 * time.Second)
	is.True(server.Calls()-before <= 7) // one each 500 ms, and pings
	server.Set(platformtest.None)
	eventually(t, "all changes", func() bool { return p.version() == 2 && p.board.View().Evacuations.Domains["z"] })
}

// line forwards connections to a store until it is cut.
type line struct {
	listener net.Listener
	mu       sync.Mutex
	open     []net.Conn
	cut      bool
}

func newLine(t *testing.T, to netip.AddrPort) *line {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &line{listener: listener}
	t.Cleanup(func() { _ = listener.Close(); l.setCut(true) })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return // closed at the end of the test
			}
			far, err := net.Dial("tcp4", to.String())
			if err != nil || !l.keep(near, far) {
				_ = near.Close()
				continue
			}
			go func() { _, _ = io.Copy(near, far); _ = near.Close() }()
			go func() { _, _ = io.Copy(far, near); _ = far.Close() }()
		}
	}()
	return l
}

// keep remembers the connections, unless the line is cut.
func (l *line) keep(near, far net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		_ = far.Close()
		return false
	}
	l.open = append(l.open, near, far)
	return true
}

func (l *line) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for _, c := range l.open {
		_ = c.Close()
	}
	l.open = nil
}

// Guards against two processes that keep each other's old view: the one that
// watches the store for its failure domain is turned away, and asks the one
// that follows it. A configuration stayed in use 3.1 s after its successor was
// confirmed (gelatines-tr, hunt-92e0-15).
func TestTurnedAwayWatcherAndItsFollowers(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(1)
	line := newLine(t, server.Address())
	watcher := startProcessAt(t, "balancer-1", view.BalancerRole, "a", line.listener.Addr().(*net.TCPAddr).AddrPort(), nil)
	announce(t, server, "balancer-1", view.BalancerRole, "a", watcher)
	eventually(t, "view of the watcher", func() bool { return watcher.board.View().Complete() })
	var others []process
	for i, domain := range []string{"a", "c"} {
		name := fmt.Sprintf("balancer-%d", i+2)
		p := startProcess(t, name, view.BalancerRole, domain, server, nil)
		announce(t, server, name, view.BalancerRole, domain, p)
		others = append(others, p)
	}
	eventually(t, "the follower's source", func() bool { return others[0].board.Source() == "balancer-1" })
	// The follower's own watch of the configuration ends after at most 2.5 s.
	time.Sleep(3 * time.Second)
	line.setCut(true)
	began := time.Now()
	server.SetConfiguration(2)
	for _, p := range append(others, watcher) {
		eventually(t, "the change", func() bool { return p.version() == 2 })
	}
	is.True(time.Since(began) < 2*time.Second)
}

func newAnnouncer(t *testing.T, server *platformtest.Store) (*follow.Announcer, *view.Board) {
	t.Helper()
	store := platform.NewStore(server.Address())
	board := view.NewBoard()
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
	return a, board
}

var agentMember = view.Member{
	Name: "agent-1", Role: view.AgentRole, Service: "comptoir", State: view.Ready,
	Address: netip.MustParseAddrPort("10.1.0.12:8172"), Peer: netip.MustParseAddrPort("10.1.0.12:7720"),
}

func waitFor(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("the store doesn't hold the announcement")
	}
}

// Guards against an announcement that stays undone after lost answers, after an
// outage, or because another process wrote the object before.
func TestAnnouncementReachesTheStore(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	server.PutMember("agent-1", `{"Name":"agent-1","Service":"of an earlier owner"}`)
	a, _ := newAnnouncer(t, server)
	waitFor(t, a.Set(agentMember))
	leaving := agentMember
	leaving.State = view.Leaving
	server.Set(platformtest.Lost)
	done := a.Set(leaving)
	time.Sleep(100 * time.Millisecond)
	server.Set(platformtest.Busy)
	time.Sleep(100 * time.Millisecond)
	server.Set(platformtest.None)
	waitFor(t, done)
	is.Equal(server.Member("agent-1") != "", true)
	waitFor(t, a.Withdraw("agent-1"))
	is.Equal(len(server.Members()), 0)
}

// Guards against a new agent that counts as known, and against a restarted one
// that counts as new and takes no flows after a power cut.
func TestOnlyNewMembersCountAsCreated(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	var created atomic.Int64
	announce := func(m view.Member) {
		a, _ := newAnnouncer(t, server)
		a.Created = func(time.Time) { created.Add(1) }
		waitFor(t, a.Set(m))
	}
	announce(agentMember)
	is.Equal(created.Load(), int64(1))
	announce(agentMember) // its successor
	leaving := agentMember
	leaving.State = view.Leaving
	announce(leaving)
	is.Equal(created.Load(), int64(1))
}

// Guards against a member that another write changed and that stays wrong.
func TestForeignWriteIsCorrected(t *testing.T) {
	server := platformtest.New()
	defer server.Close()
	a, board := newAnnouncer(t, server)
	waitFor(t, a.Set(agentMember))
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
	eventually(t, "the announcement again", func() bool { return server.Member("agent-1") == wanted })
}

// Guards against a member that stays for good because the process that
// announced it lost power, and its successor found no backend server.
func TestSuccessorWithdraws(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	before, _ := newAnnouncer(t, server)
	waitFor(t, before.Set(agentMember))
	a, board := newAnnouncer(t, server)
	store := platform.NewStore(server.Address())
	defer store.Close()
	changes, revision, err := store.List(context.Background(), view.MembersSection)
	is.NoErr(err)
	board.Apply(view.Delta{Section: view.MembersSection, To: revision, Full: true, Members: []view.Member{*changes[0].Member}})
	waitFor(t, a.Withdraw("agent-1"))
	is.Equal(len(server.Members()), 0)
}
