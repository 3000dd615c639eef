// Package flowbalancer runs a balancer of packet flows: it sends callers'
// packets to the agents that hold their flows. Decisions are made in
// internal/flowpath/flowsteer.
package flowbalancer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flownode"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowsteer"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/platform"
)

const (
	// tick is how often openings without an answer are looked at.
	tick = 20 * time.Millisecond
	// minDrain is how long a stopping balancer forwards packets at least: the
	// fabric notices after two probes, half a second apart.
	minDrain = 1100 * time.Millisecond
	// quietTime is how long no packet may come until the balancer counts as
	// out of the rotation. The fabric goes on using it while too few others of
	// the failure domain are ready.
	quietTime = 300 * time.Millisecond
	// stopMargin is left of the grace period to end in.
	stopMargin = time.Second
	// stopCheck is how often a stopping balancer looks whether it may end.
	stopCheck = 50 * time.Millisecond
	// maxHeld bounds the packets that wait for the first view.
	maxHeld = 512
	// heldTimeout is how long they wait. Callers send copies later.
	heldTimeout = time.Second
)

// Balancer is one running balancer.
type Balancer struct {
	settings platform.Settings
	logger   *event.Logger
	store    follow.Store
	registry *metrics.Registry
	metrics  *metrics.FlowBalancer
	node     *flownode.Node
	callers  udp.Socket
	agents   udp.Socket
	stopping atomic.Bool

	mu       sync.Mutex
	steerer  *flowsteer.Steerer
	complete bool
	isolated bool
	held     []heldPacket
	// lastPacket is when a caller's packet came last.
	lastPacket time.Time
	out        []byte
}

type heldPacket struct {
	raw []byte
	at  time.Time
}

// New returns a balancer that was not started.
func New(s platform.Settings, store follow.Store, logger *event.Logger) *Balancer {
	registry := metrics.New()
	return &Balancer{
		settings: s,
		store:    store,
		logger:   logger,
		registry: registry,
		metrics:  metrics.NewFlowBalancer(registry),
		steerer:  flowsteer.New(s.Peer, s.Domain),
	}
}

// Start opens the sockets and starts forwarding. Errors have kind
// SettingInvalid.
func (b *Balancer) Start(context.Context) error {
	s := b.settings
	var err error
	if b.callers, err = udp.Listen(s.Packets); err != nil {
		return err
	}
	if b.agents, err = udp.Listen(s.Peer); err != nil {
		return err
	}
	name := MemberName(s.Address)
	b.node, err = flownode.Start(flownode.Options{
		Name: name, Domain: s.Domain, Role: view.BalancerRole, Peer: s.Peer, Seeds: s.Seeds, Store: b.store, Logger: b.logger,
		FirstStart: s.FirstStart,
	})
	if err != nil {
		return err
	}
	if err := b.node.Serve(s.Probe, platform.ProbeHandler(b.ready)); err != nil {
		return err
	}
	if err := b.node.Serve(s.Metrics, b.registry.TextHandler(b.measure)); err != nil {
		return err
	}
	b.node.FollowView(b.takeView)
	b.node.ReadPackets(b.callers, b.fromCaller)
	b.node.ReadMessages(b.agents, b.fromAgent)
	b.node.Go(b.runTimers)
	b.logger.Emit(event.Started, event.Fields{"role": "balancer", "name": s.Name, "domain": s.Domain, "first_start": s.FirstStart})
	return nil
}

// MemberName names the balancer at an address among the members.
func MemberName(address netip.Addr) string { return "balancer-" + address.String() }

// Stop leaves the fabric's rotation, forwards until that is noticed, and ends.
func (b *Balancer) Stop(context.Context) error {
	b.stopping.Store(true)
	began := time.Now()
	b.logger.Emit(event.Stopping, nil)
	for now := began; !b.drained(began, now); now = time.Now() {
		time.Sleep(stopCheck)
	}
	b.node.Stop()
	b.logger.Emit(event.Stopped, nil)
	return nil
}

// Reload does nothing: a balancer's settings are addresses, which stay as they
// were at the start.
func (b *Balancer) Reload(platform.Settings) {}

// drained reports whether a balancer that began to stop may end now: callers'
// packets have ceased, or the grace period is nearly over.
func (b *Balancer) drained(began, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(began) >= b.settings.Grace-stopMargin {
		return true
	}
	return now.Sub(began) >= minDrain && now.Sub(b.lastPacket) >= quietTime
}

func (b *Balancer) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete && !b.isolated && !b.stopping.Load()
}

// takeView hands a new view to the steerer.
func (b *Balancer) takeView(v view.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steerer.SetView(v)
	if b.complete || !v.Complete() {
		return
	}
	b.complete = true
	now := time.Now()
	for _, h := range b.held {
		if now.Sub(h.at) >= heldTimeout {
			continue
		}
		if err := b.forward(now, h.raw); err != nil {
			b.node.Refuse(err)
		}
	}
	b.held = nil
	s := b.settings
	b.node.Announcer.Set(view.Member{
		Name: MemberName(s.Address), Role: view.BalancerRole, Domain: s.Domain, Address: s.Peer, Peer: s.Peer,
	})
}

// fromCaller forwards one packet of a caller, or keeps it until the first view
// is known.
func (b *Balancer) fromCaller(raw []byte) error {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastPacket = now
	if b.complete {
		return b.forward(now, raw)
	}
	if len(b.held) < maxHeld {
		b.held = append(b.held, heldPacket{raw: append([]byte(nil), raw...), at: now})
	}
	return nil
}

// forward decides about one caller's packet.
func (b *Balancer) forward(now time.Time, raw []byte) error {
	p, err := platform.DecodePacket(raw)
	if err != nil {
		return err
	}
	a := b.steerer.FromCaller(now, p, raw)
	b.count(p, a)
	if p.Opening() && a.Verdict == flowsteer.Send {
		b.logger.Emit(event.FlowOffered, event.Fields{
			"flow": p.From.String(), "to": p.To.String(), "copy": p.Ack, "service": a.Service, "agent": a.To.String(),
		})
	}
	b.do(a)
	return nil
}

// count updates the counters of a caller's packet.
func (b *Balancer) count(p flow.Packet, a flowsteer.Action) {
	switch {
	case a.Verdict != flowsteer.Send:
	case p.Opening():
		b.metrics.Openings.Inc(1)
	default:
		b.metrics.Packets.Inc(1)
		if a.Message.Ask {
			b.metrics.Searches.Inc(1)
		}
	}
}

// measure updates the gauges, before they are read.
func (b *Balancer) measure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.metrics.Holders.Update(int64(b.steerer.Flows()))
	b.metrics.ViewAge.Update(b.node.Board.AgeMS())
	b.metrics.Version.Update(b.node.Board.View().Configuration.Version)
}

// fromAgent takes a message of an agent or of another balancer.
func (b *Balancer) fromAgent(m *hop.Message) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	switch m.Type {
	case hop.Placed:
		b.doAll(b.steerer.Placed(now, m))
	case hop.Hello:
		b.do(b.steerer.Hello(m))
	case hop.HelloAck:
		b.steerer.HelloAck(now, m)
	case hop.Declined:
		p, err := platform.DecodePacket(m.Packet)
		if err != nil {
			return err
		}
		b.doAll(b.steerer.Declined(now, p, m))
	}
	return nil
}

func (b *Balancer) runTimers(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.mu.Lock()
			b.steerer.SetConfirmed(b.node.Board.ConfirmedAt())
			b.doAll(b.steerer.Tick(time.Now()))
			b.noteIsolation()
			b.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// noteIsolation makes the balancer leave the rotation while it is cut off.
func (b *Balancer) noteIsolation() {
	isolated := b.steerer.Isolated()
	if isolated == b.isolated {
		return
	}
	b.isolated = isolated
	id := event.IsolationOver
	if isolated {
		id = event.Isolated
	}
	b.logger.Emit(id, nil)
}

func (b *Balancer) doAll(actions []flowsteer.Action) {
	for _, a := range actions {
		b.do(a)
	}
}

// do carries an action out.
func (b *Balancer) do(a flowsteer.Action) {
	switch a.Verdict {
	case flowsteer.Send:
		b.out = a.Message.Append(b.out[:0])
		b.write(b.agents, a.To)
	case flowsteer.Reset:
		key := a.Packet.CallerKey()
		b.metrics.Resets.Inc(a.Kind)
		b.logger.Emit(event.FlowReset, fields(key, a))
		b.out = platform.AppendReset(b.out[:0], key, a.Packet.Ack)
		b.write(b.callers, netip.AddrPortFrom(key.Caller.Addr(), b.settings.Packets.Port()))
	case flowsteer.Keep:
		if a.Kind == 0 {
			return // the answer of an agent is awaited
		}
		b.logger.Emit(event.PacketKept, fields(a.Packet.CallerKey(), a))
	case flowsteer.Drop:
		b.metrics.Drops.Inc(a.Kind)
		b.logger.Failure(event.FlowDropped, errkind.New(a.Kind, "packet dropped"), fields(a.Packet.CallerKey(), a))
	}
}

func fields(key flow.Key, a flowsteer.Action) event.Fields {
	return event.Fields{"flow": key.Caller.String(), "to": key.Service.String(), "reason": a.Kind.String(), "opening": a.Packet.Opening()}
}

// write sends b.out. A datagram that can't be sent is lost like one on the
// way: its sender repeats it.
func (b *Balancer) write(socket udp.Socket, to netip.AddrPort) {
	if _, err := socket.WriteToUDPAddrPort(b.out, to); err != nil {
		b.node.Refuse(errkind.Wrap(err, errkind.PacketNoAgent, "send a packet"))
	}
}
