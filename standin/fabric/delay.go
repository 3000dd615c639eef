package fabric

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// maxDelayedPackets is the number of packets that one service address can delay
// at a time; more are dropped.
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
func (l *delayQueue) send(conn *net.UDPConn, to netip.AddrPort, packet []byte) {
	if l.delay == 0 {
		_, _ = conn.WriteToUDPAddrPort(packet, to)
		return
	}
	buf := l.buffers.Get().(*[maxDatagramBytes]byte)
	n := copy(buf[:], packet)
	select {
	case l.packets <- delayedPacket{time.Now().Add(l.delay), conn, to, buf, n}:
	default:
		l.overflow.Add(1)
		l.buffers.Put(buf)
	}
}

// sendLoop sends queued packets when they are due, until stop is closed.
func (l *delayQueue) sendLoop() {
	for {
		select {
		case <-l.stop:
			return
		case d := <-l.packets:
			time.Sleep(time.Until(d.due))
			_, _ = d.conn.WriteToUDPAddrPort(d.buf[:d.n], d.to)
			l.buffers.Put(d.buf)
		}
	}
}
