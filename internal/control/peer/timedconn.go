package peer

import (
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
)

// timedConn is a connection with a timeout for each read and write, and counters of
// the bytes read and written.
type timedConn struct {
	net.Conn
	readTimeout       time.Duration // 0 for none
	bytesIn, bytesOut metrics.Counter
}

func newTimedConn(conn net.Conn, readTimeout time.Duration, registry metrics.Registry) *timedConn {
	return &timedConn{
		Conn:        conn,
		readTimeout: readTimeout,
		bytesIn:     metrics.GetOrRegisterCounter(CounterBytesIn, registry),
		bytesOut:    metrics.GetOrRegisterCounter(CounterBytesOut, registry),
	}
}

// Read implements net.Conn.
func (c *timedConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.bytesIn.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(rpcWriteTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytesOut.Inc(int64(n))
	return n, err
}
