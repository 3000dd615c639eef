package distribution

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// fakeStore is an in-memory platform whose outage can be simulated.
type fakeStore struct {
	mu       sync.Mutex
	down     bool
	revision uint64
	objects  map[string]objectstore.Object // the version of each is its revision
	changed  signal
	calls    int
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string]objectstore.Object{}} }

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	s.changed.notifyAll()
}

// beginCall counts a call and returns an error during a simulated outage. s.mu
// must be held.
func (s *fakeStore) beginCall() error {
	s.calls++
	if s.down {
		return errkind.New(errkind.PlatformDown, "outage")
	}
	return nil
}

func (s *fakeStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return objectstore.Object{}, err
	}
	object, ok := s.objects[key]
	if !ok {
		return object, errkind.New(errkind.NotFound, key)
	}
	return object, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return objectstore.Object{}, err
	}
	if s.objects[key].Version != ifVersion {
		return objectstore.Object{}, errkind.New(errkind.VersionConflict, key)
	}
	s.revision++
	s.objects[key] = objectstore.Object{Key: key, Version: s.revision, Value: value}
	s.changed.notifyAll()
	return s.objects[key], nil
}

func (s *fakeStore) Delete(_ context.Context, key string, _ uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, key)
	return nil
}

func (s *fakeStore) List(_ context.Context, prefix string) (objectstore.Listing, error) {
	return s.listSince(prefix, 0)
}

func (s *fakeStore) listSince(prefix string, after uint64) (objectstore.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := objectstore.Listing{Revision: s.revision}
	if err := s.beginCall(); err != nil {
		return listing, err
	}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && object.Version > after {
			listing.Objects = append(listing.Objects, object)
		}
	}
	return listing, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectstore.Listing, error) {
	timeout := time.After(wait)
	for {
		changed := s.changed.notified()
		listing, err := s.listSince(prefix, after)
		if err != nil || len(listing.Objects) > 0 {
			return listing, err
		}
		select {
		case <-ctx.Done():
			return listing, errkind.Wrap(ctx.Err(), errkind.PlatformDown, "watch")
		case <-timeout:
			return listing, nil
		case <-changed:
		}
	}
}

// faultInjector provides a node's clock and network. setFrozen blocks the clock,
// which freezes the process; setCut cuts its connections.
type faultInjector struct {
	network    *memoryNetwork
	mu         sync.Mutex
	frozen     bool
	thawed     *sync.Cond // with mu
	cut        bool
	clockAhead time.Duration // by which the clock is ahead
	conns      []net.Conn
}

func newFaultInjector(network *memoryNetwork) *faultInjector {
	g := &faultInjector{network: network}
	g.thawed = sync.NewCond(&g.mu)
	return g
}

func (g *faultInjector) now() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.frozen {
		g.thawed.Wait()
	}
	return time.Now().Add(g.clockAhead)
}

func (g *faultInjector) track(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		conn.Close()
	}
	g.conns = append(g.conns, conn)
	return conn, nil
}

func (g *faultInjector) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return g.track(g.network.dial(ctx, network, address))
}

func (g *faultInjector) setFrozen(frozen bool) {
	synctest.Wait() // the process must not stop while it holds a mutex: fake time would stop, too
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = frozen
	g.thawed.Broadcast()
}

func (g *faultInjector) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
	for _, conn := range g.conns {
		conn.Close()
	}
	g.conns = nil
}

type faultListener struct {
	net.Listener
	faults *faultInjector
}

func (l faultListener) Accept() (net.Conn, error) { return l.faults.track(l.Listener.Accept()) }

// fleet is a set of nodes that share a platform and a network in memory. It must
// be created and used in the bubble of synctest.Test: time then passes only while
// all nodes wait, so its limits do not depend on the load of the machine.
type fleet struct {
	t       *testing.T
	store   *fakeStore
	network *memoryNetwork
	seeds   []netip.AddrPort
	nodes   []*testNode
}

func newEmptyFleet(t *testing.T) *fleet {
	return &fleet{t: t, store: newFakeStore(), network: newMemoryNetwork()}
}

type testNode struct {
	*Node
	faults *faultInjector
	log    *lockedBuffer
	store  *listCountingStore
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) hasEvent(id event.ID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.buf.String(), fmt.Sprintf(`"event":%d`, id))
}

var testDomains = []string{"tr-centre", "cap-madeleine", "shawi"}

func newFleet(t *testing.T, balancers, agents int) *fleet {
	f := newEmptyFleet(t)
	for i := range balancers + agents {
		role := membership.RoleBalancer
		if i >= balancers {
			role = membership.RoleAgent
		}
		f.addNode(role, testDomains[i%len(testDomains)])
	}
	f.waitUntil(10*time.Second, "every node knows all members", func(n *testNode) bool {
		return len(n.Board.Members.Get().Members) == len(f.nodes)
	})
	return f
}

// listCountingStore counts the List calls of one node.
type listCountingStore struct {
	objectstore.Store
	lists atomic.Int64
}

// List implements objectstore.Store.
func (s *listCountingStore) List(ctx context.Context, prefix string) (objectstore.Listing, error) {
	s.lists.Add(1)
	return s.Store.List(ctx, prefix)
}

func (f *fleet) addNode(role membership.Role, domain string) *testNode {
	f.t.Helper()
	g, out := newFaultInjector(f.network), &lockedBuffer{}
	logger, err := event.New(out, "json")
	if err != nil {
		f.t.Fatal(err)
	}
	ring, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	if err != nil {
		f.t.Fatal(err)
	}
	self := membership.Record{
		ID: fmt.Sprintf("%s-%d", role, len(f.nodes)), Role: role, Domain: domain, Region: "mauricie", State: membership.StateServing,
	}
	store := &listCountingStore{Store: f.store}
	n := &testNode{New(Options{
		Self: self, Seeds: f.seeds, Store: store, KeyRing: func() *keyring.Ring { return ring },
		Listener: faultListener{f.network.listen(), g}, Logger: logger, Clock: g.now, Dial: g.dial,
	}), g, out, store}
	if err := n.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		g.setFrozen(false)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = n.Stop(ctx)
	})
	f.seeds = append(f.seeds, n.Self().Peer)
	f.nodes = append(f.nodes, n)
	return n
}

// waitUntil waits until cond holds at all nodes except those in without.
func (f *fleet) waitUntil(limit time.Duration, what string, cond func(*testNode) bool, without ...*testNode) {
	f.t.Helper()
	end := time.Now().Add(limit)
	for _, n := range f.nodes {
		for !contains(without, n) && !cond(n) {
			if time.Now().After(end) {
				f.t.Fatalf("%[3]s: not within %[1]v at %[2]s", limit, n.Self().ID, what)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}

func contains(nodes []*testNode, n *testNode) bool {
	for _, other := range nodes {
		if other == n {
			return true
		}
	}
	return false
}

// putConfig writes a configuration to the platform, as an operator does.
func (f *fleet) putConfig(generation uint64, changes ...config.PlannedChange) {
	f.t.Helper()
	c := &config.Config{Generation: generation, ChangeID: fmt.Sprint("c", generation), AcceptedAt: time.Now(), Changes: changes}
	for i, name := range testDomains {
		c.Domains = append(c.Domains, config.FailureDomain{Name: name, Region: "mauricie", Index: uint8(i)})
	}
	data, err := c.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.mu.Lock()
	version := f.store.objects[config.ObjectKey].Version
	f.store.mu.Unlock()
	if _, err := f.store.Put(context.Background(), config.ObjectKey, data, version); err != nil {
		f.t.Fatal(err)
	}
}

func (n *testNode) generationInForce() uint64 { return n.Board.View.Get().Generation }

// memberView returns what n knows of another node.
func (n *testNode) memberView(other *testNode) (membership.Member, bool) {
	for _, m := range n.Board.Members.Get().Members {
		if m.ID == other.opts.Self.ID {
			return m, true
		}
	}
	return membership.Member{}, false
}
