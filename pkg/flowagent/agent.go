// Package flowagent runs the agent beside a backend server of packet flows:
// the only way to that server. Decisions are made in internal/flowpath/flowgate.
package flowagent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flownode"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowsteer"
	"github.com/knapweedpier/knapweedpier/platform"
)

const (
	// storeTimeout is how long the confirmation of a leave waits for the store.
	// The backend server waits a second for the confirmation.
	storeTimeout = 700 * time.Millisecond
	// dialTimeout bounds the look whether a leaving backend server is there.
	dialTimeout = 200 * time.Millisecond
	// stopCheck is how often a stopping agent looks for requests in progress.
	stopCheck = 20 * time.Millisecond
	// drainTime is how long a stopping agent waits for requests at most.
	drainTime = 1200 * time.Millisecond
	// sweepInterval is how often what is over is forgotten.
	sweepInterval = 100 * time.Millisecond
)

// Agent is one running agent.
type Agent struct {
	settings platform.Settings
	logger   *event.Logger
	store    follow.Store
	registry *metrics.Registry
	metrics  *metrics.FlowAgent
	node     *flownode.Node
	nodes    udp.Socket // messages of balancers and agents
	backend  udp.Socket // the backend server's packets

	mu       sync.Mutex
	gate     *flowgate.Gate
	reported flowgate.Report
	left     bool         // the backend server said that it ends
	out      bool         // the failure domain is evacuated
	refusal  errkind.Kind // why no new flows are taken, 0 if they are
	buffer   []byte

	balancers []netip.AddrPort // all that the view names
}

// New returns an agent that was not started.
func New(s platform.Settings, store follow.Store, logger *event.Logger) *Agent {
	registry := metrics.New()
	return &Agent{
		settings: s,
		store:    store,
		logger:   logger,
		registry: registry,
		metrics:  metrics.NewFlowAgent(registry),
		gate: flowgate.New(flowgate.Options{
			Self:     s.Packets,
			Service:  flowsteer.ServiceID(s.Service),
			Limits:   limits(s),
			Learning: !s.FirstStart,
			LearnFor: s.FlowLifetime,
		}, time.Now()),
	}
}

// MemberName names the agent at an address among the members.
func MemberName(address netip.Addr) string { return "agent-" + address.String() }

// Start opens the sockets and starts forwarding. Errors have kind
// SettingInvalid.
func (a *Agent) Start(context.Context) error {
	s := a.settings
	var err error
	if a.nodes, err = udp.Listen(s.Packets); err != nil {
		return err
	}
	if a.backend, err = udp.Listen(s.FromApp); err != nil {
		return err
	}
	a.node, err = flownode.Start(flownode.Options{
		Name: MemberName(s.Address), Domain: s.Domain, Role: view.AgentRole, Peer: s.Peer, Seeds: s.Seeds, Store: a.store, Logger: a.logger,
		FirstStart: s.FirstStart,
	})
	if err != nil {
		return err
	}
	a.node.Announcer.Created = a.created
	if err := a.node.Serve(s.Reports, platform.ReportHandler(a)); err != nil {
		return err
	}
	if err := a.node.Serve(s.Probe, platform.ProbeHandler(func() bool { return true })); err != nil {
		return err
	}
	if err := a.node.Serve(s.Metrics, a.registry.TextHandler(a.measure)); err != nil {
		return err
	}
	a.node.FollowView(a.takeView)
	a.node.ReadMessages(a.nodes, a.fromNode)
	a.node.ReadPackets(a.backend, a.fromBackend)
	a.node.Go(a.sweep)
	a.logger.Emit(event.Started, event.Fields{"role": "agent", "name": s.Name, "domain": s.Domain, "service": s.Service, "first_start": s.FirstStart})
	return nil
}

// Stop takes no new flows, waits for requests in progress, and ends.
func (a *Agent) Stop(context.Context) error {
	if a.backendEnded() {
		a.withdraw()
	}
	a.mu.Lock()
	a.gate.Leave()
	a.mu.Unlock()
	a.logger.Emit(event.Stopping, event.Fields{"drain_ms": drainTime.Milliseconds()})
	for end := time.Now().Add(drainTime); time.Now().Before(end) && a.inProgress() > 0; {
		time.Sleep(stopCheck)
	}
	a.node.Stop()
	a.logger.Emit(event.Stopped, nil)
	return nil
}

// Reload takes the limits of the backend server over. Addresses stay as they
// were at the start.
func (a *Agent) Reload(s platform.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.SetLimits(limits(s))
}

// limits are the bounds that settings give for the backend server. Half of the
// burst that the installation allows is left to flows that are on their way.
func limits(s platform.Settings) flowgate.Limits {
	return flowgate.Limits{ReportInterval: s.ReportInterval, ColdBurst: s.ColdBurst / 2}
}

func (a *Agent) inProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.InProgress()
}

// takeView hands to the gate what it needs of a new view.
func (a *Agent) takeView(v view.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.settings
	a.gate.SetRoutes(v.Configuration.Routes)
	a.gate.SetService(v.Configuration.Services[s.Service], v.Configuration.IdleTimeout)
	out := v.Evacuations.Domains[s.Domain]
	if out != a.out {
		id := event.DomainTakenBack
		if out {
			id = event.DomainEvacuated
		}
		a.logger.Emit(id, event.Fields{"domain": s.Domain, "revision": v.Evacuations.Revision})
	}
	a.out = out
	a.gate.SetOut(out)
	m, ok := v.Members.ByName[MemberName(s.Address)]
	if ok && m.Service == s.Service && !s.FirstStart {
		a.gate.Announced(flowgate.Report{State: m.State, Slots: m.Slots})
	}
	first := len(a.balancers) == 0
	a.balancers = a.balancers[:0]
	for _, m := range v.Members.ByName {
		if m.Role == view.BalancerRole {
			a.balancers = append(a.balancers, m.Address)
		}
	}
	if first {
		// Balancers that found the agent silent learn at once that it is back.
		a.tellBalancers(time.Now())
	}
}

// created notes that the store has taken this agent's member as a new one.
func (a *Agent) created(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Created(at)
	a.noteRefusal(at)
}

func (a *Agent) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.mu.Lock()
			now := time.Now()
			a.gate.Tick(now)
			a.release(now)
			a.noteRefusal(now)
			for _, action := range a.gate.Unanswered(now) {
				a.tell(action.To, action.Message)
			}
			a.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}
