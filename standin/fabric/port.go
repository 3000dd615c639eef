package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// maxDatagram is the size of the buffers, in bytes. QUIC packets are at most
// 1,452 bytes long unless a path carries jumbo frames.
const maxDatagram = 4096

// port is one service address.
type port struct {
	fabric *Fabric
	index  int
	conn   *net.UDPConn
	rand   *rand.Rand // used by readLoop only
	line   *delayLine

	mu      sync.Mutex
	callers map[netip.AddrPort]*callerSocket
	closed  bool
}

// callerSocket is the socket through which one caller reaches the balancers.
type callerSocket struct {
	caller netip.AddrPort
	conn   *net.UDPConn
	rand   *rand.Rand // used by returnLoop only
	used   atomic.Int64
}

func newPort(f *Fabric, index int, conn *net.UDPConn) *port {
	return &port{
		fabric:  f,
		index:   index,
		conn:    conn,
		rand:    rand.New(rand.NewPCG(f.opt.Seed, uint64(index))),
		line:    newDelayLine(f.opt.Delay, f.stop, &f.counts.overflow),
		callers: map[netip.AddrPort]*callerSocket{},
	}
}

// readLoop carries packets from callers to balancers.
func (p *port) readLoop() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if p.isClosed() {
				return
			}
			continue
		}
		p.forward(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (p *port) forward(packet []byte, caller netip.AddrPort) {
	c := p.socketOf(caller)
	if c == nil {
		p.fabric.counts.refusedCallers.Add(1)
		return
	}
	c.used.Store(time.Now().UnixNano())
	live := p.fabric.pool.current.Load().live
	if len(live) == 0 {
		p.fabric.counts.noBalancer.Add(1)
		return
	}
	chosen := live[p.rand.IntN(len(live))]
	if p.fabric.loses(p.rand) {
		return
	}
	chosen.forwarded.Add(1)
	p.line.send(c.conn, chosen.addrs[p.index], packet)
}

// returnLoop carries packets from balancers to one caller.
func (p *port) returnLoop(c *callerSocket) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if p.dropped(c) {
				return
			}
			continue
		}
		source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		e, ok := p.fabric.pool.current.Load().byAddr[source]
		if !ok {
			p.fabric.counts.stray.Add(1)
			continue
		}
		c.used.Store(time.Now().UnixNano())
		if p.fabric.loses(c.rand) {
			continue
		}
		e.returns.Add(1)
		p.line.send(p.conn, c.caller, buf[:n])
	}
}

func (f *Fabric) loses(r *rand.Rand) bool {
	if f.opt.Loss == 0 || r.Float64() >= f.opt.Loss {
		return false
	}
	f.counts.lost.Add(1)
	return true
}

// socketOf returns the caller's socket, opening one if there is room.
func (p *port) socketOf(caller netip.AddrPort) *callerSocket {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.callers[caller]; ok || p.closed {
		return c
	}
	if p.fabric.callers.Load() >= int64(p.fabric.opt.MaxCallers) {
		return nil
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil
	}
	c := &callerSocket{caller: caller, conn: conn, rand: rand.New(rand.NewPCG(p.fabric.opt.Seed, uint64(caller.Port())<<16))}
	c.used.Store(time.Now().UnixNano())
	p.callers[caller] = c
	p.fabric.callers.Add(1)
	p.fabric.goRun(func() { p.returnLoop(c) })
	return c
}

// sweep closes the sockets that were last used before the given time.
func (p *port) sweep(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.callers {
		if c.used.Load() < before.UnixNano() {
			p.drop(c)
		}
	}
}

// drop is called with mu held.
func (p *port) drop(c *callerSocket) {
	delete(p.callers, c.caller)
	p.fabric.callers.Add(-1)
	c.conn.Close()
}

func (p *port) dropped(c *callerSocket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callers[c.caller] != c
}

func (p *port) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *port) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.conn.Close()
	for _, c := range p.callers {
		p.drop(c)
	}
}
