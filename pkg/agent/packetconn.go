package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/udp"
)

// inboxSize is the number of packets that may wait for the flow server, a few
// milliseconds at full rate. Further packets are dropped and sent again by the
// caller.
const inboxSize = 4096

// inbox queues packets for one flow server.
type inbox struct {
	packets chan packet
	free    sync.Pool
}

type packet struct {
	caller netip.AddrPort
	data   *[]byte
}

func newInbox() *inbox {
	return &inbox{
		packets: make(chan packet, inboxSize),
		free: sync.Pool{New: func() any {
			b := make([]byte, 0, udp.MaxDatagram)
			return &b
		}},
	}
}

func (in *inbox) put(caller netip.AddrPort, data []byte) {
	b := in.free.Get().(*[]byte)
	*b = append((*b)[:0], data...)
	select {
	case in.packets <- packet{caller, b}:
	default:
		in.free.Put(b)
	}
}

// packetConn is the net.PacketConn that the QUIC library reads from and writes
// to. Addresses are the callers' own.
type packetConn struct {
	endpoint *Endpoint
	inbox    *inbox

	mu       sync.Mutex
	deadline time.Time
	wake     chan struct{} // closed when the deadline changes
	closed   chan struct{}
}

var _ net.PacketConn = (*packetConn)(nil)

// newPacketConn takes over the packets of the endpoint's flows.
func newPacketConn(e *Endpoint) *packetConn {
	c := &packetConn{endpoint: e, inbox: newInbox(), wake: make(chan struct{}), closed: make(chan struct{})}
	e.deliver.Store(c.inbox)
	return c
}

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		wake, timeout := c.deadlineState()
		select {
		case <-c.closed:
			return 0, nil, net.ErrClosed
		default:
		}
		select {
		case pkt := <-c.inbox.packets:
			n := copy(p, *pkt.data)
			c.inbox.free.Put(pkt.data)
			return n, net.UDPAddrFromAddrPort(pkt.caller), nil
		case <-c.closed:
			return 0, nil, net.ErrClosed
		case <-timeout:
			return 0, nil, os.ErrDeadlineExceeded
		case <-wake:
		}
	}
}

func (c *packetConn) deadlineState() (wake <-chan struct{}, timeout <-chan time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadline.IsZero() {
		timeout = time.After(time.Until(c.deadline))
	}
	return c.wake, timeout
}

// WriteTo implements net.PacketConn. A packet that no balancer can carry is
// lost, as on any network.
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
	close(c.wake)
	c.wake = make(chan struct{})
	return nil
}

// SetDeadline implements net.PacketConn.
func (c *packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn; writes never wait.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer is asked for by the QUIC library, which logs a warning without
// it. The tunnel socket's buffers were set when it was opened.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer is the same for the other direction.
func (c *packetConn) SetWriteBuffer(int) error { return nil }
