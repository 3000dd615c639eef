// Package agent runs the agent beside each backend server: it terminates
// callers' flows, is the only way to its backend server, and relays requests to
// other agents that this backend server cannot take.
package agent

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
	"github.com/knapweedpier/knapweedpier/internal/requestpath/placement"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/quicheader"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

// LocalState is the agent's own state, which an endpoint reports to balancers
// and other agents and by which it decides whether to accept openings.
type LocalState struct {
	Load      tunnel.Load
	Full      bool // no further flow may be opened
	AcceptAll bool // accept every opening: the baseline without placement
}

// Endpoint is the agent's end of the tunnel. Packets for the agent's own flows
// go to the flow server; openings may be passed on to another agent.
type Endpoint struct {
	socket     udp.Socket
	address    netip.AddrPort
	service    netip.AddrPort
	serviceID  uint32 // tunnel.ServiceID of service
	localState func() LocalState
	logger     *event.Logger

	codecs     atomic.Pointer[codecs]
	generation atomic.Uint64
	dropTime   atomic.Int64 // Unix nanoseconds from which all packets are dropped, 0 for never
	paused     func() bool
	balancers  *contactTable
	metrics    *metrics.Agent

	mu        sync.Mutex // guards placement
	placement *placement.Table

	inbox atomic.Pointer[inbox]
	done  sync.WaitGroup
}

type codecs struct {
	tunnel *tunnel.Codec
	connid *connid.Codec
}

// EndpointOptions configure an Endpoint.
type EndpointOptions struct {
	Listen     netip.AddrPort // IPv4 tunnel address
	Service    netip.AddrPort // address of the service
	KeyRing    *keyring.Ring
	LocalState func() LocalState
	Paused     func() bool // true while the process must not act on packets
	ListenUDP  udp.ListenFunc
	Logger     *event.Logger
	Metrics    *metrics.Agent // default: not exported
}

// NewEndpoint opens the tunnel socket and starts to read.
func NewEndpoint(o EndpointOptions) (*Endpoint, error) {
	socket, err := o.ListenUDP(o.Listen)
	if err != nil {
		return nil, err
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewAgent(metrics.New())
	}
	e := &Endpoint{
		metrics:    o.Metrics,
		socket:     socket,
		address:    udp.LocalAddress(socket),
		service:    o.Service,
		serviceID:  tunnel.ServiceID(o.Service),
		localState: o.LocalState,
		logger:     o.Logger,
		paused:     o.Paused,
		balancers:  newContactTable(),
		placement:  placement.NewTable(),
	}
	e.SetKeyRing(o.KeyRing)
	e.done.Go(e.readLoop)
	return e, nil
}

// Address returns the tunnel address.
func (e *Endpoint) Address() netip.AddrPort { return e.address }

// SetKeyRing replaces the keys.
func (e *Endpoint) SetKeyRing(keyRing *keyring.Ring) {
	e.codecs.Store(&codecs{tunnel: tunnel.NewCodec(keyRing), connid: connid.NewCodec(keyRing)})
}

// SetGeneration sets the configuration generation that outgoing headers carry.
func (e *Endpoint) SetGeneration(generation uint64) { e.generation.Store(generation) }

// SetDropTime makes the endpoint drop all packets from the given time on. A
// zero time lets packets pass again.
func (e *Endpoint) SetDropTime(at time.Time) {
	if at.IsZero() {
		e.dropTime.Store(0)
		return
	}
	e.dropTime.Store(at.UnixNano())
}

// Close closes the socket and waits for the read loop.
func (e *Endpoint) Close() {
	e.socket.Close()
	e.done.Wait()
}

// SendHello sends a hello with this agent's load.
func (e *Endpoint) SendHello(to netip.AddrPort) {
	if e.dropsPackets(time.Now()) {
		return
	}
	var buf [tunnel.MaxSize]byte
	e.send(buf[:], &tunnel.Header{Type: tunnel.Hello}, to)
}

// send writes the datagram whose payload starts at buf[tunnel.MaxSize:]. The
// network may lose it, so a refusal by the kernel is not an error.
func (e *Endpoint) send(buf []byte, h *tunnel.Header, to netip.AddrPort) {
	h.Service = e.serviceID
	h.Generation = e.generation.Load()
	h.Load = e.localState().Load
	start := e.codecs.Load().tunnel.Prepend(buf, tunnel.MaxSize, h)
	_, _ = e.socket.WriteToUDPAddrPort(buf[start:], to)
}

// dropsPackets reports whether the drop time has been reached.
func (e *Endpoint) dropsPackets(now time.Time) bool {
	at := e.dropTime.Load()
	return at != 0 && now.UnixNano() >= at
}

func (e *Endpoint) readLoop() {
	buf := make([]byte, tunnel.MaxSize+udp.MaxDatagramBytes)
	for {
		n, from, err := e.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the socket was closed
		}
		panicked, _ := panics.Handle(e.logger, func() error {
			e.receive(buf[:n], udp.Unmap(from))
			return nil
		})
		if panicked {
			e.replacePlacement()
		}
	}
}

// recordDrop counts and logs a dropped packet.
func (e *Endpoint) recordDrop(kind errkind.Kind) {
	e.metrics.Drops.Inc(kind)
	e.logger.EmitError(event.PacketDropped, errkind.New(kind, "packet dropped"), nil)
}

func (e *Endpoint) receive(datagram []byte, from netip.AddrPort) {
	var h tunnel.Header
	payload, kind := e.codecs.Load().tunnel.Parse(datagram, &h)
	now := time.Now()
	switch {
	case kind != 0:
		e.recordDrop(kind)
	case h.Service != e.serviceID:
		e.recordDrop(errkind.PacketWrongTarget)
	case e.dropsPackets(now):
		e.recordDrop(errkind.PacketDomainOut)
	case e.paused():
		// A packet that was queued in the socket during a pause may belong to a
		// request that its caller has given up.
		e.recordDrop(errkind.AgentFenced)
	default:
		e.dispatch(now, &h, payload, from)
	}
}

func (e *Endpoint) dispatch(now time.Time, h *tunnel.Header, payload []byte, from netip.AddrPort) {
	switch h.Type {
	case tunnel.Forward:
		if h.Hop == 0 {
			e.balancers.recordForward(now, from)
		}
		e.handleForwarded(now, h, payload)
	case tunnel.HelloAck:
		e.balancers.recordHelloAck(now, from)
	case tunnel.Hello:
		e.recordLoad(now, from, h.Load)
	default:
		e.recordDrop(errkind.TunnelMalformed)
	}
}

// handleForwarded delivers a packet of one of the agent's flows, or decides about
// an opening.
func (e *Endpoint) handleForwarded(now time.Time, h *tunnel.Header, payload []byte) {
	header, ok := quicheader.Parse(payload, connid.Size)
	if !ok {
		e.recordDrop(errkind.PacketMalformed)
		return
	}
	fields, known := e.codecs.Load().connid.Decode(header.DCID, e.service)
	switch {
	case known && fields.Agent != e.address:
		e.recordDrop(errkind.PacketWrongTarget)
	case known:
		// The flow server does not know connection IDs of an earlier
		// incarnation and answers them with a stateless reset.
		e.deliverPacket(h.Caller, payload)
	case !header.Long:
		e.recordDrop(errkind.PacketUnsteerable)
	default:
		e.handleOpening(now, h, header.DCID, payload)
	}
}

// handleOpening accepts a packet of an opening or passes it on to the next agent.
func (e *Endpoint) handleOpening(now time.Time, h *tunnel.Header, dcid, payload []byte) {
	local := e.localState()
	placementState := placement.LocalState{Load: local.Load, Full: local.Full, AcceptAll: local.AcceptAll}
	verdict, next := e.decidePlacement(now, placementState, dcid, h.Hop)
	if verdict == placement.Accept {
		e.deliverPacket(h.Caller, payload)
		return
	}
	e.metrics.PassedOn.Inc(1)
	buf := make([]byte, tunnel.MaxSize+len(payload))
	copy(buf[tunnel.MaxSize:], payload)
	header := *h
	header.Hop++
	e.send(buf, &header, next)
}

func (e *Endpoint) deliverPacket(caller netip.AddrPort, payload []byte) {
	if queue := e.inbox.Load(); queue != nil {
		queue.enqueue(caller, payload)
	}
}

// Reply sends a packet of one of the agent's flows to its caller, through a
// balancer that answered a hello in the last second or else the one with the
// latest contact. It reports false if no balancer is known or all packets are
// dropped.
func (e *Endpoint) Reply(caller netip.AddrPort, payload []byte) bool {
	now := time.Now()
	if e.dropsPackets(now) {
		return false
	}
	balancer, found := e.balancers.pick(now, caller)
	if !found {
		return false
	}
	buf := make([]byte, tunnel.MaxSize+len(payload))
	copy(buf[tunnel.MaxSize:], payload)
	e.send(buf, &tunnel.Header{Type: tunnel.Return, Caller: caller}, balancer)
	return true
}
