package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
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
	"github.com/knapweedpier/knapweedpier/internal/control/fence"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/gate"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Options configure an Agent.
type Options struct {
	ID             string // of the backend server
	Domain         string // failure domain of this host
	Region         string
	Service        string         // of the backend server
	Backend        netip.AddrPort // of the backend server on this host
	PeerListener   net.Listener   // TCP, for other processes of the fleet
	TunnelListen   netip.AddrPort // UDP, for balancers; the same over restarts
	Seeds          []netip.AddrPort
	Store          objectstore.Store
	KeyRing        func() *keyring.Ring
	GetCertificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	Policy         Policy
	Logger         *event.Logger
	Metrics        *metrics.Registry
	ListenUDP      udp.ListenFunc
	Clock          func() time.Time // nil: time.Now
	Dial           peer.DialFunc    // to peers; nil: net.Dialer
	// Middleware wraps the handler of callers' requests; nil: none. It sees a
	// request before the gate does, and each answer as the gate writes it.
	Middleware func(http.Handler) http.Handler
}

// Policy disables parts of the agent, so that benchmarks can measure their
// effect.
type Policy struct {
	AcceptAll bool        // every opening is accepted where it arrives
	Gate      gate.Policy // admission and relays
}

// Agent is a running agent.
type Agent struct {
	opts  Options
	node  *distribution.Node
	fence *fence.Fence

	metrics *metrics.Agent
	burn    *burn.Tracker

	leaving       atomic.Bool // the backend server, or this process, takes no new work
	domainOut     atomic.Bool
	flowCloseTime atomic.Int64 // Unix nanoseconds at which flows of a domain that is out are closed
	stopping      atomic.Bool
	current       atomic.Pointer[incarnation]

	cancel context.CancelFunc
	done   sync.WaitGroup
	drains sync.WaitGroup

	// Used by the control loop only.
	appliedKeyRing *keyring.Ring
	rounds         int
	domainOutSince time.Time
	fenced         chan struct{}
}

// incarnation holds the flows and what is known of their requests. It ends with
// a pause that outlasts the lease, or when the service's address changes.
type incarnation struct {
	endpoint  *Endpoint
	gate      *gate.Gate
	flows     *flowServer
	relayed   relayedRequests
	flowLimit atomic.Int64 // limit on open flows; read for each packet
	cancel    context.CancelFunc
	warmers   sync.WaitGroup
}

// New returns an agent that is not started.
func New(o Options) *Agent {
	now := o.now()
	a := &Agent{
		opts:   o,
		fence:  fence.New(uint64(now.UnixNano()), now),
		fenced: make(chan struct{}, 1),

		metrics: metrics.NewAgent(o.Metrics),
		burn:    burn.NewTracker(),
	}
	a.node = distribution.New(distribution.Options{
		Self: membership.Record{
			ID:          o.ID,
			Role:        membership.RoleAgent,
			Service:     o.Service,
			Domain:      o.Domain,
			Region:      o.Region,
			Tunnel:      o.TunnelListen,
			Incarnation: a.fence.Incarnation(),
			State:       membership.StateCold,
		},
		Seeds:    o.Seeds,
		Store:    o.Store,
		KeyRing:  o.KeyRing,
		Listener: o.PeerListener,
		Relay:    http.HandlerFunc(a.serveRelay),
		Status:   a.answerStatus,
		Metrics:  o.Metrics,
		Logger:   o.Logger,
		Clock:    o.Clock,
		Dial:     o.Dial,
	})
	return a
}

func (o Options) now() time.Time {
	if o.Clock != nil {
		return o.Clock()
	}
	return time.Now()
}

// Node returns the agent's node in the control plane.
func (a *Agent) Node() *distribution.Node { return a.node }

// Start starts the control loop. The agent serves callers as soon as it knows a
// configuration that lists its service and its failure domain.
func (a *Agent) Start(ctx context.Context) error {
	if err := a.node.Start(ctx); err != nil {
		return err
	}
	ctx, a.cancel = context.WithCancel(context.WithoutCancel(ctx))
	a.done.Go(func() { a.control(ctx) })
	a.done.Go(func() {
		fence.Run(ctx, a.fence, a.opts.now, func() {
			select {
			case a.fenced <- struct{}{}:
			default:
			}
		})
	})
	a.opts.Logger.Emit(event.Started, event.Fields{"id": a.opts.ID, "service": a.opts.Service})
	return nil
}

// Stop shuts down gracefully: the agent announces that it is leaving, tells
// callers to open new flows, and lets requests in progress go on until ctx ends.
func (a *Agent) Stop(ctx context.Context) error {
	a.opts.Logger.Emit(event.Stopping, event.Fields{"id": a.opts.ID})
	a.stopping.Store(true)
	a.setLeaving(true)
	var err error
	if in := a.current.Load(); in != nil {
		err = in.flows.drain(ctx)
	}
	if stopErr := a.node.Stop(ctx); err == nil {
		err = stopErr
	}
	a.Kill()
	a.opts.Logger.Emit(event.Stopped, event.Fields{"id": a.opts.ID})
	return err
}

// Kill ends all flows and closes the tunnel at once. Stop calls it last.
func (a *Agent) Kill() {
	if a.cancel != nil {
		a.cancel()
	}
	a.done.Wait()
	if in := a.current.Swap(nil); in != nil {
		in.close(errkind.BackendLeaving)
	}
	a.drains.Wait()
}

// CheckHealth returns nil while the agent serves, or else an error of kind
// BackendDown.
func (a *Agent) CheckHealth() error {
	if a.current.Load() == nil {
		return errkind.New(errkind.BackendDown, "no configuration that lists the service and the failure domain")
	}
	return nil
}

// serveRelay answers requests that peers relay.
func (a *Agent) serveRelay(w http.ResponseWriter, r *http.Request) {
	in := a.current.Load()
	if in == nil {
		gate.Refuse(w, refusalWithoutGate(r))
		return
	}
	ctx, done := in.relayed.add(r.Context())
	defer done()
	in.gate.RelayHandler().ServeHTTP(w, r.WithContext(ctx))
}

// refusalWithoutGate returns the error kind that refuses a relayed request
// between two incarnations. An earlier attempt with a ticket of the previous
// incarnation may have run, so only a first attempt is known not to have run.
func refusalWithoutGate(r *http.Request) errkind.Kind {
	switch {
	case r.Header.Get(gate.TicketHeader) == "":
		return errkind.BackendLeaving
	case r.Header.Get(gate.AttemptHeader) == "1":
		return errkind.TicketExpired
	default:
		return errkind.TicketUnknown
	}
}

// Headers that name the agent which terminates the caller's flow. Answers that
// a peer's backend server gave carry them too.
const (
	BackendHeader = "Knapweedpier-Backend" // ID of the agent's backend server
	DomainHeader  = "Knapweedpier-Domain"  // its failure domain
)

// requestHandler returns the handler of callers' requests around a gate.
func (a *Agent) requestHandler(g *gate.Gate) http.Handler {
	handler := a.withAgentHeaders(g)
	if a.opts.Middleware == nil {
		return handler
	}
	return a.opts.Middleware(handler)
}

// withAgentHeaders sets BackendHeader and DomainHeader on all answers.
func (a *Agent) withAgentHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(BackendHeader, a.opts.ID)
		w.Header().Set(DomainHeader, a.opts.Domain)
		next.ServeHTTP(w, r)
	})
}

// service returns the agent's service from the view in force.
func (a *Agent) service() (config.Service, bool) {
	return a.node.Board.View.Get().Service(a.opts.Service)
}

// startIncarnation opens the tunnel and starts a new incarnation. The previous
// incarnation must have been closed.
func (a *Agent) startIncarnation(service config.Service, domain config.FailureDomain) error {
	endpoint, err := NewEndpoint(EndpointOptions{
		Listen:     a.opts.TunnelListen,
		Service:    service.Address,
		KeyRing:    a.opts.KeyRing(),
		LocalState: a.localState,
		Paused:     func() bool { return a.fence.Check(a.opts.now()) != nil },
		ListenUDP:  a.opts.ListenUDP,
		Logger:     a.opts.Logger,
		Metrics:    a.metrics,
	})
	if err != nil {
		return err
	}
	in := &incarnation{endpoint: endpoint}
	in.flowLimit.Store(int64(service.Limits.Connections))
	number := a.fence.Incarnation()
	in.gate = gate.New(gate.Options{
		BackendID:      a.opts.ID,
		RelayAddress:   a.node.Self().Peer,
		BackendAddress: a.opts.Backend,
		Service:        a.service,
		KeyRing:        a.opts.KeyRing,
		Incarnation:    number,
		Peers:          peers{a, endpoint},
		State:          func() gate.State { return a.gateState(number) },
		Policy:         a.opts.Policy.Gate,
		Log:            a.opts.Logger,
		Now:            a.opts.Clock,
		Metrics:        a.metrics,
		Burn:           a.burn,
		OnFeedBroken:   markFeedBroken,
	})
	in.flows, err = newFlowServer(flowServerOptions{
		endpoint:    endpoint,
		keyRing:     a.opts.KeyRing(),
		domain:      domain.Index,
		incarnation: number,
		tls:         &tls.Config{GetCertificate: a.opts.GetCertificate, MinVersion: tls.VersionTLS13},
		handler:     a.requestHandler(in.gate),
		openFlow:    in.gate.OpenFlow,
		onOpen:      func() { a.metrics.Flows.Inc(1) },
		onEnd:       a.recordFlowEnd,
	})
	if err != nil {
		endpoint.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	in.warmers.Go(func() { in.gate.KeepConnectionsWarm(ctx) })
	a.current.Store(in)
	a.metrics.Incarnations.Inc(1)
	return nil
}

// close ends the incarnation. Flows with a request in progress count as broken
// by kind.
func (in *incarnation) close(kind errkind.Kind) {
	in.cancel()
	in.warmers.Wait()
	in.flows.close(kind)
	in.endpoint.Close()
	in.gate.Close()
}

// gateState returns the state that the gate decides by. Until the flows of a
// failure domain that is out are closed, requests that still arrive on them are
// relayed, as on a leaving backend server.
func (a *Agent) gateState(incarnation uint64) gate.State {
	now := a.opts.now()
	out := a.domainOut.Load()
	return gate.State{
		Leaving:   a.leaving.Load() || out,
		DomainOut: out && now.UnixNano() >= a.flowCloseTime.Load(),
		Fenced:    !a.fence.IsCurrent(incarnation, now),
	}
}
