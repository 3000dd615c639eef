// Package fabric is a stand-in of the packet-spraying network in front of the
// balancers. It listens on the service addresses, sends each packet of a
// caller to a randomly chosen live balancer, and returns whatever a balancer
// sends to a caller from the service address.
//
// A balancer sees a distinct source address for each caller and service,
// because the fabric opens one UDP socket for each of them. All traffic stays
// on 127.0.0.0/8.
package fabric

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Defaults of Options.
const (
	DefaultMaxCallers  = 4096
	DefaultIdleTimeout = 60 * time.Second
)

// socketBuffer is the receive buffer asked for on every listening socket, in
// bytes. The kernel's default overflows when many callers start together.
const socketBuffer = 1 << 20

// Options are the settings of a Fabric.
type Options struct {
	Services    []netip.AddrPort // service addresses to listen on
	Balancers   []Balancer       // balancers known from the start
	Seed        uint64           // of the choice of balancers and of losses
	Delay       time.Duration    // one way, added to each packet
	Loss        float64          // share of packets lost in each direction, 0 to 1
	MaxCallers  int              // caller sockets at one time; 0 means DefaultMaxCallers
	IdleTimeout time.Duration    // after which a caller's socket is closed; 0 means DefaultIdleTimeout
}

// Fabric sprays packets. Its methods are safe for concurrent use.
type Fabric struct {
	opt     Options
	pool    *pool
	ports   []*port
	callers atomic.Int64
	counts  counters
	stop    chan struct{}
	once    sync.Once
	running sync.WaitGroup
}

// counters hold what happened to packets that reached no balancer or caller.
type counters struct {
	noBalancer, lost, refusedCallers, stray, overflow atomic.Uint64
}

// New checks the options. Its errors have kind SettingInvalid.
func New(opt Options) (*Fabric, error) {
	if opt.MaxCallers == 0 {
		opt.MaxCallers = DefaultMaxCallers
	}
	if opt.IdleTimeout == 0 {
		opt.IdleTimeout = DefaultIdleTimeout
	}
	if err := check(opt); err != nil {
		return nil, err
	}
	f := &Fabric{opt: opt, stop: make(chan struct{}), pool: newPool(opt.Services)}
	for _, b := range opt.Balancers {
		f.pool.add(b)
	}
	return f, nil
}

func check(opt Options) error {
	if len(opt.Services) == 0 {
		return errkind.New(errkind.SettingInvalid, "service: expected at least one address")
	}
	for _, s := range opt.Services {
		if !s.Addr().IsLoopback() || !s.Addr().Is4() {
			return errkind.Errorf(errkind.SettingInvalid, "service %s: expected an address of 127.0.0.0/8", s)
		}
	}
	if opt.Loss < 0 || opt.Loss >= 1 {
		return errkind.Errorf(errkind.SettingInvalid, "loss %g: expected 0 or more and below 1", opt.Loss)
	}
	if opt.Delay < 0 || opt.IdleTimeout < 0 || opt.MaxCallers < 0 {
		return errkind.New(errkind.SettingInvalid, "delay, idle timeout and callers: expected 0 or more")
	}
	return nil
}

// Start listens on the service addresses. Its error has kind SettingInvalid.
func (f *Fabric) Start() error {
	for i, service := range f.opt.Services {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(service))
		if err != nil {
			f.Close()
			return errkind.Wrap(err, errkind.SettingInvalid, "listen on service address")
		}
		_ = conn.SetReadBuffer(socketBuffer)
		f.ports = append(f.ports, newPort(f, i, conn))
	}
	for _, p := range f.ports {
		f.goRun(p.readLoop)
		f.goRun(p.line.run)
	}
	f.goRun(f.sweepLoop)
	f.goRun(f.probeLoop)
	return nil
}

func (f *Fabric) goRun(run func()) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		run()
	}()
}

// Close stops forwarding and waits for every goroutine. It may be called more
// than once.
func (f *Fabric) Close() {
	f.once.Do(func() { close(f.stop) })
	for _, p := range f.ports {
		p.close()
	}
	f.running.Wait()
}

// Add makes a balancer known. A balancer with the ID of a known one replaces
// it and keeps its counts.
func (f *Fabric) Add(b Balancer) { f.pool.add(b) }

// Remove stops sending to a balancer. Packets that it still returns are
// passed on. Its counts stay in the ledger.
func (f *Fabric) Remove(id string) { f.pool.remove(id) }

// sweepLoop closes the sockets of idle callers.
func (f *Fabric) sweepLoop() {
	tick := time.NewTicker(max(f.opt.IdleTimeout/4, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case now := <-tick.C:
			for _, p := range f.ports {
				p.sweep(now.Add(-f.opt.IdleTimeout))
			}
		}
	}
}
