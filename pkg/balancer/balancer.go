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
	// planCheckInterval is how often time-dependent parts of the plan are checked.
	planCheckInterval = 250 * time.Millisecond
	// leaveDrainTime is how long a stopping balancer still forwards after it has
	// reported itself unhealthy: the fabric probes several times a second, and
	// agents use a balancer for a second after it last answered a hello.
	leaveDrainTime = 2 * time.Second
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
	KeyRing      func() *keyring.Ring
	Policy       steering.Policy
	Logger       *event.Logger
	Metrics      *metrics.Registry
	ListenUDP    udp.ListenFunc
	Clock        func() time.Time // nil: time.Now
	Dial         peer.DialFunc    // to peers; nil: net.Dialer
}

// Balancer forwards packets between the fabric and agents by the plan in force.
type Balancer struct {
	opts      Options
	node      *distribution.Node
	forwarder *Forwarder
	metrics   *metrics.Balancer
	leaving   atomic.Bool

	candidates atomic.Int64 // number of agents that accept openings

	cancel context.CancelFunc
	done   sync.WaitGroup

	appliedState planState // used by the control loop only
}

// New opens the tunnel socket. Errors have kind SettingInvalid.
func New(o Options) (*Balancer, error) {
	b := &Balancer{opts: o, metrics: metrics.NewBalancer(o.Metrics)}
	forwarder, err := NewForwarder(ForwarderOptions{
		TunnelListen: o.TunnelListen,
		BindHost:     o.BindHost,
		ListenUDP:    o.ListenUDP,
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
		KeyRing:  o.KeyRing,
		Listener: o.PeerListener,
		Status:   b.answerStatus,
		Metrics:  o.Metrics,
		Logger:   o.Logger,
		Clock:    o.Clock,
		Dial:     o.Dial,
	})
	return b, nil
}

// Node returns the balancer's node in the control plane.
func (b *Balancer) Node() *distribution.Node { return b.node }

// CandidateCount returns the number of agents that accept openings.
func (b *Balancer) CandidateCount() int { return int(b.candidates.Load()) }

// Start starts the control loop. The balancer forwards packets as soon as it
// knows a configuration.
func (b *Balancer) Start(ctx context.Context) error {
	if err := b.node.Start(ctx); err != nil {
		return err
	}
	ctx, b.cancel = context.WithCancel(context.WithoutCancel(ctx))
	b.done.Go(func() { b.control(ctx) })
	b.opts.Logger.Emit(event.Started, event.Fields{"id": b.opts.ID, "tunnel": b.forwarder.TunnelAddress().String()})
	return nil
}

// Stop shuts down gracefully: the balancer reports itself unhealthy, forwards
// for leaveDrainTime, so that the fabric and the agents stop using it, and then
// closes its sockets. The wait ends early when ctx is done.
func (b *Balancer) Stop(ctx context.Context) error {
	b.opts.Logger.Emit(event.Stopping, event.Fields{"id": b.opts.ID})
	b.leaving.Store(true)
	b.node.SetSelf(func(r *membership.Record) { r.State = membership.StateLeaving })
	select {
	case <-ctx.Done():
	case <-time.After(leaveDrainTime):
	}
	err := b.node.Stop(ctx)
	b.Kill()
	b.opts.Logger.Emit(event.Stopped, event.Fields{"id": b.opts.ID})
	return err
}

// Kill closes the sockets at once and leaves the control plane node running, so
// that tests can simulate a crash of the balancer. Stop calls it last.
func (b *Balancer) Kill() {
	if b.cancel != nil {
		b.cancel()
	}
	b.done.Wait()
	b.forwarder.Close()
}

// CheckHealth returns nil if the fabric should send packets here, or an error of
// kind PacketIsolated or PacketNoAgent.
func (b *Balancer) CheckHealth() error {
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

// control updates the plan whenever its inputs change.
func (b *Balancer) control(ctx context.Context) {
	board := &b.node.Board
	view, cancelView := board.View.Subscribe()
	defer cancelView()
	members, cancelMembers := board.Members.Subscribe()
	defer cancelMembers()
	isolated, cancelIsolated := board.Isolation.Subscribe()
	defer cancelIsolated()
	ticker := time.NewTicker(planCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-view:
		case <-members:
		case <-isolated:
		case <-ticker.C:
			b.reportContacts()
			b.forwarder.CheckTunnel(b.now())
		}
		b.updatePlan()
	}
}

func (b *Balancer) now() time.Time {
	if b.opts.Clock != nil {
		return b.opts.Clock()
	}
	return time.Now()
}

// planState identifies the inputs from which the plan in force was built.
type planState struct {
	valid       bool
	keyRing     *keyring.Ring
	viewVersion uint64
	members     uint64 // fingerprint
	mode        steering.Mode
	leaving     bool
}

// updatePlan builds and applies a new plan if any of its inputs has changed.
func (b *Balancer) updatePlan() {
	board := &b.node.Board
	now := b.now()
	in := PlanInput{
		Now:     now,
		KeyRing: b.opts.KeyRing(),
		View:    board.View.Get(),
		Members: board.Members.Get(),
		Mode:    forwardingMode(board.Isolation.Get().Phase(now)),
		Policy:  b.opts.Policy,
	}
	state := planState{
		valid:       true,
		keyRing:     in.KeyRing,
		viewVersion: board.View.Version(),
		members:     fingerprint(in),
		mode:        in.Mode,
		leaving:     b.leaving.Load(),
	}
	if state == b.appliedState {
		return
	}
	plan := BuildPlan(in)
	plan.Leaving = state.leaving
	if err := b.forwarder.Apply(plan); err != nil {
		b.opts.Logger.EmitError(event.ListenerChanged, err, nil)
		state.valid = false // retried at the next tick
	}
	b.appliedState = state
	b.candidates.Store(int64(plan.candidateCount()))
	b.metrics.Agents.Update(b.candidates.Load())
}

func forwardingMode(phase isolation.Phase) steering.Mode {
	switch phase {
	case isolation.PhaseNoNewFlows:
		return steering.ForwardEstablished
	case isolation.PhaseNoForwarding:
		return steering.ForwardNone
	default:
		return steering.ForwardAll
	}
}

// reportContacts tells the control plane node which agents the packet loops
// have recently received packets from.
func (b *Balancer) reportContacts() {
	lastContacts := b.forwarder.LastContacts()
	since := time.Now().Add(-planCheckInterval).UnixNano()
	for _, m := range b.node.Board.Members.Get().Members {
		if at, ok := lastContacts[m.Tunnel]; ok && m.Role == membership.RoleAgent && at >= since {
			b.node.RecordContact(m.ID)
		}
	}
}
