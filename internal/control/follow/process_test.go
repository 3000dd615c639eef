package follow_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/platform"
	"github.com/knapweedpier/knapweedpier/platform/platformtest"
)

// waitLimit is how long these tests wait for a condition before they fail.
const waitLimit = 10 * time.Second

// process is a running follower.
type process struct {
	member view.Member // with the address at which it serves peers
	board  *view.Board
}

// startProcess runs a follower that uses the store at storeAddress and seeds. m is
// its name, role and failure domain. It writes no member; see announce.
func startProcess(t *testing.T, m view.Member, storeAddress netip.AddrPort, seeds ...process) process {
	t.Helper()
	store := connect(t, storeAddress)
	l := listen(t)
	m.Peer = address(l)
	m.Address = m.Peer
	p := process{member: m, board: view.NewBoard()}
	opts := follow.Options{Name: m.Name, PeerAddress: m.Peer, Role: m.Role, Domain: m.Domain, Store: store, Board: p.board, Logger: event.Discard()}
	for _, seed := range seeds {
		opts.Seeds = append(opts.Seeds, seed.member.Peer)
	}
	f := follow.New(opts)
	runInBackground(t, func(ctx context.Context) {
		go follow.Serve(ctx, l, p.board, event.Discard())
		f.Run(ctx)
	})
	return p
}

// startFirst runs balancer-1 of failure domain a without seeds, and waits until its
// view is complete.
func startFirst(t *testing.T, storeAddress netip.AddrPort) process {
	t.Helper()
	p := startProcess(t, balancer("balancer-1", "a"), storeAddress)
	eventually(t, "complete view of balancer-1", func() bool { return p.board.View().Complete() })
	return p
}

// balancer returns the member of a balancer that is not started.
func balancer(name, domain string) view.Member {
	return view.Member{Name: name, Role: view.BalancerRole, Domain: domain}
}

// agent returns the member of an agent that is not started.
func agent(name, domain string) view.Member {
	return view.Member{Name: name, Role: view.AgentRole, Domain: domain}
}

// version returns the version of the configuration in the view of p.
func (p process) version() int64 { return p.board.View().Configuration.Version }

// announce writes the member of p to the store.
func announce(t *testing.T, server *platformtest.Store, p process) {
	t.Helper()
	if _, err := connect(t, server.Address()).WriteMember(context.Background(), p.member); err != nil {
		t.Fatal(err)
	}
}

// newStore starts a store.
func newStore(t *testing.T) *platformtest.Store {
	t.Helper()
	server := platformtest.New()
	t.Cleanup(server.Close)
	return server
}

// connect returns a client of the store at storeAddress.
func connect(t *testing.T, storeAddress netip.AddrPort) *platform.Store {
	t.Helper()
	store := platform.NewStore(storeAddress)
	t.Cleanup(store.Close)
	return store
}

// listen returns a listener on the loopback interface.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// address returns the address of a listener.
func address(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// runInBackground calls run. The returned function ends the context and waits until run
// has returned. It is called at the end of the test at the latest.
func runInBackground(t *testing.T, run func(context.Context)) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
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
			if _, known := v.Members.ByName[name]; !known && confirmedAt.Members.After(stored) {
				t.Fatalf("%v after its creation a member is unknown, but the view counts as current %v after it", time.Since(created), confirmedAt.Members.Sub(created))
			}
		}
	}
}

// memberSpec returns the object of an agent's member.
func memberSpec(name string) string {
	return fmt.Sprintf(`{"Name":%q,"Role":"agent","Address":"10.1.0.12:8172","Peer":"10.1.0.12:7720"}`, name)
}
