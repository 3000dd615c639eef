// Package balancer runs the balancer of the request path: it forwards callers'
// packets to agents and agents' packets back to callers. It must keep no state
// for each flow.
package balancer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/panics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/connid"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/steering"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

// Forwarder carries packets between service addresses and the tunnel.
type Forwarder struct {
	bindHost  netip.Addr // invalid: bind to the services' own addresses
	listenUDP udp.ListenFunc
	logger    *event.Logger
	counters  *metrics.Balancer
	openings  *steering.Openings
	tunnel    *tunnelSocket

	table atomic.Pointer[forwardingTable]

	mu             sync.Mutex // guards what Apply changes
	listeners      map[netip.AddrPort]*listener
	observations   map[netip.AddrPort]*steering.Observations
	done           sync.WaitGroup
	closed         bool
	senderReplaced time.Time // when the sending socket was last replaced
}

// sentSampleInterval is the interval, in packets of one listener, at which the
// send time is recorded, so that most packets need no map lookup.
const sentSampleInterval = 16

// forwardingTable is the state that the packet loops read. Apply replaces it as a
// whole.
type forwardingTable struct {
	router       steering.Router
	codec        *tunnel.Codec
	generation   uint64
	leaving      bool
	listeners    map[uint32]*listener
	observations map[netip.AddrPort]*steering.Observations
	domains      map[netip.AddrPort]uint8 // failure domain of each agent
}

// listener is the socket of one service address.
type listener struct {
	socket  udp.Socket
	service atomic.Pointer[steering.Service]
	packets uint64 // forwarded so far; used by forwardLoop only
}

// Plan is the configuration of the packet loops.
type Plan struct {
	KeyRing    *keyring.Ring
	Generation uint64
	Mode       steering.Mode
	Leaving    bool // hellos are not answered, so that agents stop sending return traffic here
	Policy     steering.Policy
	Domains    steering.DomainDropTimes
	Services   []ServicePlan
}

// ServicePlan is one service address with all agents of the service, whether or
// not they accept openings. Packets may come from all of them.
type ServicePlan struct {
	Address    netip.AddrPort
	Candidates []Candidate
}

// Candidate is an agent of a service.
type Candidate struct {
	ID              string
	Tunnel          netip.AddrPort
	Domain          uint8
	Weight          float64
	Suspect         bool
	AcceptsOpenings bool // false: only packets of established flows are forwarded
}

// ForwarderOptions configure a Forwarder.
type ForwarderOptions struct {
	TunnelListen netip.AddrPort // IPv4 address of the tunnel to agents
	BindHost     netip.Addr     // bound in place of the services' own addresses; invalid for those
	ListenUDP    udp.ListenFunc
	Logger       *event.Logger
	Metrics      *metrics.Balancer
}

// NewForwarder opens the tunnel socket. It forwards nothing before Apply.
func NewForwarder(o ForwarderOptions) (*Forwarder, error) {
	f := &Forwarder{
		bindHost:     o.BindHost,
		listenUDP:    o.ListenUDP,
		logger:       o.Logger,
		counters:     o.Metrics,
		openings:     steering.NewOpenings(),
		listeners:    map[netip.AddrPort]*listener{},
		observations: map[netip.AddrPort]*steering.Observations{},
	}
	f.table.Store(&forwardingTable{})
	socket, err := f.listenUDP(o.TunnelListen)
	if err != nil {
		return nil, err
	}
	f.tunnel = newTunnelSocket(socket)
	f.done.Go(func() { f.returnLoop(socket) })
	return f, nil
}

// TunnelAddress returns the address that agents reach this balancer at.
func (f *Forwarder) TunnelAddress() netip.AddrPort { return f.tunnel.address }

// Apply puts a plan in force. Sockets of services that are no longer listed are
// closed. If an address cannot be opened, Apply returns an error and retries at
// the next call; the other services are not affected.
func (f *Forwarder) Apply(plan Plan) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	next := &forwardingTable{
		router: steering.Router{
			Codec:    connid.NewCodec(plan.KeyRing),
			Domains:  plan.Domains,
			Mode:     plan.Mode,
			Policy:   plan.Policy,
			Openings: f.openings,
		},
		codec:        tunnel.NewCodec(plan.KeyRing),
		generation:   plan.Generation,
		leaving:      plan.Leaving,
		listeners:    map[uint32]*listener{},
		observations: map[netip.AddrPort]*steering.Observations{},
		domains:      map[netip.AddrPort]uint8{},
	}
	var firstErr error
	wanted := map[netip.AddrPort]bool{}
	for _, sp := range plan.Services {
		wanted[sp.Address] = true
		l, err := f.openListener(sp.Address, f.registerAgents(sp, next))
		if err != nil {
			firstErr = errkind.Wrap(err, errkind.Of(err), "service address")
			continue
		}
		next.listeners[l.service.Load().ID] = l
	}
	f.observations = next.observations
	f.table.Store(next)
	f.closeListenersExcept(wanted)
	return firstErr
}

// Close closes all sockets and waits for the packet loops.
func (f *Forwarder) Close() {
	f.mu.Lock()
	f.closed = true
	f.closeListenersExcept(nil)
	f.tunnel.close()
	f.mu.Unlock()
	f.done.Wait()
}

// LastContacts returns when the last packet of each agent came, as Unix
// nanoseconds.
func (f *Forwarder) LastContacts() map[netip.AddrPort]int64 {
	contacts := map[netip.AddrPort]int64{}
	for address, observed := range f.table.Load().observations {
		if at := observed.Heard.Load(); at != 0 {
			contacts[address] = at
		}
	}
	return contacts
}

// recordDrop counts and logs a dropped packet.
func (f *Forwarder) recordDrop(kind errkind.Kind) {
	f.counters.Drop(kind)
	f.logger.EmitError(event.PacketDropped, errkind.New(kind, "packet dropped"), nil)
}

// protect calls handle and logs a panic, which ends the handling of one packet only.
// Handling a packet changes nothing but counters and the times of contacts.
func (f *Forwarder) protect(handle func()) {
	_, _ = panics.Handle(f.logger, func() error { handle(); return nil })
}

// forwardLoop forwards callers' packets of one service to agents.
func (f *Forwarder) forwardLoop(l *listener) {
	buf := make([]byte, tunnel.MaxSize+udp.MaxDatagramBytes)
	var header tunnel.Header
	for {
		n, caller, err := l.socket.ReadFromUDPAddrPort(buf[tunnel.MaxSize:])
		if err != nil {
			return // the socket was closed
		}
		f.protect(func() { f.forward(l, buf[:tunnel.MaxSize+n], udp.Unmap(caller), &header) })
	}
}

// forward sends the datagram in buf[tunnel.MaxSize:] to an agent.
func (f *Forwarder) forward(l *listener, buf []byte, caller netip.AddrPort, header *tunnel.Header) {
	table := f.table.Load()
	svc := l.service.Load()
	d := table.router.Steer(time.Now, svc, buf[tunnel.MaxSize:])
	if d.Drop != 0 {
		f.recordDrop(d.Drop)
		return
	}
	*header = tunnel.Header{
		Type:           tunnel.Forward,
		Caller:         caller,
		Service:        svc.ID,
		Generation:     table.generation,
		Candidates:     d.Candidates,
		CandidateCount: d.CandidateCount,
	}
	if d.Opening {
		f.counters.Openings.Inc(1)
	}
	l.packets++
	if l.packets%sentSampleInterval == 1 {
		table.recordSent(time.Now(), d.Agent)
	}
	start := table.codec.Prepend(buf, tunnel.MaxSize, header)
	f.tunnel.send(buf[start:], d.Agent)
	f.counters.Forward.Inc(1)
}
