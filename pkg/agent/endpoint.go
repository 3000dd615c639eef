// Package agent is the process beside each backend server: it ends callers'
// flows, is the only gate to its backend server, and relays to other agents
// what this backend server cannot take.
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
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/connid"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/placement"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/quicheader"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

// Self is the state that an endpoint reports and decides by.
type Self struct {
	Load      tunnel.Load
	Full      bool // no further flow may be opened
	AcceptAll bool // baseline without placement
}

// Endpoint is the agent's end of the tunnel. Packets for the agent's own flows
// go to the flow server; openings may be passed on to another agent.
type Endpoint struct {
	socket  udp.Socket
	address netip.AddrPort
	service netip.AddrPort
	id      uint32 // tunnel.ServiceID of the service
	self    func() Self
	logger  *event.Logger

	codecs     atomic.Pointer[codecs]
	generation atomic.Uint64
	cutAt      atomic.Int64 // Unix nanoseconds from which nothing passes, 0 for never
	paused     func() bool
	balancers  *heardSet
	metrics    *metrics.Agent

	mu        sync.Mutex // guards placement
	placement *placement.Table

	deliver atomic.Pointer[inbox]
	done    sync.WaitGroup
}

type codecs struct {
	tunnel *tunnel.Codec
	connid *connid.Codec
}

// EndpointOptions configure an Endpoint.
type EndpointOptions struct {
	Listen  netip.AddrPort // IPv4 tunnel address
	Service netip.AddrPort // address of the service
	Ring    *keyring.Ring
	Self    func() Self
	Paused  func() bool // true while the process must not act on packets
	Open    udp.ListenFunc
	Logger  *event.Logger
	Metrics *metrics.Agent // default: not exported
}

// NewEndpoint opens the tunnel socket and starts to read.
func NewEndpoint(o EndpointOptions) (*Endpoint, error) {
	socket, err := o.Open(o.Listen)
	if err != nil {
		return nil, err
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewAgent(metrics.New())
	}
	e := &Endpoint{
		metrics:   o.Metrics,
		socket:    socket,
		address:   udp.LocalAddress(socket),
		service:   o.Service,
		id:        tunnel.ServiceID(o.Service),
		self:      o.Self,
		logger:    o.Logger,
		paused:    o.Paused,
		balancers: newHeardSet(),
		placement: placement.NewTable(),
	}
	e.SetRing(o.Ring)
	e.done.Go(e.readLoop)
	return e, nil
}

// Address returns the tunnel address.
func (e *Endpoint) Address() netip.AddrPort { return e.address }

// SetRing replaces the keys.
func (e *Endpoint) SetRing(ring *keyring.Ring) {
	e.codecs.Store(&codecs{tunnel: tunnel.NewCodec(ring), connid: connid.NewCodec(ring)})
}

// SetGeneration sets the configuration generation that outgoing headers carry.
func (e *Endpoint) SetGeneration(generation uint64) { e.generation.Store(generation) }

// SetCut makes the endpoint drop all packets from at on; a zero time lifts
// the cut.
func (e *Endpoint) SetCut(at time.Time) {
	if at.IsZero() {
		e.cutAt.Store(0)
		return
	}
	e.cutAt.Store(at.UnixNano())
}

// Close closes the socket and waits for the read loop.
func (e *Endpoint) Close() {
	e.socket.Close()
	e.done.Wait()
}

// PeerLoads returns the recent load reports of other agents of the service.
func (e *Endpoint) PeerLoads() map[netip.AddrPort]tunnel.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.placement.Peers(time.Now())
}

// Hello sends a sign of life with this agent's load.
func (e *Endpoint) Hello(to netip.AddrPort) {
	if e.cut(time.Now()) {
		return
	}
	var buf [tunnel.MaxSize]byte
	e.send(buf[:], &tunnel.Header{Type: tunnel.Hello}, to)
}

// send writes the datagram whose payload starts at buf[tunnel.MaxSize:]. The
// network may lose it, so a refusal by the kernel is not an error.
func (e *Endpoint) send(buf []byte, h *tunnel.Header, to netip.AddrPort) {
	h.Service = e.id
	h.Generation = e.generation.Load()
	h.Load = e.self().Load
	start := e.codecs.Load().tunnel.Prepend(buf, tunnel.MaxSize, h)
	_, _ = e.socket.WriteToUDPAddrPort(buf[start:], to)
}

func (e *Endpoint) cut(now time.Time) bool {
	at := e.cutAt.Load()
	return at != 0 && now.UnixNano() >= at
}

func (e *Endpoint) readLoop() {
	buf := make([]byte, tunnel.MaxSize+udp.MaxDatagram)
	for {
		n, from, err := e.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the socket was closed
		}
		e.receive(buf[:n], udp.Unmap(from))
	}
}

func (e *Endpoint) drop(kind errkind.Kind) {
	e.metrics.Drops.Inc(kind)
	e.logger.Failure(event.PacketDropped, errkind.New(kind, "packet dropped"), nil)
}

func (e *Endpoint) receive(datagram []byte, from netip.AddrPort) {
	var h tunnel.Header
	payload, kind := e.codecs.Load().tunnel.Parse(datagram, &h)
	now := time.Now()
	switch {
	case kind != 0:
		e.drop(kind)
	case h.Service != e.id:
		e.drop(errkind.PacketWrongTarget)
	case e.cut(now):
		e.drop(errkind.PacketDomainOut)
	case e.paused():
		// A packet that waited in the socket through a pause may belong to a
		// request whose caller has given up.
		e.drop(errkind.AgentFenced)
	default:
		e.handle(now, &h, payload, from)
	}
}

func (e *Endpoint) handle(now time.Time, h *tunnel.Header, payload []byte, from netip.AddrPort) {
	switch h.Type {
	case tunnel.Forward:
		if h.Hop == 0 {
			e.balancers.forwarded(now, from)
		}
		e.forwarded(now, h, payload)
	case tunnel.HelloAck:
		e.balancers.answered(now, from)
	case tunnel.Hello:
		e.mu.Lock()
		e.placement.Reported(now, from, h.Load)
		e.mu.Unlock()
	default:
		e.drop(errkind.TunnelMalformed)
	}
}

func (e *Endpoint) forwarded(now time.Time, h *tunnel.Header, payload []byte) {
	q, ok := quicheader.Parse(payload, connid.Size)
	if !ok {
		e.drop(errkind.PacketMalformed)
		return
	}
	fields, known := e.codecs.Load().connid.Decode(q.DCID, e.service)
	switch {
	case known && fields.Agent != e.address:
		e.drop(errkind.PacketWrongTarget)
	case known:
		// An ID of an earlier incarnation is unknown to the flow server, which
		// answers with a stateless reset.
		e.deliverPacket(h.Caller, payload)
	case !q.Long:
		e.drop(errkind.PacketUnsteerable)
	default:
		e.opening(now, h, q.DCID, payload)
	}
}

func (e *Endpoint) opening(now time.Time, h *tunnel.Header, dcid, payload []byte) {
	self := e.self()
	own := placement.Own{Load: self.Load, Full: self.Full, AcceptAll: self.AcceptAll}
	e.mu.Lock()
	verdict, next := e.placement.Decide(now, own, dcid, h.Hop)
	e.mu.Unlock()
	if verdict == placement.Accept {
		e.deliverPacket(h.Caller, payload)
		return
	}
	e.metrics.PassedOn.Inc(1)
	buf := make([]byte, tunnel.MaxSize+len(payload))
	copy(buf[tunnel.MaxSize:], payload)
	passed := *h
	passed.Hop++
	e.send(buf, &passed, next)
}

func (e *Endpoint) deliverPacket(caller netip.AddrPort, payload []byte) {
	if in := e.deliver.Load(); in != nil {
		in.put(caller, payload)
	}
}

// Reply sends a packet of one of the agent's flows to its caller, through a
// balancer that was heard from in the last second. It reports false if there
// is none.
func (e *Endpoint) Reply(caller netip.AddrPort, payload []byte) bool {
	now := time.Now()
	if e.cut(now) {
		return false
	}
	balancer, ok := e.balancers.pick(now, caller)
	if !ok {
		return false
	}
	buf := make([]byte, tunnel.MaxSize+len(payload))
	copy(buf[tunnel.MaxSize:], payload)
	e.send(buf, &tunnel.Header{Type: tunnel.Return, Caller: caller}, balancer)
	return true
}
