package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Limits of kept connections.
const (
	keptPerPeer = 16
	keptFor     = 30 * time.Second // less than the server's relayIdle
	// lateAnswer is how long an answer is waited for after the request could
	// not be written to its end, because a peer may refuse before reading it.
	lateAnswer = 200 * time.Millisecond
	lateReport = 10 * time.Millisecond
)

// RelayTransport sends requests to peers over kept connections. It never sends
// a request again: net/http's Transport does so for idempotent requests, which
// would break the accounting of attempts. It is safe for concurrent use.
type RelayTransport struct {
	dialer *Dialer

	mu   sync.Mutex
	kept map[netip.AddrPort][]*relayConn
}

// NewRelayTransport returns a transport without connections.
func NewRelayTransport(dialer *Dialer) *RelayTransport {
	return &RelayTransport{dialer: dialer, kept: map[netip.AddrPort][]*relayConn{}}
}

// relayConn is one connection. A goroutine waits for the first byte of the
// next answer, so that a connection that the peer closed is known to be dead
// before a request is written to it.
type relayConn struct {
	conn   *tls.Conn
	wire   *countingConn
	reader *bufio.Reader
	first  chan error // receives once the first byte, or the end, has arrived
	keptAt time.Time
}

// countingConn counts the writes to the network. A write is counted before it
// is made: one that is being made must not pass for one that was not.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// Relay sends r to the peer at addr and returns its answer, whose body must be
// closed. An error of kind PeerDown or PeerUnauthorized means that no byte of
// the request was sent; BackendLost means that it may have run. The end of ctx
// ends the exchange, also while the body is read.
func (t *RelayTransport) Relay(ctx context.Context, addr netip.AddrPort, r *http.Request) (*http.Response, error) {
	c, err := t.take(ctx, addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.close)
	before := c.wire.writes.Load()
	written := make(chan error, 1)
	go func() { written <- r.Write(c.conn) }()
	resp, err := c.await(r, written)
	if err != nil {
		stop()
		c.close() // from here on nothing can be written, so that the count is final
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, errkind.Wrap(err, c.lostKind(before), "relay to "+addr.String())
	}
	release := func(ended bool) {
		t.release(addr, c, ended && !resp.Close && sentWholly(written) && stop())
		stop()
	}
	if resp.Body == http.NoBody {
		release(true)
		return resp, nil
	}
	resp.Body = &relayBody{ReadCloser: resp.Body, release: release}
	return resp, nil
}

// sentWholly reports whether the request was written to its end, without which
// the connection cannot be kept. The answer may overtake the writer's report.
func sentWholly(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	case <-time.After(lateReport):
		return false
	}
}

// close closes the connection without the TLS alert that Close would send and
// that would be counted as a write.
func (c *relayConn) close() { _ = c.wire.Close() }

// lostKind tells whether any byte may have been handed to the network. The
// connection must be closed.
func (c *relayConn) lostKind(before int64) errkind.Kind {
	if c.wire.writes.Load() == before {
		return errkind.PeerDown
	}
	return errkind.BackendLost
}

// await reads the answer's header. It leaves the writer's report in written
// unless writing failed.
func (c *relayConn) await(r *http.Request, written chan error) (*http.Response, error) {
	var failed error
	select {
	case err := <-c.first:
		return c.answer(r, err)
	case failed = <-written:
	}
	if failed == nil {
		written <- nil
		return c.answer(r, <-c.first)
	}
	select {
	case err := <-c.first:
		if err == nil {
			written <- failed
			return c.answer(r, nil)
		}
	case <-time.After(lateAnswer):
	}
	return nil, failed
}

func (c *relayConn) answer(r *http.Request, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, r)
	for err == nil && resp.StatusCode/100 == 1 {
		resp, err = http.ReadResponse(c.reader, r)
	}
	return resp, err
}

// take returns a kept connection that is still open, or a new one.
func (t *RelayTransport) take(ctx context.Context, addr netip.AddrPort) (*relayConn, error) {
	for {
		c := t.pop(addr)
		if c == nil {
			return t.dial(ctx, addr)
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		c.close()
	}
}

func (c *relayConn) usable(now time.Time) bool {
	select {
	case <-c.first: // closed by the peer, or bytes that nobody asked for
		return false
	default:
		return now.Sub(c.keptAt) < keptFor
	}
}

func (t *RelayTransport) pop(addr netip.AddrPort) *relayConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.kept[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	t.kept[addr] = list[:len(list)-1]
	if len(list) == 1 {
		delete(t.kept, addr)
	}
	return c
}

func (t *RelayTransport) dial(ctx context.Context, addr netip.AddrPort) (*relayConn, error) {
	var wire *countingConn
	counting := *t.dialer
	counting.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dial := t.dialer.Dial
		if dial == nil {
			dial = (&net.Dialer{}).DialContext
		}
		conn, err := dial(ctx, network, address)
		wire = &countingConn{Conn: conn}
		return wire, err
	}
	conn, err := counting.open(ctx, addr, ProtocolRelay)
	if err != nil {
		return nil, err
	}
	c := &relayConn{conn: conn, wire: wire, reader: bufio.NewReader(conn)}
	c.expect()
	return c, nil
}

// expect starts to wait for the next answer.
func (c *relayConn) expect() {
	c.first = make(chan error, 1)
	go func(first chan<- error) {
		_, err := c.reader.Peek(1)
		first <- err
	}(c.first)
}

func (t *RelayTransport) release(addr netip.AddrPort, c *relayConn, keep bool) {
	if !keep {
		c.close()
		return
	}
	c.keptAt = time.Now()
	c.expect()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.kept[addr]) >= keptPerPeer {
		c.close()
		return
	}
	t.kept[addr] = append(t.kept[addr], c)
}

// Prune closes kept connections that are dead or too old. It is to be called
// now and then, since peers that are no longer used would keep theirs.
func (t *RelayTransport) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for addr, list := range t.kept {
		t.kept[addr] = nil
		for _, c := range list {
			if c.usable(now) {
				t.kept[addr] = append(t.kept[addr], c)
			} else {
				c.close()
			}
		}
		if len(t.kept[addr]) == 0 {
			delete(t.kept, addr)
		}
	}
}

// Close closes the kept connections. Exchanges in progress continue.
func (t *RelayTransport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, list := range t.kept {
		for _, c := range list {
			c.close()
		}
	}
	clear(t.kept)
}

// relayBody gives the connection back once, at the end of the body or when it
// is closed before.
type relayBody struct {
	io.ReadCloser
	once    sync.Once
	release func(ended bool)
}

// Read implements io.Reader.
func (b *relayBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.release(err == io.EOF) })
	}
	return n, err
}

// Close implements io.Closer. It does not drain the body: the peer learns at
// once that nobody reads it.
func (b *relayBody) Close() error {
	b.once.Do(func() { b.release(false) })
	_ = b.ReadCloser.Close() // fails if the connection was closed before the body's end
	return nil
}
