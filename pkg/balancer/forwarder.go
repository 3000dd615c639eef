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

// registerAgents registers the observations and domains of all agents of a
// service in next, keeping earlier observations, and returns the agents that
// accept openings.
func (f *Forwarder) registerAgents(sp ServicePlan, next *forwardingTable) []steering.Agent {
	var candidates []steering.Agent
	for _, c := range sp.Candidates {
		observed := f.observations[c.Tunnel]
		if observed == nil {
			observed = &steering.Observations{}
		}
		next.observations[c.Tunnel] = observed
		next.domains[c.Tunnel] = c.Domain
		if c.AcceptsOpenings {
			candidates = append(candidates, steering.Agent{ID: c.ID, Tunnel: c.Tunnel, Weight: c.Weight, Suspect: c.Suspect, Observations: observed})
		}
	}
	return candidates
}

// openListener opens the socket of a service address, or updates the agents of an
// open one.
func (f *Forwarder) openListener(address netip.AddrPort, agents []steering.Agent) (*listener, error) {
	if l, ok := f.listeners[address]; ok {
		l.service.Store(l.service.Load().WithAgents(agents))
		return l, nil
	}
	bind := address
	if f.bindHost.IsValid() {
		bind = netip.AddrPortFrom(f.bindHost, address.Port())
	}
	socket, err := f.listenUDP(bind)
	if err != nil {
		return nil, err
	}
	l := &listener{socket: socket}
	l.service.Store(steering.NewService(address, agents))
	f.listeners[address] = l
	f.logger.Emit(event.ListenerChanged, event.Fields{"service_address": address.String(), "bound": bind.String(), "open": true})
	f.done.Go(func() { f.forwardLoop(l) })
	return l, nil
}

// closeListenersExcept closes the sockets of all service addresses not in keep.
func (f *Forwarder) closeListenersExcept(keep map[netip.AddrPort]bool) {
	for address, l := range f.listeners {
		if keep[address] {
			continue
		}
		l.socket.Close()
		delete(f.listeners, address)
		f.logger.Emit(event.ListenerChanged, event.Fields{"service_address": address.String(), "open": false})
	}
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

// recordSent records when a packet was last sent to an agent.
func (t *forwardingTable) recordSent(now time.Time, agent netip.AddrPort) {
	if observed := t.observations[agent]; observed != nil {
		observed.Sent.Store(now.UnixNano())
	}
}

// returnLoop forwards agents' packets back to callers and records the load that
// agents report.
func (f *Forwarder) returnLoop(socket udp.Socket) {
	buf := make([]byte, udp.MaxDatagramBytes+tunnel.MaxSize)
	var header tunnel.Header
	for {
		n, agent, err := socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the socket was closed
		}
		f.protect(func() { f.handleAgentPacket(socket, buf[:n], udp.Unmap(agent), &header) })
	}
}

// handleAgentPacket records the contact with an agent and handles its packet.
func (f *Forwarder) handleAgentPacket(socket udp.Socket, datagram []byte, agent netip.AddrPort, header *tunnel.Header) {
	table := f.table.Load()
	if table.codec == nil {
		return // no plan yet
	}
	payload, kind := table.codec.Parse(datagram, header)
	if kind != 0 {
		f.recordDrop(kind)
		return
	}
	now := time.Now().UnixNano()
	if observed := table.observations[agent]; observed != nil {
		observed.Heard.Store(now)
		observed.Flows.Store(int64(header.Load.Flows))
	}
	switch header.Type {
	case tunnel.Return:
		f.returnToCaller(table, now, agent, header, payload)
	case tunnel.Hello:
		f.answerHello(socket, table, agent, header.Service)
	default:
		f.recordDrop(errkind.TunnelMalformed)
	}
}

func (f *Forwarder) returnToCaller(table *forwardingTable, now int64, agent netip.AddrPort, header *tunnel.Header, payload []byte) {
	l := table.listeners[header.Service]
	if l == nil {
		f.recordDrop(errkind.PacketWrongTarget)
		return
	}
	if domain, ok := table.domains[agent]; ok {
		if dropTime := table.router.Domains[domain]; dropTime != 0 && now >= dropTime {
			f.recordDrop(errkind.PacketDomainOut)
			return
		}
	}
	if _, err := l.socket.WriteToUDPAddrPort(payload, header.Caller); err == nil {
		f.counters.Return.Inc(1)
	}
}

func (f *Forwarder) answerHello(socket udp.Socket, table *forwardingTable, agent netip.AddrPort, service uint32) {
	if table.leaving || table.router.Mode == steering.ForwardNone {
		return // return traffic that an answer attracts would soon be lost
	}
	var buf [tunnel.MaxSize]byte
	header := tunnel.Header{Type: tunnel.HelloAck, Service: service, Generation: table.generation}
	start := table.codec.Prepend(buf[:], tunnel.MaxSize, &header)
	_, _ = socket.WriteToUDPAddrPort(buf[start:], agent) // if it is lost, the agent's next hello is answered
}
