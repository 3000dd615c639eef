package fabric

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// lineLength bounds the packets in flight through one service address.
const lineLength = 8192

// delayLine sends packets after a fixed delay, in order. Without a delay it
// sends at once.
type delayLine struct {
	delay    time.Duration
	stop     <-chan struct{}
	overflow *atomic.Uint64
	queue    chan delayed
	buffers  sync.Pool
}

type delayed struct {
	due  time.Time
	conn *net.UDPConn
	to   netip.AddrPort
	buf  *[maxDatagram]byte
	n    int
}

func newDelayLine(delay time.Duration, stop <-chan struct{}, overflow *atomic.Uint64) *delayLine {
	return &delayLine{
		delay:    delay,
		stop:     stop,
		overflow: overflow,
		queue:    make(chan delayed, lineLength),
		buffers:  sync.Pool{New: func() any { return new([maxDatagram]byte) }},
	}
}

// send takes no hold of packet after it returns. Errors of a datagram socket
// are losses, which the endpoints repair.
func (l *delayLine) send(conn *net.UDPConn, to netip.AddrPort, packet []byte) {
	if l.delay == 0 {
		_, _ = conn.WriteToUDPAddrPort(packet, to)
		return
	}
	buf := l.buffers.Get().(*[maxDatagram]byte)
	n := copy(buf[:], packet)
	select {
	case l.queue <- delayed{time.Now().Add(l.delay), conn, to, buf, n}:
	default:
		l.overflow.Add(1)
		l.buffers.Put(buf)
	}
}

func (l *delayLine) run() {
	for {
		select {
		case <-l.stop:
			return
		case d := <-l.queue:
			time.Sleep(time.Until(d.due))
			_, _ = d.conn.WriteToUDPAddrPort(d.buf[:d.n], d.to)
			l.buffers.Put(d.buf)
		}
	}
}
