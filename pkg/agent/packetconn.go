package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/udp"
)

// inboxSize is the number of packets that may wait for the flow server: a few
// milliseconds at full rate. Packets beyond it are dropped; the caller
// retransmits them.
const inboxSize = 4096

// inbox queues packets for one flow server.
type inbox struct {
	packets chan packet
	buffers sync.Pool
}

type packet struct {
	caller netip.AddrPort
	data   *[]byte
}

func newInbox() *inbox {
	return &inbox{
		packets: make(chan packet, inboxSize),
		buffers: sync.Pool{New: func() any {
			b := make([]byte, 0, udp.MaxDatagramBytes)
			return &b
		}},
	}
}

// enqueue copies a packet into the queue, or drops it if the queue is full.
func (in *inbox) enqueue(caller netip.AddrPort, data []byte) {
	b := in.buffers.Get().(*[]byte)
	*b = append((*b)[:0], data...)
	select {
	case in.packets <- packet{caller, b}:
	default:
		in.buffers.Put(b)
	}
}

// packetConn is the net.PacketConn that the QUIC library reads from and writes
// to. Its remote addresses are those of the callers, not of the balancers.
type packetConn struct {
	endpoint *Endpoint
	inbox    *inbox

	mu              sync.Mutex
	deadline        time.Time
	deadlineChanged chan struct{} // closed when the deadline changes
	closed          chan struct{}
}

var _ net.PacketConn = (*packetConn)(nil)

// newPacketConn returns a packetConn that receives the packets of the endpoint's
// flows from now on.
func newPacketConn(e *Endpoint) *packetConn {
	c := &packetConn{endpoint: e, inbox: newInbox(), deadlineChanged: make(chan struct{}), closed: make(chan struct{})}
	e.inbox.Store(c.inbox)
	return c
}

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		changed, timeout := c.deadlineState()
		select {
		case <-c.closed:
			return 0, nil, net.ErrClosed
		default:
		}
		select {
		case pkt := <-c.inbox.packets:
			n := copy(p, *pkt.data)
			c.inbox.buffers.Put(pkt.data)
			return n, net.UDPAddrFromAddrPort(pkt.caller), nil
		case <-c.closed:
			return 0, nil, net.ErrClosed
		case <-timeout:
			return 0, nil, os.ErrDeadlineExceeded
		case <-changed:
		}
	}
}

func (c *packetConn) deadlineState() (changed <-chan struct{}, timeout <-chan time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadline.IsZero() {
		timeout = time.After(time.Until(c.deadline))
	}
	return c.deadlineChanged, timeout
}

// WriteTo implements net.PacketConn. A packet that no balancer can forward is
// dropped without an error, as on any network.
func (c *packetConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	c.endpoint.Reply(udp.Unmap(addr.(*net.UDPAddr).AddrPort()), p)
	return len(p), nil
}

// Close implements net.PacketConn. The endpoint stays open.
func (c *packetConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(c.endpoint.service)
}

// SetReadDeadline implements net.PacketConn.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	return nil
}

// SetDeadline implements net.PacketConn.
func (c *packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn; writes never wait.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing: the tunnel socket's buffers were set when it was
// opened. Without this method the QUIC library logs a warning.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, for the same reason as SetReadBuffer.
func (c *packetConn) SetWriteBuffer(int) error { return nil }
