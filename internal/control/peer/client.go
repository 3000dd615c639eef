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

// Dialer opens TLS connections to peers. Dial and Registry may be nil.
type Dialer struct {
	Identity *peertls.Identity
	Dial     DialFunc
	Registry metrics.Registry
}

// open returns a connection with a completed handshake. Its errors have the
// kinds PeerDown and PeerUnauthorized.
func (d *Dialer) open(ctx context.Context, addr netip.AddrPort, protocol string) (*tls.Conn, error) {
	config, err := d.Identity.Client(protocol)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	dial := d.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	raw, err := dial(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errkind.Wrap(err, errkind.PeerDown, "connect to "+addr.String())
	}
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, errkind.Wrap(err, handshakeKind(err), "handshake with "+addr.String())
	}
	return conn, nil
}

func handshakeKind(err error) errkind.Kind {
	if peertls.Refusal(err) {
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

// Client calls one peer over one connection, which is opened by the first call
// and opened again by the call after a failure. It is safe for concurrent use.
type Client struct {
	dialer *Dialer
	addr   netip.AddrPort

	mu    sync.Mutex
	conn  *jsonrpc2.Conn
	codec *codec
}

// NewClient returns a client of the peer at addr. It does not connect yet.
func NewClient(dialer *Dialer, addr netip.AddrPort) *Client {
	return &Client{dialer: dialer, addr: addr}
}

// Pull asks the peer for changes. Its errors have the kinds PeerDown,
// PeerUnauthorized and PeerMalformed.
func (c *Client) Pull(ctx context.Context, req PullRequest) (PullAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Wait+callTimeout)
	defer cancel()
	var answer PullAnswer
	err := c.call(ctx, methodPull, req, &answer)
	if err == nil && answer.ID == "" {
		c.drop(c.current())
		err = errkind.New(errkind.PeerMalformed, "answer without id from "+c.addr.String())
	}
	return answer, err
}

// Status decodes the peer's status into v. Its errors are those of Pull and
// the kinds with which the peer refuses the request.
func (c *Client) Status(ctx context.Context, req StatusRequest, v any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.call(ctx, methodStatus, req, v)
}

// Close closes the connection. A later call opens a new one.
func (c *Client) Close() { c.drop(c.current()) }

func (c *Client) call(ctx context.Context, method string, params, result any) error {
	conn, codec, err := c.connect(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		if kind, ok := remoteKind(remote.Code); ok {
			return errkind.Wrap(err, kind, "call "+c.addr.String())
		}
	}
	c.drop(conn)
	return errkind.Wrap(err, callKind(ctx, conn, codec), "call "+c.addr.String())
}

// remoteKind is the kind with which the peer refused a call, or false if the
// code is none. A failure inside the peer counts as a peer that does not
// answer.
func remoteKind(code int64) (errkind.Kind, bool) {
	kind := errkind.Kind(code)
	if kind == errkind.Internal {
		return errkind.PeerDown, true
	}
	return kind, kind.Answer().Kind == kind
}

// callKind tells a message that does not parse from a connection that failed.
func callKind(ctx context.Context, conn *jsonrpc2.Conn, c *codec) errkind.Kind {
	ended := c.ended()
	switch {
	case errkind.Is(ended, errkind.PeerMalformed):
		return errkind.PeerMalformed
	case ended != nil && peertls.Refusal(ended):
		return errkind.PeerUnauthorized
	case ctx.Err() != nil:
		return errkind.PeerDown
	}
	select {
	case <-conn.DisconnectNotify():
		return errkind.PeerDown
	default:
		return errkind.PeerMalformed // the result has another form
	}
}

func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, *codec, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, c.codec, nil
	}
	conn, err := c.dialer.open(ctx, c.addr, ProtocolRPC)
	if err != nil {
		return nil, nil, err
	}
	c.codec = &codec{}
	stream := jsonrpc2.NewBufferedStream(newTimedConn(conn, 0, c.dialer.registry()), c.codec)
	c.conn = jsonrpc2.NewConn(context.Background(), stream, noCalls{}, jsonrpc2.SetLogger(silent))
	return c.conn, c.codec, nil
}

func (c *Client) current() *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// drop closes conn and forgets it, unless it has been replaced already.
func (c *Client) drop(conn *jsonrpc2.Conn) {
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

// noCalls closes a connection on which the called side makes calls.
type noCalls struct{}

// Handle implements jsonrpc2.Handler.
func (noCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) { conn.Close() }
