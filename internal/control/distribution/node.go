package distribution

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/knapweedpier/knapweedpier/internal/base/clockoffset"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/control/isolation"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
	"github.com/knapweedpier/knapweedpier/internal/control/peertls"
)

// Options configure a Node. Self, Store, KeyRing and one of Listen and Listener are
// required.
type Options struct {
	Self     membership.Record // Peer may be unset: it is then taken from the listener
	Seeds    []netip.AddrPort  // peer addresses that are tried while no partner answers
	Store    objectstore.Store
	KeyRing  func() *keyring.Ring
	Listen   string            // TCP address
	Listener net.Listener      // instead of Listen
	Relay    http.Handler      // serves requests that peers relay to this process
	Status   StatusFunc        // answers status.get
	Logger   *event.Logger     // nil: nothing is logged
	Clock    func() time.Time  // nil: time.Now
	Dial     peer.DialFunc     // nil: net.Dialer
	Metrics  *metrics.Registry // nil: nothing is exported
}

// StatusFunc answers status.get with a value that is encoded as JSON.
type StatusFunc func(context.Context, peer.StatusRequest) (any, error)

// Node is the control plane of one process. See Board for what it publishes.
type Node struct {
	Board Board

	opts     Options
	now      func() time.Time
	log      *event.Logger
	registry gometrics.Registry
	metrics  *metrics.Control
	dialer   *peer.Dialer
	server   *peer.Server
	relay    *peer.RelayTransport

	recordsSignal    signal        // a record changed
	selfSignal       signal        // this process's record changed
	generationSignal signal        // a configuration was accepted
	publishRequested chan struct{} // Board.Members is to be updated
	partnerFailed    chan struct{} // a partner failed

	mu              sync.Mutex
	table           *membership.Table
	tracker         *isolation.Tracker
	clocks          clockoffset.Estimator
	config          encodedConfig
	configFetcher   *puller   // the one that is fetching a configuration, or nil
	platformKnownAt time.Time // last time at which the platform's state is known here, zero: never
	lastResponse    time.Time // when a partner last answered
	load            heldBackLoad
	pullers         map[netip.AddrPort]*puller
	cursors         map[netip.AddrPort]membership.Cursor
	failedAt        map[netip.AddrPort]time.Time // when a pull from this address last failed

	announceMu      sync.Mutex
	announceVersion uint64 // version of this process's announcement object, guarded by announceMu

	wg     sync.WaitGroup
	cancel context.CancelFunc
}

// New returns a node that is not started.
func New(opts Options) *Node {
	n := &Node{
		opts:             opts,
		now:              opts.Clock,
		log:              opts.Logger,
		publishRequested: make(chan struct{}, 1),
		partnerFailed:    make(chan struct{}, 1),
		pullers:          map[netip.AddrPort]*puller{},
		cursors:          map[netip.AddrPort]membership.Cursor{},
		failedAt:         map[netip.AddrPort]time.Time{},
	}
	if n.now == nil {
		n.now = time.Now
	}
	if n.log == nil {
		n.log = event.Discard()
	}
	n.initMetrics()
	n.initTable()
	identity := peertls.New(opts.KeyRing, n.now)
	n.dialer = &peer.Dialer{Identity: identity, Dial: opts.Dial, Registry: n.registry}
	n.relay = peer.NewRelayTransport(n.dialer)
	n.server = peer.NewServer(peer.ServerOptions{
		Identity: identity,
		Pull:     n.servePull,
		Status:   n.status,
		Relay:    opts.Relay,
		Logger:   n.log,
		Registry: n.registry,
	})
	return n
}

func (n *Node) status(ctx context.Context, req peer.StatusRequest) (any, error) {
	if n.opts.Status == nil {
		return nil, errkind.New(errkind.NotFound, "this process does not serve status.get")
	}
	return n.opts.Status(ctx, req)
}

// FetchStatus requests the status of the process at addr and decodes it into v.
// See peer.Client.Status.
func (n *Node) FetchStatus(ctx context.Context, addr netip.AddrPort, req peer.StatusRequest, v any) error {
	client := peer.NewClient(n.dialer, addr)
	defer client.Close()
	return client.Status(ctx, req, v)
}

// Start opens the listener and starts the controllers. Its error has kind
// SettingInvalid. The node does not stop when ctx ends; call Stop.
func (n *Node) Start(ctx context.Context) error {
	listener := n.opts.Listener
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", n.opts.Listen)
		if err != nil {
			return errkind.Wrap(err, errkind.SettingInvalid, "listen for peers on "+n.opts.Listen)
		}
	}
	if addr, ok := listener.Addr().(*net.TCPAddr); ok && !n.Self().Peer.IsValid() {
		n.SetSelf(func(r *membership.Record) { r.Peer = addr.AddrPort() })
	}
	n.startTracker()
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	n.wg.Go(func() { n.serve(listener) })
	for _, controller := range []func(context.Context){
		n.publishMembers,
		n.maintainPartners,
		n.watchPlatform,
		n.announcePeriodically,
		n.applyPlannedChanges,
		n.runHealthChecks,
	} {
		n.wg.Go(func() { controller(ctx) })
	}
	return nil
}

func (n *Node) initTable() {
	now := n.now()
	self := n.opts.Self
	if self.Incarnation == 0 {
		self.Incarnation = uint64(now.UnixNano())
	}
	n.table = membership.NewTable(self, 1+uint64(rand.Uint32()), now)
	n.Board.Members.Set(n.table.Snapshot(now))
	n.Board.PlatformReachableSince.Set(now)
	n.startTracker()
}

// startTracker starts the isolation tracker. Start calls it again, so that the
// time between New and Start does not count as time without contact.
func (n *Node) startTracker() {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.table.Self()
	n.tracker = isolation.New(self.Domain, self.Region, now)
}

func (n *Node) serve(listener net.Listener) {
	if err := n.server.Serve(listener); err != nil {
		n.log.EmitError(event.PeerLost, err, event.Fields{"listener": listener.Addr().String()})
	}
}

// Stop announces that this process is gone, waits until relayed requests in
// progress have ended or ctx ends, and stops the controllers.
func (n *Node) Stop(ctx context.Context) error {
	if n.cancel == nil {
		return nil
	}
	n.SetSelf(func(r *membership.Record) { r.State = membership.StateGone })
	n.announceDeparture(ctx)
	err := n.server.Shutdown(ctx)
	n.cancel()
	n.wg.Wait()
	n.relay.Close()
	return err
}

// announceDeparture announces on the platform and to all partners that this
// process is gone.
func (n *Node) announceDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { n.announceFinal(ctx) })
	n.mu.Lock()
	for _, p := range n.pullers {
		wg.Go(func() { _ = n.pushSelf(ctx, p, true) })
	}
	n.mu.Unlock()
	wg.Wait()
}

// Relay sends a request to a peer once. See peer.RelayTransport.
func (n *Node) Relay(ctx context.Context, addr netip.AddrPort, r *http.Request) (*http.Response, error) {
	return n.relay.Relay(ctx, addr, r)
}

// signal wakes all goroutines that wait for it, like a condition variable whose
// wait can be part of a select. The zero value is usable.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// notified returns a channel that is closed by the next notifyAll.
func (s *signal) notified() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *signal) notifyAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
