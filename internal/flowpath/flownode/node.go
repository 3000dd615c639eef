// Package flownode runs the parts that the balancer and the agent of the packet
// path have in common: following the view, serving peers, announcing the member,
// and reading sockets. It must not depend on decisions about packets, which are
// made in flowsteer and flowgate.
package flownode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

const (
	// headerTimeout bounds how long a client may take to send the header of a
	// request.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds how long a client's connection may stay idle between
	// requests.
	idleTimeout = 30 * time.Second
)

// Node runs the goroutines and listeners of one process.
type Node struct {
	Board     *view.Board
	Announcer *follow.Announcer
	Logger    *event.Logger

	bind    func(netip.AddrPort) netip.AddrPort
	onPanic func()
	ctx     context.Context
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	closers []func()
}

// Options holds the settings of a node that stay fixed while it runs.
type Options struct {
	Name   string
	Domain string
	Role   view.Role
	Peer   netip.AddrPort                      // address of the TCP server for peers
	Bind   func(netip.AddrPort) netip.AddrPort // the address to bind for one that others reach; nil for the same
	Seeds  []netip.Addr                        // addresses of hosts that run other nodes
	Store  follow.Store
	Logger *event.Logger

	FirstStart bool // the whole system starts for the first time
	// OnPanic is called after a handler has panicked, before the next message. It
	// replaces the state that the handler may have left half changed.
	OnPanic func()
}

// Start opens the listener for peers and starts following the view. Errors have
// kind SettingInvalid.
func Start(o Options) (*Node, error) {
	n := &Node{Board: view.NewBoard(), Logger: o.Logger, onPanic: o.OnPanic, bind: o.Bind}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	l, err := n.Listen(o.Peer)
	if err != nil {
		return nil, err
	}
	n.Go(func(ctx context.Context) { follow.Serve(ctx, l, n.Board, o.Logger) })
	n.Announcer = follow.NewAnnouncer(o.Store, n.Board, o.Logger)
	n.Go(n.Announcer.Run)
	var seeds []netip.AddrPort
	for _, ip := range o.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(ip, o.Peer.Port()))
	}
	f := follow.New(follow.Options{
		Name: o.Name, PeerAddress: o.Peer, Domain: o.Domain, Role: o.Role,
		Store: o.Store, Board: n.Board, Logger: o.Logger, Seeds: seeds, FirstStart: o.FirstStart,
	})
	n.Go(f.Run)
	return n, nil
}

// Go runs loop in a goroutine. Its context is cancelled when the node stops.
func (n *Node) Go(loop func(context.Context)) {
	n.loops.Go(func() { loop(n.ctx) })
}

// Listen opens a TCP listener for an address at which others reach this node. It is closed
// when the node stops. Errors have kind SettingInvalid.
func (n *Node) Listen(address netip.AddrPort) (net.Listener, error) {
	if n.bind != nil {
		address = n.bind(address)
	}
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.SettingInvalid, "listen on TCP "+address.String())
	}
	n.OnStop(func() { _ = l.Close() })
	return l, nil
}

// Serve serves HTTP on an address until the node stops. Errors have kind
// SettingInvalid.
func (n *Node) Serve(address netip.AddrPort, handler http.Handler) error {
	l, err := n.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.OnStop(func() { _ = server.Close() })
	n.Go(func(context.Context) {
		// Serve always returns an error, here that of the closed listener.
		_ = server.Serve(l)
	})
	return nil
}

// OnStop registers f to run when the node stops, before Stop waits for the
// loops.
func (n *Node) OnStop(f func()) { n.closers = append(n.closers, f) }

// Stop ends all loops, closes all listeners and sockets, and waits for the loops.
func (n *Node) Stop() {
	n.cancel()
	for _, f := range n.closers {
		f()
	}
	n.loops.Wait()
}
