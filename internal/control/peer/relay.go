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
	"github.com/knapweedpier/knapweedpier/internal/control/peertls"
)

// Limits of idle connections and of waits at the end of an exchange.
const (
	maxIdleConnsPerPeer = 16
	maxIdleTime         = 30 * time.Second // less than the server's relayIdleTimeout
	// earlyResponseTimeout is how long to wait for a response after the request
	// could not be written completely: a peer may respond before it has read the
	// whole request.
	earlyResponseTimeout = 200 * time.Millisecond
	// writeResultTimeout is how long to wait for the result of the write after the
	// response has been read.
	writeResultTimeout = 10 * time.Millisecond
)

// RelayTransport sends requests to peers and reuses idle connections. It never
// retries a request: net/http's Transport retries idempotent requests, which would
// break the accounting of attempts. It is safe for concurrent use.
type RelayTransport struct {
	dialer *Dialer

	mu   sync.Mutex
	idle map[netip.AddrPort][]*relayConn
}

// NewRelayTransport returns a transport that opens connections with dialer.
func NewRelayTransport(dialer *Dialer) *RelayTransport {
	return &RelayTransport{dialer: dialer, idle: map[netip.AddrPort][]*relayConn{}}
}

// relayConn is one connection. A goroutine waits for the first byte of the next
// response, so that a connection that the peer has closed is recognised before a
// request is written to it.
type relayConn struct {
	conn      *tls.Conn
	raw       *countingConn
	reader    *bufio.Reader
	firstByte chan error // receives nil when the first byte has arrived, or the error that ended the connection
	idleSince time.Time
}

// countingConn counts the writes to the network. A write is counted before it is
// made, so that a write in progress does not pass for none.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// Relay sends r to the peer at addr and returns the response, whose body the caller
// must close. An error of kind PeerDown or PeerUnauthorized means that the request
// did not run; BackendLost means that it may have run. The end of
// ctx ends the exchange, also while the body is read.
func (t *RelayTransport) Relay(ctx context.Context, addr netip.AddrPort, r *http.Request) (*http.Response, error) {
	c, err := t.getConn(ctx, addr)
	if err != nil {
		return nil, err
	}
	stopClose := context.AfterFunc(ctx, c.close)
	writesBefore := c.raw.writes.Load()
	written := make(chan error, 1)
	go func() { written <- r.Write(c.conn) }()
	resp, err := c.awaitResponse(r, written)
	if err != nil {
		stopClose()
		c.close() // nothing can be written from here on, so the count of writes is final
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, errkind.Wrap(err, c.failureKind(err, writesBefore), "relay to "+addr.String())
	}
	onEnd := func(atEOF bool) {
		t.putIdle(addr, c, atEOF && !resp.Close && requestFullyWritten(written) && stopClose())
		stopClose()
	}
	if resp.Body == http.NoBody {
		onEnd(true)
		return resp, nil
	}
	resp.Body = &relayBody{ReadCloser: resp.Body, onEnd: onEnd}
	return resp, nil
}

// requestFullyWritten reports whether the request was written completely. Otherwise
// the connection cannot be reused. The response may arrive before the result of the
// write.
func requestFullyWritten(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	case <-time.After(writeResultTimeout):
		return false
	}
}

// close closes the connection without the TLS alert that tls.Conn.Close would send
// and that would be counted as a write.
func (c *relayConn) close() { _ = c.raw.Close() }

// failureKind returns the kind of err, with which an exchange failed: PeerDown if
// nothing has been written to the network since the count of writes was
// writesBefore, PeerUnauthorized if the peer rejected the certificate, and
// BackendLost otherwise. The connection must be closed already.
func (c *relayConn) failureKind(err error, writesBefore int64) errkind.Kind {
	switch {
	case c.raw.writes.Load() == writesBefore:
		return errkind.PeerDown
	case peertls.IsRejectionByPeer(err):
		return errkind.PeerUnauthorized
	default:
		return errkind.BackendLost
	}
}

// awaitResponse reads the header of the response. If it returns one, the result of
// the write is still to be received from written.
func (c *relayConn) awaitResponse(r *http.Request, written chan error) (*http.Response, error) {
	var writeErr error
	select {
	case err := <-c.firstByte:
		return c.readResponse(r, err)
	case writeErr = <-written:
	}
	if writeErr == nil {
		written <- nil
		return c.readResponse(r, <-c.firstByte)
	}
	select {
	case err := <-c.firstByte:
		if err == nil {
			written <- writeErr
			return c.readResponse(r, nil)
		}
		if peertls.IsRejectionByPeer(err) { // tells more than the failed write that it caused
			return nil, err
		}
	case <-time.After(earlyResponseTimeout):
	}
	return nil, writeErr
}

// readResponse reads the header of the final response and skips informational ones.
// It returns err if that is not nil.
func (c *relayConn) readResponse(r *http.Request, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, r)
	for err == nil && resp.StatusCode/100 == 1 {
		resp, err = http.ReadResponse(c.reader, r)
	}
	return resp, err
}

// getConn returns an idle connection that is still usable, or a new one.
func (t *RelayTransport) getConn(ctx context.Context, addr netip.AddrPort) (*relayConn, error) {
	for {
		c := t.popIdle(addr)
		if c == nil {
			return t.dial(ctx, addr)
		}
		if c.isUsable(time.Now()) {
			return c, nil
		}
		c.close()
	}
}

func (c *relayConn) isUsable(now time.Time) bool {
	select {
	case <-c.firstByte: // closed by the peer, or sent bytes before a request
		return false
	default:
		return now.Sub(c.idleSince) < maxIdleTime
	}
}

func (t *RelayTransport) popIdle(addr netip.AddrPort) *relayConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	t.idle[addr] = conns[:len(conns)-1]
	if len(conns) == 1 {
		delete(t.idle, addr)
	}
	return c
}

func (t *RelayTransport) dial(ctx context.Context, addr netip.AddrPort) (*relayConn, error) {
	var raw *countingConn
	counting := *t.dialer
	counting.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dial := t.dialer.Dial
		if dial == nil {
			dial = (&net.Dialer{}).DialContext
		}
		conn, err := dial(ctx, network, address)
		raw = &countingConn{Conn: conn}
		return raw, err
	}
	conn, err := counting.dialTLS(ctx, addr, ProtocolRelay)
	if err != nil {
		return nil, err
	}
	c := &relayConn{conn: conn, raw: raw, reader: bufio.NewReader(conn)}
	c.startFirstByteRead()
	return c, nil
}

// startFirstByteRead starts the wait for the first byte of the next response.
func (c *relayConn) startFirstByteRead() {
	c.firstByte = make(chan error, 1)
	go func(first chan<- error) {
		_, err := c.reader.Peek(1)
		first <- err
	}(c.firstByte)
}

// putIdle keeps c as an idle connection if reusable is true and the peer has fewer
// than maxIdleConnsPerPeer, and closes it otherwise.
func (t *RelayTransport) putIdle(addr netip.AddrPort, c *relayConn, reusable bool) {
	if !reusable {
		c.close()
		return
	}
	c.idleSince = time.Now()
	c.startFirstByteRead()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[addr]) >= maxIdleConnsPerPeer {
		c.close()
		return
	}
	t.idle[addr] = append(t.idle[addr], c)
}

// Prune closes idle connections that the peer has closed or that have been idle for
// maxIdleTime. It must be called periodically, because otherwise idle connections to
// peers that get no more requests would stay open.
func (t *RelayTransport) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for addr, conns := range t.idle {
		t.idle[addr] = nil
		for _, c := range conns {
			if c.isUsable(now) {
				t.idle[addr] = append(t.idle[addr], c)
			} else {
				c.close()
			}
		}
		if len(t.idle[addr]) == 0 {
			delete(t.idle, addr)
		}
	}
}

// Close closes the idle connections. Exchanges in progress continue.
func (t *RelayTransport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conns := range t.idle {
		for _, c := range conns {
			c.close()
		}
	}
	clear(t.idle)
}

// relayBody is the body of a response. It calls onEnd once, at the end of the body or
// when the body is closed earlier.
type relayBody struct {
	io.ReadCloser
	endOnce sync.Once
	onEnd   func(atEOF bool)
}

// Read implements io.Reader.
func (b *relayBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.endOnce.Do(func() { b.onEnd(err == io.EOF) })
	}
	return n, err
}

// Close implements io.Closer. It does not drain the body: the connection closes, so
// that the peer learns at once that the body is no longer read.
func (b *relayBody) Close() error {
	b.endOnce.Do(func() { b.onEnd(false) })
	_ = b.ReadCloser.Close() // fails if the connection was closed before the end of the body
	return nil
}
