package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/control/distribution"
	"github.com/knapweedpier/knapweedpier/internal/control/isolation"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/steering"
)

const (
	// tick is how often time-dependent parts of the plan are checked.
	tick = 250 * time.Millisecond
	// leaveTime is how long a stopping balancer still forwards after it has
	// reported itself unhealthy: the fabric probes several times a second, and
	// agents use a balancer for a second after they heard from it.
	leaveTime = 2 * time.Second
)

// Options configure a Balancer.
type Options struct {
	ID           string
	Domain       string // failure domain of this host
	Region       string
	PeerListener net.Listener   // TCP, for other processes of the fleet
	TunnelListen netip.AddrPort // UDP, for agents
	BindHost     netip.Addr     // bound in place of service addresses; invalid for those
	Seeds        []netip.AddrPort
	Store        objectstore.Store
	Ring         func() *keyring.Ring
	Policy       steering.Policy
	Logger       *event.Logger
	Metrics      *metrics.Registry
	Open         udp.ListenFunc
	Clock        func() time.Time // nil: time.Now
	Dial         peer.DialFunc    // to peers; nil: net.Dialer
}

// Balancer is a running entry process.
type Balancer struct {
	opts      Options
	node      *distribution.Node
	forwarder *Forwarder
	metrics   *metrics.Balancer
	leaving   atomic.Bool

	candidates atomic.Int64 // agents that openings can go to

	cancel context.CancelFunc
	done   sync.WaitGroup

	applied planState // of the control loop only
}

// New opens the tunnel socket. Errors have kind SettingInvalid.
func New(o Options) (*Balancer, error) {
	b := &Balancer{opts: o, metrics: metrics.NewBalancer(o.Metrics)}
	forwarder, err := NewForwarder(ForwarderOptions{
		TunnelListen: o.TunnelListen,
		BindHost:     o.BindHost,
		Listen:       o.Open,
		Logger:       o.Logger,
		Metrics:      b.metrics,
	})
	if err != nil {
		return nil, err
	}
	b.forwarder = forwarder
	b.node = distribution.New(distribution.Options{
		Self: membership.Record{
			ID:     o.ID,
			Role:   membership.RoleBalancer,
			Domain: o.Domain,
			Region: o.Region,
			Tunnel: forwarder.TunnelAddress(),
			State:  membership.StateServing,
		},
		Seeds:    o.Seeds,
		Store:    o.Store,
		Ring:     o.Ring,
		Listener: o.PeerListener,
		Status:   b.answerStatus,
		Metrics:  o.Metrics,
		Logger:   o.Logger,
		Clock:    o.Clock,
		Dial:     o.Dial,
	})
	return b, nil
}

// Node returns the balancer's part of the control plane.
func (b *Balancer) Node() *distribution.Node { return b.node }

// Candidates returns the number of agents that openings can go to.
func (b *Balancer) Candidates() int { return int(b.candidates.Load()) }

// Start starts to forward as soon as a configuration is known.
func (b *Balancer) Start(ctx context.Context) error {
	if err := b.node.Start(ctx); err != nil {
		return err
	}
	ctx, b.cancel = context.WithCancel(context.WithoutCancel(ctx))
	b.done.Go(func() { b.control(ctx) })
	b.opts.Logger.Emit(event.Started, event.Fields{"id": b.opts.ID, "tunnel": b.forwarder.TunnelAddress().String()})
	return nil
}

// Stop leaves gracefully: the balancer reports itself unhealthy, forwards
// until the fabric and the agents have turned away from it, and then closes
// its sockets. ctx cuts the wait short.
func (b *Balancer) Stop(ctx context.Context) error {
	b.opts.Logger.Emit(event.Stopping, event.Fields{"id": b.opts.ID})
	b.leaving.Store(true)
	b.node.SetSelf(func(r *membership.Record) { r.State = membership.StateLeaving })
	select {
	case <-ctx.Done():
	case <-time.After(leaveTime):
	}
	err := b.node.Stop(ctx)
	b.Kill()
	b.opts.Logger.Emit(event.Stopped, event.Fields{"id": b.opts.ID})
	return err
}

// Kill closes the sockets at once and leaves the control plane running, as a
// test of a balancer's death needs it; Stop calls it last.
func (b *Balancer) Kill() {
	if b.cancel != nil {
		b.cancel()
	}
	b.done.Wait()
	b.forwarder.Close()
}

// Healthy returns nil if the fabric should send packets here, or an error of
// kind PacketIsolated or PacketNoAgent.
func (b *Balancer) Healthy() error {
	switch {
	case b.leaving.Load():
		return errkind.New(errkind.PacketIsolated, "leaving")
	case b.node.Board.Isolation.Get().Isolated:
		return errkind.New(errkind.PacketIsolated, "isolated from the platform and from peers")
	case b.node.Board.Config.Get() == nil:
		return errkind.New(errkind.PacketNoAgent, "no configuration yet")
	}
	return nil
}

// control keeps the packet loops at the current plan.
func (b *Balancer) control(ctx context.Context) {
	board := &b.node.Board
	view, cancelView := board.View.Subscribe()
	defer cancelView()
	members, cancelMembers := board.Members.Subscribe()
	defer cancelMembers()
	isolated, cancelIsolated := board.Isolation.Subscribe()
	defer cancelIsolated()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-view:
		case <-members:
		case <-isolated:
		case <-ticker.C:
			b.reportHeard()
			b.forwarder.WatchTunnel(b.now())
		}
		b.plan()
	}
}

func (b *Balancer) now() time.Time {
	if b.opts.Clock != nil {
		return b.opts.Clock()
	}
	return time.Now()
}

// planState is what the plan in force was built from.
type planState struct {
	valid       bool
	ring        *keyring.Ring
	viewVersion uint64
	members     uint64 // fingerprint
	mode        steering.Mode
	leaving     bool
}

// plan applies a new plan if anything that it depends on has changed.
func (b *Balancer) plan() {
	board := &b.node.Board
	now := b.now()
	in := PlanInput{
		Now:     now,
		Ring:    b.opts.Ring(),
		View:    board.View.Get(),
		Members: board.Members.Get(),
		Mode:    mode(board.Isolation.Get().Phase(now)),
		Policy:  b.opts.Policy,
	}
	state := planState{
		valid:       true,
		ring:        in.Ring,
		viewVersion: board.View.Version(),
		members:     fingerprint(in),
		mode:        in.Mode,
		leaving:     b.leaving.Load(),
	}
	if state == b.applied {
		return
	}
	plan := BuildPlan(in)
	plan.Leaving = state.leaving
	if err := b.forwarder.Apply(plan); err != nil {
		b.opts.Logger.Failure(event.ListenerChanged, err, nil)
		state.valid = false // tried again at the next tick
	}
	b.applied = state
	b.candidates.Store(int64(plan.agents()))
	b.metrics.Agents.Update(b.candidates.Load())
}

func mode(phase isolation.Phase) steering.Mode {
	switch phase {
	case isolation.PhaseNoNewFlows:
		return steering.NoOpenings
	case isolation.PhaseSilent:
		return steering.NothingForward
	default:
		return steering.Open
	}
}

// reportHeard passes evidence of life from the packet loops to membership.
func (b *Balancer) reportHeard() {
	heard := b.forwarder.Heard()
	since := time.Now().Add(-tick).UnixNano()
	for _, m := range b.node.Board.Members.Get().Members {
		if at, ok := heard[m.Tunnel]; ok && m.Role == membership.RoleAgent && at >= since {
			b.node.Heard(m.ID)
		}
	}
}
