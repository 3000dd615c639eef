package peer

import (
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
)

// timedConn bounds how long a read or a write may block, and counts bytes.
type timedConn struct {
	net.Conn
	idle    time.Duration // 0: reads are not bounded
	in, out metrics.Counter
}

func newTimedConn(conn net.Conn, idle time.Duration, r metrics.Registry) *timedConn {
	return &timedConn{
		Conn: conn,
		idle: idle,
		in:   metrics.GetOrRegisterCounter(CountBytesIn, r),
		out:  metrics.GetOrRegisterCounter(CountBytesOut, r),
	}
}

// Read implements net.Conn.
func (c *timedConn) Read(p []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.in.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(rpcWrite)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.out.Inc(int64(n))
	return n, err
}
