// Package flowbalancer runs a balancer of packet flows: it forwards callers'
// packets to the agents that hold their flows. This package does input and
// output; internal/flowpath/flowsteer makes the decisions.
package flowbalancer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flownode"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowsteer"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/linkbudget"
	"github.com/knapweedpier/knapweedpier/platform"
)

const (
	// timerInterval is how often the steerer's timers run, for example those of
	// unanswered openings.
	timerInterval = 20 * time.Millisecond
	// minDrainTime is how long a stopping balancer forwards packets at least: the
	// fabric notices after two probes, half a second apart.
	minDrainTime = 1100 * time.Millisecond
	// quietPeriod is the time without callers' packets after which the balancer
	// counts as out of the fabric's rotation. The fabric goes on using it while
	// too few other balancers of the failure domain are ready.
	quietPeriod = 300 * time.Millisecond
	// graceMargin is the part of the grace period that is kept for the shutdown
	// after the drain.
	graceMargin = time.Second
	// drainCheckInterval is how often a stopping balancer checks whether it is
	// drained.
	drainCheckInterval = 50 * time.Millisecond
	// maxHeldPackets bounds the packets held until the first complete view.
	maxHeldPackets = 512
	// heldPacketTimeout is how long a packet is held. Callers send copies later.
	heldPacketTimeout = time.Second
)

// Balancer is one running balancer.
type Balancer struct {
	settings     platform.Settings
	logger       *event.Logger
	store        follow.Store
	registry     *metrics.Registry
	metrics      *metrics.FlowBalancer
	node         *flownode.Node
	callerSocket udp.Socket
	nodeSocket   udp.Socket // messages from and to agents and other balancers
	stopping     atomic.Bool

	mu           sync.Mutex
	linkBudget   *linkbudget.Budget
	routes       map[netip.AddrPort]view.Route // of the current view
	steerer      *flowsteer.Steerer
	viewComplete bool
	isolated     bool
	heldPackets  []heldPacket
	// lastCallerPacket is when the last packet of a caller arrived.
	lastCallerPacket time.Time
	buffer           []byte
}

// heldPacket is a caller's packet that waits for the first complete view.
type heldPacket struct {
	raw        []byte
	receivedAt time.Time
}

// New returns a balancer that is not started.
func New(s platform.Settings, store follow.Store, logger *event.Logger) *Balancer {
	registry := metrics.New()
	return &Balancer{
		linkBudget: linkbudget.New(linkbudget.Options{BytesPerSecond: s.LinkRate}),
		settings:   s,
		store:      store,
		logger:     logger,
		registry:   registry,
		metrics:    metrics.NewFlowBalancer(registry),
		steerer:    flowsteer.New(s.PeerAddress, s.Domain, flowsteer.Options{LinkRate: s.LinkRate}),
	}
}

// Start opens the sockets and starts forwarding. Errors have kind
// SettingInvalid.
func (b *Balancer) Start(context.Context) error {
	s := b.settings
	var err error
	if b.callerSocket, err = udp.Listen(s.Bind(s.PacketAddress)); err != nil {
		return err
	}
	if b.nodeSocket, err = udp.Listen(s.Bind(s.PeerAddress)); err != nil {
		return err
	}
	name := MemberName(s.Address)
	b.node, err = flownode.Start(flownode.Options{
		Name: name, Domain: s.Domain, Role: view.BalancerRole, Peer: s.PeerAddress, Bind: s.Bind, Seeds: s.Seeds, Store: b.store, Logger: b.logger,
		FirstStart: s.FirstStart, OnPanic: b.replaceSteerer,
	})
	if err != nil {
		return err
	}
	if err := b.node.Serve(s.ProbeAddress, platform.ProbeHandler(b.isReady)); err != nil {
		return err
	}
	if err := b.node.Serve(s.MetricsAddress, b.registry.TextHandler(b.updateGauges)); err != nil {
		return err
	}
	b.logUnknownLinkRate()
	b.node.FollowView(b.applyView)
	b.node.ReadPackets(b.callerSocket, b.handleCallerPacket)
	b.node.ReadMessages(b.nodeSocket, b.handleMessage)
	b.node.Every(timerInterval, func() { b.tick(time.Now()) })
	b.logger.Emit(event.Started, event.Fields{"role": "balancer", "name": s.Name, "domain": s.Domain, "first_start": s.FirstStart})
	return nil
}

// replaceSteerer replaces the steerer and the link budget after a panic, which may have left
// them half changed, by ones as after a restart of the process, but with the counts, rate and refused openings
// of the link budget.
func (b *Balancer) replaceSteerer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.linkBudget = b.linkBudget.Fresh()
	b.metrics.Panics.Inc(1)
	b.steerer = flowsteer.New(b.settings.PeerAddress, b.settings.Domain, flowsteer.Options{LinkRate: b.linkBudget.Rate()})
	b.updateView()
}

// MemberName returns the member name of the balancer at an address.
func MemberName(address netip.Addr) string { return "balancer-" + address.String() }

// Stop reports the balancer as not ready, forwards until it is drained, and then
// stops it.
func (b *Balancer) Stop(context.Context) error {
	b.stopping.Store(true)
	began := time.Now()
	b.logger.Emit(event.Stopping, nil)
	for now := began; !b.isDrained(began, now); now = time.Now() {
		time.Sleep(drainCheckInterval)
	}
	b.node.Stop()
	b.logger.Emit(event.Stopped, nil)
	return nil
}

// Reload does nothing: a balancer's settings are addresses, which stay as they
// were at the start.
func (b *Balancer) Reload(platform.Settings) {}

// isDrained reports whether a balancer that began to stop may end now: callers'
// packets have ceased, or the grace period is nearly over.
func (b *Balancer) isDrained(began, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(began) >= b.settings.GracePeriod-graceMargin {
		return true
	}
	return now.Sub(began) >= minDrainTime && now.Sub(b.lastCallerPacket) >= quietPeriod
}

// isReady reports whether the fabric should send packets here.
func (b *Balancer) isReady() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.viewComplete && !b.isolated && !b.stopping.Load()
}

// applyView passes the current view to the steerer. With the first complete one, it
// forwards the held packets and announces the balancer as a member.
func (b *Balancer) applyView() {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.updateView()
	if b.viewComplete || !v.Complete() {
		return
	}
	b.viewComplete = true
	now := time.Now()
	for _, packet := range b.heldPackets {
		if now.Sub(packet.receivedAt) >= heldPacketTimeout {
			continue
		}
		if err := b.forward(now, packet.raw); err != nil {
			b.node.LogRefused(err)
		}
	}
	b.heldPackets = nil
	// The held packets arrived over up to heldPacketTimeout, but were counted at once.
	b.linkBudget = b.linkBudget.Fresh()
	s := b.settings
	b.node.Announcer.Set(view.Member{
		Name: MemberName(s.Address), Role: view.BalancerRole, Domain: s.Domain, Address: s.PeerAddress, Peer: s.PeerAddress,
	})
}

// updateView passes the current view and its confirmations to the steerer, and returns
// the view. The caller holds the lock.
func (b *Balancer) updateView() view.View {
	v, confirmedAt := b.node.Board.Snapshot()
	b.routes = v.Configuration.Routes
	b.steerer.SetView(v, confirmedAt)
	return v
}

// handleCallerPacket forwards a packet of a caller, or holds it until the first
// complete view.
func (b *Balancer) handleCallerPacket(raw []byte) error {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastCallerPacket = now
	if b.viewComplete {
		return b.forward(now, raw)
	}
	if len(b.heldPackets) < maxHeldPackets {
		b.heldPackets = append(b.heldPackets, heldPacket{raw: append([]byte(nil), raw...), receivedAt: now})
	}
	return nil
}

// forward decodes a packet of a caller and executes the steerer's decision.
func (b *Balancer) forward(now time.Time, raw []byte) error {
	p, err := platform.DecodePacket(raw)
	if err != nil {
		return err
	}
	if !b.admit(now, p, len(raw)) {
		return nil
	}
	action := b.steerer.FromCaller(now, p, raw)
	b.countPacket(p, action)
	if p.Opening() && action.Verdict == flowsteer.Send {
		b.logOpening(p, action, false)
	}
	b.execute(action)
	return nil
}

// updateGauges sets the gauges. It is called before they are read.
func (b *Balancer) updateGauges() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateLinkGauges()
	b.metrics.Holders.Update(int64(b.steerer.CachedFlows()))
	b.metrics.ViewAge.Update(b.node.Board.AgeMS())
	b.metrics.Version.Update(b.node.Board.View().Configuration.Version)
	b.metrics.StoreEra.Update(b.node.Board.View().Members.Revision.Era())
}

// handleMessage handles a message from an agent or another balancer.
func (b *Balancer) handleMessage(m *hop.Message) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	switch m.Type {
	case hop.Placed:
		b.executeAll(b.steerer.Placed(now, m))
	case hop.Hello:
		b.execute(b.steerer.AnswerHello(m))
	case hop.HelloAck:
		b.steerer.HelloAck(now, m)
	case hop.Declined:
		decode := platform.DecodePacket
		if m.Query {
			decode = platform.DecodeHeader
		}
		p, err := decode(m.Packet)
		if err != nil {
			return err
		}
		// A flow is reset on the age of the view, which a suspension of the machine raises.
		b.updateView()
		b.executeRepeats(b.steerer.Declined(now, p, m))
	}
	return nil
}

// tick runs the steerer's timers on the current view.
func (b *Balancer) tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateView()
	b.tickLinkBudget(now)
	b.executeRepeats(b.steerer.Tick(now))
	b.updateIsolation()
}

// updateIsolation makes the balancer report not ready while it is isolated, and
// logs changes.
func (b *Balancer) updateIsolation() {
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
