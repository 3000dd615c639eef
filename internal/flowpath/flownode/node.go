// Package flownode holds what the processes of the packet path share: the
// view, the peers' server, the announcement and the plumbing of sockets.
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
	// headerTimeout bounds how long a client may take to send a request.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds how long a client's connection may be silent.
	idleTimeout = 30 * time.Second
)

// Node runs the goroutines and listeners of one process.
type Node struct {
	Board     *view.Board
	Announcer *follow.Announcer
	Logger    *event.Logger

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	closers []func()
}

// Options are the fixed parts of a node.
type Options struct {
	Name   string
	Domain string
	Role   view.Role
	Peer   netip.AddrPort // answers peers
	Seeds  []netip.Addr   // hosts of other nodes
	Store  follow.Store
	Logger *event.Logger

	FirstStart bool // the whole system starts for the first time
}

// Start opens the peers' listener and starts following the view.
func Start(o Options) (*Node, error) {
	n := &Node{Board: view.NewBoard(), Logger: o.Logger}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	l, err := n.Listen(o.Peer)
	if err != nil {
		return nil, err
	}
	n.Go(func(ctx context.Context) { follow.Serve(ctx, l, n.Board) })
	n.Announcer = follow.NewAnnouncer(o.Store, n.Board, o.Logger)
	n.Go(n.Announcer.Run)
	var seeds []netip.AddrPort
	for _, ip := range o.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(ip, o.Peer.Port()))
	}
	f := follow.New(follow.Options{
		Name: o.Name, Self: o.Peer, Domain: o.Domain, Role: o.Role,
		Store: o.Store, Board: n.Board, Logger: o.Logger, Seeds: seeds, FirstStart: o.FirstStart,
	})
	n.Go(f.Run)
	return n, nil
}

// Go runs a loop until the node stops.
func (n *Node) Go(loop func(context.Context)) {
	n.running.Go(func() { loop(n.ctx) })
}

// Listen opens a TCP listener that is closed with the node. Errors have kind
// SettingInvalid.
func (n *Node) Listen(address netip.AddrPort) (net.Listener, error) {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.SettingInvalid, "listen on TCP "+address.String())
	}
	n.OnStop(func() { _ = l.Close() })
	return l, nil
}

// Serve answers HTTP on an address until the node stops.
func (n *Node) Serve(address netip.AddrPort, handler http.Handler) error {
	l, err := n.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.OnStop(func() { _ = server.Close() })
	n.Go(func(context.Context) {
		// Serve always ends with the error of the closed listener.
		_ = server.Serve(l)
	})
	return nil
}

// OnStop runs f when the node stops, before the loops are waited for.
func (n *Node) OnStop(f func()) { n.closers = append(n.closers, f) }

// Stop ends all loops and listeners.
func (n *Node) Stop() {
	n.cancel()
	for _, f := range n.closers {
		f()
	}
	n.running.Wait()
}
