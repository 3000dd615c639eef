// Package fabric is a stand-in for the packet-spraying network in front of the
// balancers. It listens on the service addresses, sends each packet of a caller
// to a randomly chosen live balancer, and forwards packets from balancers to
// callers with the service address as source.
//
// The fabric opens one UDP socket for each pair of caller and service, so that a
// balancer sees a distinct source address for each. All traffic stays on
// 127.0.0.0/8.
//
// A balancer is live while its health endpoint answers 200. If no balancer is
// live, the fabric fails open: it sends to the balancers whose probes timed out,
// but not to those that reported themselves unhealthy or refused the connection.
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

// receiveBufferBytes is the receive buffer size requested for each listening
// socket. The kernel's default overflows when many callers start together.
const receiveBufferBytes = 1 << 20

// Options configure a Fabric.
type Options struct {
	Services    []netip.AddrPort // service addresses to listen on
	Balancers   []Balancer       // initial balancers
	Seed        uint64           // seed of the choice of balancers and of losses
	Delay       time.Duration    // one-way delay of each packet
	Loss        float64          // share of packets lost in each direction, 0 to 1
	MaxCallers  int              // limit of open caller sockets; 0 means DefaultMaxCallers
	IdleTimeout time.Duration    // after which an unused caller socket is closed; 0 means DefaultIdleTimeout
}

// Fabric forwards packets between callers and balancers. Its methods are safe for
// concurrent use.
type Fabric struct {
	opts              Options
	pool              *pool
	listeners         []*serviceListener
	openCallerSockets atomic.Int64
	counts            counters
	stop              chan struct{}
	closeOnce         sync.Once
	running           sync.WaitGroup
}

// counters count packets by reason; see Ledger.
type counters struct {
	noBalancer, failedOpen, lost, refusedCallers, stray, overflow atomic.Uint64
}

// New returns a fabric that is not yet listening. It returns an error of kind
// SettingInvalid if opts are invalid.
func New(opts Options) (*Fabric, error) {
	if opts.MaxCallers == 0 {
		opts.MaxCallers = DefaultMaxCallers
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = DefaultIdleTimeout
	}
	if err := validate(opts); err != nil {
		return nil, err
	}
	f := &Fabric{opts: opts, stop: make(chan struct{}), pool: newPool(opts.Services)}
	for _, b := range opts.Balancers {
		f.pool.add(b)
	}
	return f, nil
}

func validate(opts Options) error {
	if len(opts.Services) == 0 {
		return errkind.New(errkind.SettingInvalid, "service: expected at least one address")
	}
	for _, s := range opts.Services {
		if !s.Addr().IsLoopback() || !s.Addr().Is4() {
			return errkind.Errorf(errkind.SettingInvalid, "service %s: expected an address of 127.0.0.0/8", s)
		}
	}
	if opts.Loss < 0 || opts.Loss >= 1 {
		return errkind.Errorf(errkind.SettingInvalid, "loss %g: expected 0 or more and below 1", opts.Loss)
	}
	if opts.Delay < 0 || opts.IdleTimeout < 0 || opts.MaxCallers < 0 {
		return errkind.New(errkind.SettingInvalid, "delay, idle timeout and callers: expected 0 or more")
	}
	return nil
}

// Start listens on the service addresses and forwards packets until Close. Its
// errors have kind SettingInvalid.
func (f *Fabric) Start() error {
	for i, service := range f.opts.Services {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(service))
		if err != nil {
			f.Close()
			return errkind.Wrap(err, errkind.SettingInvalid, "listen on service address")
		}
		_ = conn.SetReadBuffer(receiveBufferBytes)
		f.listeners = append(f.listeners, newServiceListener(f, i, conn))
	}
	for _, l := range f.listeners {
		f.goTracked(l.readLoop)
		f.goTracked(l.delayQueue.sendLoop)
	}
	f.goTracked(f.closeIdleLoop)
	f.goTracked(f.probeLoop)
	return nil
}

// goTracked runs run in a goroutine that Close waits for.
func (f *Fabric) goTracked(run func()) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		run()
	}()
}

// Close closes all sockets and waits for all goroutines of the fabric. It may be
// called more than once.
func (f *Fabric) Close() {
	f.closeOnce.Do(func() { close(f.stop) })
	for _, l := range f.listeners {
		l.close()
	}
	f.running.Wait()
}

// Add adds a balancer. It replaces a balancer of the same ID, whose counts
// continue.
func (f *Fabric) Add(b Balancer) { f.pool.add(b) }

// Remove stops sending packets to a balancer. Packets that it sends to callers
// are still forwarded. Its counts stay in the ledger.
func (f *Fabric) Remove(id string) { f.pool.remove(id) }

// closeIdleLoop closes caller sockets that were unused for IdleTimeout.
func (f *Fabric) closeIdleLoop() {
	tick := time.NewTicker(max(f.opts.IdleTimeout/4, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case now := <-tick.C:
			for _, l := range f.listeners {
				l.closeIdle(now.Add(-f.opts.IdleTimeout))
			}
		}
	}
}
