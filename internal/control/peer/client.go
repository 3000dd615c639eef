package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/peertls"
)

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens TLS connections to peers. A nil Dial uses net.Dialer, a nil Registry
// the default registry.
type Dialer struct {
	Identity *peertls.Identity
	Dial     DialFunc
	Registry metrics.Registry
}

// dialTLS opens a connection and completes the handshake. Errors of the connection
// and the handshake have the kinds PeerDown and PeerUnauthorized.
func (d *Dialer) dialTLS(ctx context.Context, addr netip.AddrPort, protocol string) (*tls.Conn, error) {
	config, err := d.Identity.ClientConfig(protocol)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	dial := d.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	netConn, err := dial(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errkind.Wrap(err, errkind.PeerDown, "connect to "+addr.String())
	}
	conn := tls.Client(netConn, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		netConn.Close()
		return nil, errkind.Wrap(err, handshakeErrorKind(err), "handshake with "+addr.String())
	}
	return conn, nil
}

func handshakeErrorKind(err error) errkind.Kind {
	if peertls.IsCertificateRejection(err) {
		return errkind.PeerUnauthorized
	}
	return errkind.PeerDown
}

func (d *Dialer) registry() metrics.Registry {
	if d.Registry == nil {
		return metrics.DefaultRegistry
	}
	return d.Registry
}

// Client calls one peer over one connection. The first call opens the connection,
// and the first call after a failure opens a new one. It is safe for concurrent use.
type Client struct {
	dialer     *Dialer
	addr       netip.AddrPort
	connecting chan struct{} // holds one element while a call opens the connection

	mu    sync.Mutex
	conn  *jsonrpc2.Conn
	codec *codec
}

// NewClient returns a client of the peer at addr. It does not connect yet.
func NewClient(dialer *Dialer, addr netip.AddrPort) *Client {
	return &Client{dialer: dialer, addr: addr, connecting: make(chan struct{}, 1)}
}

// Pull asks the peer for changes. Its errors have the kinds PeerDown,
// PeerUnauthorized and PeerMalformed.
func (c *Client) Pull(ctx context.Context, req PullRequest) (PullResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Wait+callTimeout)
	defer cancel()
	var response PullResponse
	err := c.call(ctx, methodPull, req, &response)
	if err == nil && response.ID == "" {
		c.discard(c.currentConn())
		err = errkind.New(errkind.PeerMalformed, "response without id from "+c.addr.String())
	}
	return response, err
}

// Status requests the peer's status and decodes it into v. Its errors have the
// kinds of Pull and those with which the peer refuses the request.
func (c *Client) Status(ctx context.Context, req StatusRequest, v any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.call(ctx, methodStatus, req, v)
}

// Close closes the connection, after waiting for a call that is opening it. A later
// call opens a new one.
func (c *Client) Close() {
	c.connecting <- struct{}{}
	defer func() { <-c.connecting }()
	c.discard(c.currentConn())
}

func (c *Client) call(ctx context.Context, method string, params, result any) error {
	conn, frameCodec, err := c.connect(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		if kind, ok := remoteErrorKind(remote.Code); ok {
			return errkind.Wrap(err, kind, "call "+c.addr.String())
		}
	}
	c.discard(conn)
	return errkind.Wrap(err, callErrorKind(ctx, conn, frameCodec), "call "+c.addr.String())
}

// remoteErrorKind returns the kind with which the peer refused a call, or false if
// the code is not an error kind. An internal error of the peer counts as PeerDown.
func remoteErrorKind(code int64) (errkind.Kind, bool) {
	kind := errkind.Kind(code)
	if kind == errkind.Internal {
		return errkind.PeerDown, true
	}
	return kind, kind.Definition().Kind == kind
}

// callErrorKind returns the kind of a failed call: it distinguishes malformed
// messages, a rejected certificate and a failed connection.
func callErrorKind(ctx context.Context, conn *jsonrpc2.Conn, frameCodec *codec) errkind.Kind {
	readErr := frameCodec.readError()
	switch {
	case errkind.Is(readErr, errkind.PeerMalformed):
		return errkind.PeerMalformed
	case readErr != nil && peertls.IsCertificateRejection(readErr):
		return errkind.PeerUnauthorized
	case ctx.Err() != nil:
		return errkind.PeerDown
	}
	select {
	case <-conn.DisconnectNotify():
		return errkind.PeerDown
	default:
		return errkind.PeerMalformed // the result does not decode into the expected type
	}
}

// connect returns the connection, and opens it if there is none. Only one call at a
// time does so; the others wait for it until their ctx ends.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, *codec, error) {
	select {
	case c.connecting <- struct{}{}:
		defer func() { <-c.connecting }()
	case <-ctx.Done():
		return nil, nil, errkind.Wrap(ctx.Err(), errkind.PeerDown, "wait for the connection to "+c.addr.String())
	}
	if conn, frameCodec := c.current(); conn != nil {
		return conn, frameCodec, nil
	}
	conn, err := c.dialer.dialTLS(ctx, c.addr, ProtocolRPC)
	if err != nil {
		return nil, nil, err
	}
	frameCodec := &codec{}
	stream := jsonrpc2.NewBufferedStream(newTimedConn(conn, 0, c.dialer.registry()), frameCodec)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.codec = frameCodec
	c.conn = jsonrpc2.NewConn(context.Background(), stream, rejectCalls{}, jsonrpc2.SetLogger(discardLogger))
	return c.conn, c.codec, nil
}

// current returns the connection and its codec, or nil if there is none.
func (c *Client) current() (*jsonrpc2.Conn, *codec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn, c.codec
}

func (c *Client) currentConn() *jsonrpc2.Conn {
	conn, _ := c.current()
	return conn
}

// discard closes conn. The next call opens a new connection unless conn has been
// replaced already.
func (c *Client) discard(conn *jsonrpc2.Conn) {
	if conn == nil {
		return
	}
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.Close()
}

// rejectCalls is the handler of client connections. It closes a connection over
// which the server sends calls.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) { conn.Close() }
