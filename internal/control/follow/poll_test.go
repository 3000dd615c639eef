package follow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/platform/platformtest"
)

// Guards against a fleet in which each process calls the store: processes that
// follow a peer must not.
func TestOneProcessOfADomainCallsTheStore(t *testing.T) {
	is := is.New(t)
	server := newStore(t)
	server.SetConfiguration(1)
	first := startProcess(t, agent("agent-0", "a"), server.Address()) // ranks first
	announce(t, server, first)
	var followers []process
	for i := range 6 {
		followers = append(followers, startProcess(t, agent(fmt.Sprintf("agent-%d", i+1), "a"), server.Address()))
	}
	for _, p := range followers {
		eventually(t, "first configuration", func() bool { return p.version() == 1 })
	}
	// Watches of the followers that are still pending end after at most 1.2 s or with
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
	for _, p := range followers {
		is.Equal(p.board.Source(), "agent-0")
	}
	time.Sleep(time.Second)                 // a process that watches pauses for 0.3 s after a change
	is.True(server.CallCount()-before <= 6) // calls of the first process only
}

// Guards against processes that miss changes because the store refuses or doesn't
// answer their calls while it serves others: they must learn the changes from peers
// in other failure domains.
func TestTurnedAwayProcessLearnsFromPeers(t *testing.T) {
	server, failing := newStore(t), newStore(t)
	server.SetConfiguration(1)
	served := startFirst(t, server.Address())
	announce(t, server, served)
	eventually(t, "member of the served process", func() bool { return len(served.board.View().Members.ByName) == 1 })
	for _, fault := range []platformtest.Fault{platformtest.Unavailable, platformtest.RateLimited, platformtest.NoResponse} {
		failing.SetFault(fault)
		name := fmt.Sprintf("balancer-%d", fault+1)
		p := startProcess(t, balancer(name, "b"), failing.Address(), served)
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
	server, failing := newStore(t), newStore(t)
	server.SetConfiguration(1)
	served := startFirst(t, server.Address())
	announce(t, server, served)
	silent := listen(t) // accepts connections and never responds
	unresponsive := process{member: view.Member{Peer: address(silent)}}
	failing.SetFault(platformtest.RateLimited)
	began := time.Now()
	p := startProcess(t, balancer("balancer-2", "b"), failing.Address(), unresponsive, served)
	eventually(t, "complete view", func() bool { return p.board.View().Complete() })
	is.True(time.Since(began) < 600*time.Millisecond)
}

// Guards against two processes that follow each other and keep an old view. It
// happens when the process that watches the store for its failure domain loses the
// store and polls the process that follows it. A configuration stayed in use 3.1 s
// after its successor was confirmed (gelatines-tr, hunt-92e0-15).
func TestWatcherWithoutStoreDoesNotFollowItsFollower(t *testing.T) {
	is := is.New(t)
	server := newStore(t)
	server.SetConfiguration(1)
	link := newProxy(t, server.Address())
	watcher := startFirst(t, link.address)
	announce(t, server, watcher)
	var others []process
	for i, domain := range []string{"a", "c"} {
		name := fmt.Sprintf("balancer-%d", i+2)
		p := startProcess(t, balancer(name, domain), server.Address())
		announce(t, server, p)
		others = append(others, p)
	}
	eventually(t, "watcher as the follower's source", func() bool { return others[0].board.Source() == "balancer-1" })
	// A watch of the configuration that the follower began ends after at most 1.2 s.
	time.Sleep(3 * time.Second)
	link.setCut(true)
	began := time.Now()
	server.SetConfiguration(2)
	for _, p := range append(others, watcher) {
		eventually(t, "change", func() bool { return p.version() == 2 })
	}
	is.True(time.Since(began) < 2*time.Second)
}

// Guards against a follower whose view counts as current at a time at which the view
// of the peer that it follows wasn't.
func TestFollowerIsNoMoreCurrentThanItsPeer(t *testing.T) {
	server := newStore(t)
	server.SetConfiguration(1)
	watcher := startFirst(t, server.Address())
	announce(t, server, watcher)
	follower := startProcess(t, balancer("balancer-2", "a"), server.Address(), watcher)
	eventually(t, "watcher as the follower's source", func() bool { return follower.board.Source() == "balancer-1" })
	server.DelayWatchResponses(300 * time.Millisecond)
	for i := range 12 {
		createWhileWatching(t, server, fmt.Sprintf("member-%d", i), 450*time.Millisecond, watcher, follower)
	}
}
