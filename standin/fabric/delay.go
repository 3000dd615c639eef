package fabric

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// maxDelayedPackets bounds the delay queue of one service address. Packets that
// arrive while it is full are dropped.
const maxDelayedPackets = 8192

// delayQueue sends packets after a fixed delay, in order. Without a delay it sends
// them at once.
type delayQueue struct {
	delay    time.Duration
	stop     <-chan struct{}
	overflow *atomic.Uint64
	packets  chan delayedPacket
	buffers  sync.Pool
}

type delayedPacket struct {
	due  time.Time
	conn *net.UDPConn
	to   netip.AddrPort
	buf  *[maxDatagramBytes]byte
	n    int
}

func newDelayQueue(delay time.Duration, stop <-chan struct{}, overflow *atomic.Uint64) *delayQueue {
	return &delayQueue{
		delay:    delay,
		stop:     stop,
		overflow: overflow,
		packets:  make(chan delayedPacket, maxDelayedPackets),
		buffers:  sync.Pool{New: func() any { return new([maxDatagramBytes]byte) }},
	}
}

// send sends packet after the delay. It copies packet, so that the caller may
// reuse it. A socket error counts as packet loss, from which the endpoints
// recover, and is ignored.
func (q *delayQueue) send(conn *net.UDPConn, to netip.AddrPort, packet []byte) {
	if q.delay == 0 {
		_, _ = conn.WriteToUDPAddrPort(packet, to)
		return
	}
	buf := q.buffers.Get().(*[maxDatagramBytes]byte)
	n := copy(buf[:], packet)
	select {
	case q.packets <- delayedPacket{time.Now().Add(q.delay), conn, to, buf, n}:
	default:
		q.overflow.Add(1)
		q.buffers.Put(buf)
	}
}

// sendLoop sends queued packets when they are due, until stop is closed.
func (q *delayQueue) sendLoop() {
	for {
		select {
		case <-q.stop:
			return
		case d := <-q.packets:
			time.Sleep(time.Until(d.due))
			_, _ = d.conn.WriteToUDPAddrPort(d.buf[:d.n], d.to)
			q.buffers.Put(d.buf)
		}
	}
}
