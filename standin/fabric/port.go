package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// maxDatagramBytes is the size of the packet buffers. QUIC packets are at most
// 1,452 bytes long unless a path carries jumbo frames.
const maxDatagramBytes = 4096

// serviceListener receives the packets of one service address and holds the
// sockets of its callers.
type serviceListener struct {
	fabric       *Fabric
	serviceIndex int
	conn         *net.UDPConn
	rand         *rand.Rand // used by readLoop only
	delayQueue   *delayQueue

	mu      sync.Mutex
	sockets map[netip.AddrPort]*callerSocket
	closed  bool
}

// callerSocket sends the packets of one caller to balancers and receives the
// packets that balancers send to that caller.
type callerSocket struct {
	caller   netip.AddrPort
	conn     *net.UDPConn
	rand     *rand.Rand   // used by returnLoop only
	lastUsed atomic.Int64 // Unix time in nanoseconds of the last packet
}

func newServiceListener(f *Fabric, index int, conn *net.UDPConn) *serviceListener {
	return &serviceListener{
		fabric:       f,
		serviceIndex: index,
		conn:         conn,
		rand:         rand.New(rand.NewPCG(f.opts.Seed, uint64(index))),
		delayQueue:   newDelayQueue(f.opts.Delay, f.stop, &f.counts.overflow),
		sockets:      map[netip.AddrPort]*callerSocket{},
	}
}

// readLoop forwards packets from callers to balancers.
func (l *serviceListener) readLoop() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if l.isClosed() {
				return
			}
			continue
		}
		l.forward(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (l *serviceListener) forward(packet []byte, caller netip.AddrPort) {
	c := l.socketFor(caller)
	if c == nil {
		l.fabric.counts.refusedCallers.Add(1)
		return
	}
	c.lastUsed.Store(time.Now().UnixNano())
	current := l.fabric.pool.current.Load()
	if len(current.targets) == 0 {
		l.fabric.counts.noBalancer.Add(1)
		return
	}
	chosen := current.targets[l.rand.IntN(len(current.targets))]
	if l.fabric.drawLoss(l.rand) {
		return
	}
	if current.failedOpen {
		l.fabric.counts.failedOpen.Add(1)
	}
	chosen.forwarded.Add(1)
	l.delayQueue.send(c.conn, chosen.addrs[l.serviceIndex], packet)
}

// returnLoop forwards packets from balancers to one caller.
func (l *serviceListener) returnLoop(c *callerSocket) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if l.isSocketClosed(c) {
				return
			}
			continue
		}
		source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		e, ok := l.fabric.pool.current.Load().byAddr[source]
		if !ok {
			l.fabric.counts.stray.Add(1)
			continue
		}
		c.lastUsed.Store(time.Now().UnixNano())
		if l.fabric.drawLoss(c.rand) {
			continue
		}
		e.returned.Add(1)
		l.delayQueue.send(l.conn, c.caller, buf[:n])
	}
}

// drawLoss reports whether a packet is lost, at random, and counts it if so.
func (f *Fabric) drawLoss(r *rand.Rand) bool {
	if f.opts.Loss == 0 || r.Float64() >= f.opts.Loss {
		return false
	}
	f.counts.lost.Add(1)
	return true
}

// socketFor returns the caller's socket and opens one if needed. It returns nil
// if MaxCallers sockets are open, a socket cannot be opened, or the listener is
// closed.
func (l *serviceListener) socketFor(caller netip.AddrPort) *callerSocket {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.sockets[caller]; ok || l.closed {
		return c
	}
	if l.fabric.openCallerSockets.Load() >= int64(l.fabric.opts.MaxCallers) {
		return nil
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil
	}
	c := &callerSocket{caller: caller, conn: conn, rand: rand.New(rand.NewPCG(l.fabric.opts.Seed, uint64(caller.Port())<<16))}
	c.lastUsed.Store(time.Now().UnixNano())
	l.sockets[caller] = c
	l.fabric.openCallerSockets.Add(1)
	l.fabric.goTracked(func() { l.returnLoop(c) })
	return c
}

// closeIdle closes the sockets that were last used before the given time.
func (l *serviceListener) closeIdle(before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.sockets {
		if c.lastUsed.Load() < before.UnixNano() {
			l.closeSocket(c)
		}
	}
}

// closeSocket is called with mu held.
func (l *serviceListener) closeSocket(c *callerSocket) {
	delete(l.sockets, c.caller)
	l.fabric.openCallerSockets.Add(-1)
	c.conn.Close()
}

func (l *serviceListener) isSocketClosed(c *callerSocket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sockets[c.caller] != c
}

func (l *serviceListener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *serviceListener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.conn.Close()
	for _, c := range l.sockets {
		l.closeSocket(c)
	}
}
