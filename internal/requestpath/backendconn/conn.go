package backendconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// conn is one connection. Only its reader goroutine reads answer headers; it also
// detects that the backend server closed the connection.
type conn struct {
	pool    *Pool
	netConn net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer

	requests int // sent so far, only by the holder of the lease

	// Guarded by the pool's lock.
	firstAnswerAt time.Time // time of the first answer; zero before
	idleSince     time.Time
	current       *exchange // request in progress, nil while idle
	ended         bool      // the reader goroutine has found no request in progress, and ends
}

// nextID returns the ID of the next request; see RequestIDHeader.
func (c *conn) nextID() string {
	c.requests++
	return strconv.Itoa(c.requests)
}

func (c *conn) start(nc net.Conn) {
	c.netConn = nc
	c.reader = bufio.NewReader(nc)
	c.writer = bufio.NewWriter(nil)
	go c.readLoop()
}

func (c *conn) readLoop() {
	for c.readAnswer() {
	}
	c.netConn.Close()
	if c.pool.remove(c) {
		c.pool.opts.OnLost(errIdleClosed)
	}
}

var errIdleClosed = errors.New("connection closed by the backend server while idle")

// readAnswer waits for the next answer and reports whether the connection can
// carry another request.
func (c *conn) readAnswer() bool {
	_, err := c.reader.Peek(1)
	x := c.currentOrEnd()
	if x == nil {
		return false // closed, or data without a request
	}
	if err == nil && !x.began.Load() {
		err = errors.New("the answer came before the request")
	}
	var resp *http.Response
	if err == nil {
		resp, err = readFinalAnswer(c.reader, x.req)
	}
	if err == nil {
		err = x.checkID(resp)
	}
	if err != nil {
		x.readFailed(err)
		return false
	}
	return x.deliver(resp)
}

// checkID returns an error if the answer names another request than this one.
func (x *exchange) checkID(resp *http.Response) error {
	id := resp.Header.Get(RequestIDHeader)
	resp.Header.Del(RequestIDHeader)
	if id != "" && id != x.id {
		return fmt.Errorf("answer to request %.20q instead of %s", id, x.id)
	}
	return nil
}

// readFinalAnswer reads an answer and skips interim (1xx) ones.
func readFinalAnswer(in *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(in, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("unexpected answer 101 Switching Protocols")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// currentOrEnd returns the request in progress. If there is none, the connection takes no further
// one, because nobody would read its answer.
func (c *conn) currentOrEnd() *exchange {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.ended = c.current == nil
	return c.current
}

// setCurrent makes x the request in progress. It reports false if the connection has ended.
func (c *conn) setCurrent(x *exchange) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.ended {
		return false
	}
	c.current = x
	return true
}

// isAlive reports whether the kernel has received no close, reset or unexpected
// data on an idle connection. The reader goroutine may not have been scheduled
// since such an event.
func (c *conn) isAlive() bool {
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = err == syscall.EAGAIN
	})
	return err == nil && alive
}

// closeWrite closes the sending side, which tells the backend server that the
// request is cancelled. The connection can still be read.
func (c *conn) closeWrite() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// discardUntilClosed reads and drops data until the backend server closes the
// connection or the read deadline passes.
func (c *conn) discardUntilClosed() {
	io.Copy(io.Discard, c.reader)
}
