package backendconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// conn is one connection. Its reader goroutine is the only one that reads
// answer headers, and it notices when the backend server closes.
type conn struct {
	pool *Pool
	net  net.Conn
	in   *bufio.Reader
	out  *bufio.Writer

	// Guarded by the pool's lock.
	provenAt  time.Time // first answer; zero before
	idleSince time.Time
	current   *exchange // request in progress, nil while idle
}

func (c *conn) start(nc net.Conn) {
	c.net = nc
	c.in = bufio.NewReader(nc)
	c.out = bufio.NewWriter(nil)
	go c.readLoop()
}

func (c *conn) readLoop() {
	for c.readAnswer() {
	}
	c.net.Close()
	if c.pool.drop(c) {
		c.pool.opts.OnLost(errIdleClosed)
	}
}

var errIdleClosed = errors.New("connection closed by the backend server while idle")

// readAnswer waits for the next answer and reports whether the connection can
// carry another request.
func (c *conn) readAnswer() bool {
	_, err := c.in.Peek(1)
	x := c.exchange()
	if x == nil {
		return false // closed, or data that nobody asked for
	}
	var resp *http.Response
	if err == nil {
		resp, err = readFinal(c.in, x.req)
	}
	if err != nil {
		x.fail(err)
		return false
	}
	return x.deliver(resp)
}

// readFinal reads an answer and skips interim ones.
func readFinal(in *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(in, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("unexpected change of protocol")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func (c *conn) exchange() *exchange {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.current
}

func (c *conn) begin(x *exchange) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.current = x
}

// alive reports whether the kernel knows of no close, reset or stray data on
// an idle connection. The reader may not have been scheduled yet.
func (c *conn) alive() bool {
	sc, ok := c.net.(syscall.Conn)
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

// closeWrite tells the backend server that the caller is gone, while the
// connection can still be read.
func (c *conn) closeWrite() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// discard reads until the backend server closes.
func (c *conn) discard() {
	io.Copy(io.Discard, c.in)
}
