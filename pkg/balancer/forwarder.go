// Package balancer is the entry process: it forwards callers' packets to
// agents and agents' packets back to callers, without state for each flow.
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
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/connid"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/steering"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

// Forwarder carries packets between service addresses and the tunnel.
type Forwarder struct {
	bindHost netip.Addr // invalid: bind to the services' own addresses
	listen   udp.ListenFunc
	logger   *event.Logger
	counters *metrics.Balancer
	openings *steering.Openings
	tunnel   *tunnelSocket

	routes atomic.Pointer[routes]

	mu        sync.Mutex // guards what Apply changes
	listeners map[netip.AddrPort]*listener
	evidence  map[netip.AddrPort]*steering.Evidence
	done      sync.WaitGroup
	closed    bool
	reopened  time.Time // when the sending socket was last replaced
}

// sentSampling is how many packets pass for each one whose agent is noted, to
// keep the map lookup off the path of most packets.
const sentSampling = 16

// routes is what the packet loops read. It is replaced as a whole.
type routes struct {
	router     steering.Router
	codec      *tunnel.Codec
	generation uint64
	leaving    bool
	byID       map[uint32]*listener
	evidence   map[netip.AddrPort]*steering.Evidence
	domains    map[netip.AddrPort]uint8 // failure domain of each agent
}

// listener is the socket of one service address.
type listener struct {
	socket  udp.Socket
	service atomic.Pointer[steering.Service]
	packets uint64 // used by the forward loop only
}

// Plan is what the packet loops have to follow from now on.
type Plan struct {
	Ring       *keyring.Ring
	Generation uint64
	Mode       steering.Mode
	Leaving    bool // return traffic is not attracted any more
	Policy     steering.Policy
	Domains    steering.Domains
	Services   []ServicePlan
}

// ServicePlan is one service address with the agents that openings can go to
// and all agents that packets may come from.
type ServicePlan struct {
	Address    netip.AddrPort
	Candidates []Candidate
}

// Candidate is an agent of a service.
type Candidate struct {
	ID       string
	Tunnel   netip.AddrPort
	Domain   uint8
	Weight   float64
	Suspect  bool
	Openings bool // false: only packets of established flows are exchanged
}

// ForwarderOptions configure a Forwarder.
type ForwarderOptions struct {
	TunnelListen netip.AddrPort // IPv4 address of the tunnel to agents
	BindHost     netip.Addr     // bound in place of the services' own addresses; invalid for those
	Listen       udp.ListenFunc
	Logger       *event.Logger
	Metrics      *metrics.Balancer
}

// NewForwarder opens the tunnel socket. It forwards nothing before Apply.
func NewForwarder(o ForwarderOptions) (*Forwarder, error) {
	f := &Forwarder{
		bindHost:  o.BindHost,
		listen:    o.Listen,
		logger:    o.Logger,
		counters:  o.Metrics,
		openings:  steering.NewOpenings(),
		listeners: map[netip.AddrPort]*listener{},
		evidence:  map[netip.AddrPort]*steering.Evidence{},
	}
	f.routes.Store(&routes{})
	socket, err := f.listen(o.TunnelListen)
	if err != nil {
		return nil, err
	}
	f.tunnel = newTunnelSocket(socket)
	f.done.Go(func() { f.returnLoop(socket) })
	return f, nil
}

// TunnelAddress returns the address that agents reach this balancer at.
func (f *Forwarder) TunnelAddress() netip.AddrPort { return f.tunnel.address }

// Apply puts a plan in force. Sockets of services that are no longer listed
// are closed. An address that cannot be opened is reported and tried again at
// the next Apply; the other services are not affected.
func (f *Forwarder) Apply(plan Plan) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	next := &routes{
		router: steering.Router{
			Codec:    connid.NewCodec(plan.Ring),
			Domains:  plan.Domains,
			Mode:     plan.Mode,
			Policy:   plan.Policy,
			Openings: f.openings,
		},
		codec:      tunnel.NewCodec(plan.Ring),
		generation: plan.Generation,
		leaving:    plan.Leaving,
		byID:       map[uint32]*listener{},
		evidence:   map[netip.AddrPort]*steering.Evidence{},
		domains:    map[netip.AddrPort]uint8{},
	}
	var firstErr error
	wanted := map[netip.AddrPort]bool{}
	for _, sp := range plan.Services {
		wanted[sp.Address] = true
		l, err := f.listener(sp.Address, f.agents(sp, next))
		if err != nil {
			firstErr = errkind.Wrap(err, errkind.Of(err), "service address")
			continue
		}
		next.byID[l.service.Load().ID] = l
	}
	f.evidence = next.evidence
	f.routes.Store(next)
	f.closeUnwanted(wanted)
	return firstErr
}

// agents lists the candidates for openings and registers the evidence of all
// agents, keeping what was heard before.
func (f *Forwarder) agents(sp ServicePlan, next *routes) []steering.Agent {
	var out []steering.Agent
	for _, c := range sp.Candidates {
		ev := f.evidence[c.Tunnel]
		if ev == nil {
			ev = &steering.Evidence{}
		}
		next.evidence[c.Tunnel] = ev
		next.domains[c.Tunnel] = c.Domain
		if c.Openings {
			out = append(out, steering.Agent{ID: c.ID, Tunnel: c.Tunnel, Weight: c.Weight, Suspect: c.Suspect, Evidence: ev})
		}
	}
	return out
}

func (f *Forwarder) listener(address netip.AddrPort, agents []steering.Agent) (*listener, error) {
	if l, ok := f.listeners[address]; ok {
		l.service.Store(l.service.Load().WithAgents(agents))
		return l, nil
	}
	bind := address
	if f.bindHost.IsValid() {
		bind = netip.AddrPortFrom(f.bindHost, address.Port())
	}
	socket, err := f.listen(bind)
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

func (f *Forwarder) closeUnwanted(wanted map[netip.AddrPort]bool) {
	for address, l := range f.listeners {
		if wanted[address] {
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
	f.closeUnwanted(nil)
	f.tunnel.close()
	f.mu.Unlock()
	f.done.Wait()
}

// Heard returns when each agent was last heard, as Unix nanoseconds.
func (f *Forwarder) Heard() map[netip.AddrPort]int64 {
	out := map[netip.AddrPort]int64{}
	for address, ev := range f.routes.Load().evidence {
		if at := ev.Heard.Load(); at != 0 {
			out[address] = at
		}
	}
	return out
}

func (f *Forwarder) drop(kind errkind.Kind) {
	f.counters.Drop(kind)
	f.logger.Failure(event.PacketDropped, errkind.New(kind, "packet dropped"), nil)
}

// forwardLoop carries callers' packets of one service to agents.
func (f *Forwarder) forwardLoop(l *listener) {
	buf := make([]byte, tunnel.MaxSize+udp.MaxDatagram)
	var header tunnel.Header
	for {
		n, caller, err := l.socket.ReadFromUDPAddrPort(buf[tunnel.MaxSize:])
		if err != nil {
			return // the socket was closed
		}
		f.forward(l, buf[:tunnel.MaxSize+n], udp.Unmap(caller), &header)
	}
}

// forward sends the datagram in buf[tunnel.MaxSize:] to an agent.
func (f *Forwarder) forward(l *listener, buf []byte, caller netip.AddrPort, header *tunnel.Header) {
	r := f.routes.Load()
	svc := l.service.Load()
	d := r.router.Steer(time.Now, svc, buf[tunnel.MaxSize:])
	if d.Drop != 0 {
		f.drop(d.Drop)
		return
	}
	*header = tunnel.Header{
		Type:       tunnel.Forward,
		Caller:     caller,
		Service:    svc.ID,
		Generation: r.generation,
		Candidates: d.Candidates,
		Count:      d.Count,
	}
	if d.Opening {
		f.counters.Openings.Inc(1)
	}
	l.packets++
	if l.packets%sentSampling == 1 {
		r.noteSent(time.Now(), d.Agent)
	}
	start := r.codec.Prepend(buf, tunnel.MaxSize, header)
	f.tunnel.send(buf[start:], d.Agent)
	f.counters.Forward.Inc(1)
}

// noteSent records that an agent is being sent to.
func (r *routes) noteSent(now time.Time, agent netip.AddrPort) {
	if ev := r.evidence[agent]; ev != nil {
		ev.Sent.Store(now.UnixNano())
	}
}

// returnLoop carries agents' packets back to callers and notes what agents say
// of themselves.
func (f *Forwarder) returnLoop(socket udp.Socket) {
	buf := make([]byte, udp.MaxDatagram+tunnel.MaxSize)
	var header tunnel.Header
	for {
		n, agent, err := socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the socket was closed
		}
		f.fromAgent(socket, buf[:n], udp.Unmap(agent), &header)
	}
}

func (f *Forwarder) fromAgent(socket udp.Socket, datagram []byte, agent netip.AddrPort, header *tunnel.Header) {
	r := f.routes.Load()
	if r.codec == nil {
		return // no plan yet
	}
	payload, kind := r.codec.Parse(datagram, header)
	if kind != 0 {
		f.drop(kind)
		return
	}
	now := time.Now().UnixNano()
	if ev := r.evidence[agent]; ev != nil {
		ev.Heard.Store(now)
		ev.Flows.Store(int64(header.Load.Flows))
	}
	switch header.Type {
	case tunnel.Return:
		f.toCaller(r, now, agent, header, payload)
	case tunnel.Hello:
		f.answerHello(socket, r, agent, header.Service)
	default:
		f.drop(errkind.TunnelMalformed)
	}
}

func (f *Forwarder) toCaller(r *routes, now int64, agent netip.AddrPort, header *tunnel.Header, payload []byte) {
	l := r.byID[header.Service]
	if l == nil {
		f.drop(errkind.PacketWrongTarget)
		return
	}
	if domain, ok := r.domains[agent]; ok {
		if cut := r.router.Domains[domain]; cut != 0 && now >= cut {
			f.drop(errkind.PacketDomainOut)
			return
		}
	}
	if _, err := l.socket.WriteToUDPAddrPort(payload, header.Caller); err == nil {
		f.counters.Return.Inc(1)
	}
}

func (f *Forwarder) answerHello(socket udp.Socket, r *routes, agent netip.AddrPort, service uint32) {
	if r.leaving || r.router.Mode == steering.NothingForward {
		return // return traffic would be lost soon
	}
	var buf [tunnel.MaxSize]byte
	header := tunnel.Header{Type: tunnel.HelloAck, Service: service, Generation: r.generation}
	start := r.codec.Prepend(buf[:], tunnel.MaxSize, &header)
	_, _ = socket.WriteToUDPAddrPort(buf[start:], agent) // a lost answer is repeated with the next hello
}
