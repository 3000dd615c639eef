package follow_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing/synctest"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

const (
	// storeDelay is how long a call of the store in memory takes at least.
	storeDelay = 4 * time.Millisecond
	// silentCallTimeout is when a call without a response fails, after its wait.
	silentCallTimeout = 800 * time.Millisecond
)

// fault is what one host of a fleet suffers.
type fault int

const (
	noFault     fault = iota
	turnedAway        // the store refuses its calls
	cutOffStore       // its calls of the store get no response
	watchless         // the store forgets its watches, and lists as before
	silent            // it exchanges nothing with the store or with peers
	stopped           // it refuses connections of peers, and its calls fail
)

var errRefused = errors.New("refused")

// fleet is a set of followers that share a store and a network in memory. It runs inside
// a bubble of synctest, so that it has a fake clock.
type fleet struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	revision view.Revision
	events   []storedChange
	changed  chan struct{} // closed at the next change of the store
	hosts    map[netip.AddrPort]*host
}

type storedChange struct {
	section  view.Section
	revision view.Revision
	change   follow.Change
}

// host is a machine of a fleet with its process. It implements follow.Store and
// net.Listener.
type host struct {
	fleet    *fleet
	member   view.Member
	board    *view.Board
	incoming chan net.Conn
	calls    int // of the store

	fault        fault
	faultChanged chan struct{} // closed at the next change of fault
}

// newFleet returns a fleet with a configuration and no hosts.
func newFleet() *fleet {
	fl := &fleet{changed: make(chan struct{}), revision: 1, hosts: map[netip.AddrPort]*host{}}
	fl.ctx, fl.cancel = context.WithCancel(context.Background())
	fl.setConfiguration(1)
	return fl
}

// stop ends all processes.
func (fl *fleet) stop() {
	fl.cancel()
	fl.wg.Wait()
	synctest.Wait()
}

// addDomains adds failure domains, each with a balancer and some agents, and starts all
// processes. It returns their hosts, the agents of each domain in the order of their rank.
func (fl *fleet) addDomains(agents []int) []*host {
	var hosts []*host
	for d, count := range agents {
		domain := string(rune('a' + d))
		for i := range count {
			hosts = append(hosts, fl.addHost(view.AgentRole, domain, i))
		}
		hosts = append(hosts, fl.addHost(view.BalancerRole, domain, 0))
	}
	for _, h := range hosts {
		h.start()
	}
	return hosts
}

// addHost adds a host, and its member to the store. Its process does not run before start.
func (fl *fleet) addHost(role view.Role, domain string, number int) *host {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(len(fl.hosts)), 1}), 7720)
	h := &host{fleet: fl, board: view.NewBoard(), incoming: make(chan net.Conn), faultChanged: make(chan struct{})}
	h.member = view.Member{Name: fmt.Sprintf("%s-%s-%02d", role, domain, number), Role: role, Domain: domain, Address: address, Peer: address}
	fl.mu.Lock()
	fl.hosts[address] = h
	fl.mu.Unlock()
	fl.put(view.MembersSection, follow.Change{Name: h.member.Name, Member: &h.member})
	return h
}

// start runs the process of h until the fleet stops.
func (h *host) start() {
	f := follow.New(follow.Options{
		Name: h.member.Name, PeerAddress: h.member.Peer, Domain: h.member.Domain, Role: h.member.Role,
		Store: h, Board: h.board, Logger: event.Discard(), Dial: h.dial,
	})
	h.fleet.wg.Go(func() { follow.Serve(h.fleet.ctx, h, h.board, event.Discard()) })
	h.fleet.wg.Go(func() { f.Run(h.fleet.ctx) })
}

// setConfiguration writes a configuration.
func (fl *fleet) setConfiguration(version int64) {
	fl.put(view.ConfigurationSection, follow.Change{Name: "main", Configuration: &view.Configuration{Version: version}})
}

// put writes an object of the store.
func (fl *fleet) put(s view.Section, c follow.Change) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.revision = view.NewRevision(fl.revision.Era(), fl.revision.Position()+1)
	if c.Configuration != nil {
		c.Configuration.Revision = fl.revision
	}
	fl.events = append(fl.events, storedChange{section: s, revision: fl.revision, change: c})
	close(fl.changed)
	fl.changed = make(chan struct{})
}

// setFault starts or ends a fault of h.
func (h *host) setFault(f fault) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.fault = f
	close(h.faultChanged)
	h.faultChanged = make(chan struct{})
}

// currentFault returns the fault of h and a channel that is closed when it changes.
func (h *host) currentFault() (fault, <-chan struct{}) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.fault, h.faultChanged
}

// callCount returns the number of calls of the store by h.
func (h *host) callCount() int {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.calls
}

// List implements follow.Store.
func (h *host) List(ctx context.Context, s view.Section) ([]follow.Change, view.Revision, error) {
	return h.Watch(ctx, s, 0, 0)
}

// Watch implements follow.Store.
func (h *host) Watch(ctx context.Context, s view.Section, since view.Revision, wait time.Duration) ([]follow.Change, view.Revision, error) {
	h.fleet.mu.Lock()
	h.calls++
	h.fleet.mu.Unlock()
	if !sleep(ctx, storeDelay) {
		return nil, 0, ctx.Err()
	}
	deadline := after(wait)
	for {
		changes, revision, changed := h.fleet.changesSince(s, since)
		f, faultChanged := h.currentFault()
		switch {
		case f == turnedAway || f == stopped:
			return nil, 0, errkind.New(errkind.PlatformDown, "refused")
		case f == cutOffStore || f == silent || f == watchless && since > 0:
			sleep(ctx, silentCallTimeout)
			return nil, 0, errkind.New(errkind.PlatformDown, "no response")
		case since > 0 && since.Era() != revision.Era():
			return nil, 0, errkind.New(errkind.HistoryGone, "the era is over")
		case len(changes) > 0:
			return changes, revision, nil
		}
		select {
		case <-changed:
		case <-faultChanged:
		case <-deadline:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// WriteMember implements follow.Store. Members are written by addHost.
func (h *host) WriteMember(context.Context, view.Member) (view.Revision, error) {
	return 0, errRefused
}

// DeleteMember implements follow.Store.
func (h *host) DeleteMember(context.Context, string, view.Revision) error { return errRefused }

// changesSince returns the changes of a section after a revision, the store's revision,
// and a channel that is closed at the next change.
func (fl *fleet) changesSince(s view.Section, since view.Revision) ([]follow.Change, view.Revision, <-chan struct{}) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var changes []follow.Change
	for _, e := range fl.events {
		if e.section == s && e.revision > since {
			changes = append(changes, e.change)
		}
	}
	return changes, fl.revision, fl.changed
}

// dial connects h to a peer.
func (h *host) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	h.fleet.mu.Lock()
	peer := h.fleet.hosts[address]
	h.fleet.mu.Unlock()
	if f, _ := peer.currentFault(); f == stopped {
		return nil, errRefused
	}
	near, far := net.Pipe()
	select {
	case peer.incoming <- far:
		return &link{Conn: near, ends: []*host{h, peer}, closed: make(chan struct{})}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (h *host) Accept() (net.Conn, error) {
	select {
	case conn := <-h.incoming:
		return conn, nil
	case <-h.fleet.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *host) Close() error { return nil }

// Addr implements net.Listener.
func (h *host) Addr() net.Addr { return net.TCPAddrFromAddrPort(h.member.Peer) }

// link is a connection between two hosts. While one of them is silent, requests are lost
// and responses wait.
type link struct {
	net.Conn
	ends      []*host
	closeOnce sync.Once
	closed    chan struct{}
}

// silence returns a channel that is closed when the fault of a silent end changes, and nil
// if none is silent.
func (l *link) silence() <-chan struct{} {
	for _, h := range l.ends {
		if f, changed := h.currentFault(); f == silent {
			return changed
		}
	}
	return nil
}

// Read implements net.Conn.
func (l *link) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	for changed := l.silence(); changed != nil; changed = l.silence() {
		select {
		case <-changed:
		case <-l.closed:
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// Write implements net.Conn.
func (l *link) Write(p []byte) (int, error) {
	if l.silence() != nil {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

// Close implements net.Conn.
func (l *link) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Conn.Close()
}

// sleep waits for d, and reports whether ctx went on meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-after(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// after is time.After without a timer if d is not positive: the channel is ready at once.
//
// A timer of a bubble that is created or received from when it is already due runs on that
// goroutine. All timers of a bubble share one context of the race detector, which crashes
// when two goroutines use it at a time (Go 1.26).
func after(d time.Duration) <-chan time.Time {
	if d > 0 {
		return time.After(d)
	}
	ready := make(chan time.Time, 1)
	ready <- time.Now()
	return ready
}
