// Package flowagent runs the agent beside a backend server of packet flows. All
// packets to and from that server pass through the agent. This package does input
// and output; internal/flowpath/flowgate makes the decisions.
package flowagent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/suspension"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flownode"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowsteer"
	"github.com/knapweedpier/knapweedpier/platform"
)

const (
	// storeTimeout is how long the confirmation of a leave waits for the store.
	// The backend server waits one second for the confirmation.
	storeTimeout = 700 * time.Millisecond
	// backendDialTimeout bounds the connection attempt that shows whether a
	// leaving or silent backend server still runs.
	backendDialTimeout = 200 * time.Millisecond
	// endCheckInterval is the minimum time between two connection attempts that show whether a
	// backend server that reported its end still runs.
	endCheckInterval = 400 * time.Millisecond
	// drainCheckInterval is how often a stopping agent checks for requests in
	// progress.
	drainCheckInterval = 20 * time.Millisecond
	// drainTimeout is how long a stopping agent waits for requests that are queued or in
	// progress at most.
	drainTimeout = 1200 * time.Millisecond
	// timerInterval is how often the gate's timers run, which expire state,
	// deliver queued requests and pass unanswered offers on.
	timerInterval = 100 * time.Millisecond
)

// Agent is one running agent.
type Agent struct {
	settings      platform.Settings
	logger        *event.Logger
	store         Store
	registry      *metrics.Registry
	metrics       *metrics.FlowAgent
	node          *flownode.Node
	nodeSocket    udp.Socket // messages from and to balancers and agents
	backendSocket udp.Socket // packets from and to the backend server

	reportable    chan struct{} // closed as soon as reports may be applied
	takeOverEnded chan struct{} // closed when all tries to take a handover over have ended

	mu               sync.Mutex
	reloaded         platform.Settings // settings, or those of the last Reload
	gate             *flowgate.Gate
	lastReport       flowgate.Report
	backendLeft      bool // the backend server reported that it has ended
	withdrawn        bool // the member was withdrawn since; see withdrawEnded
	endCheckedAt     time.Time
	endRefused       bool // its end was refused as stale, and no report has come since
	restarting       bool // the process stops while the backend server runs on
	handedOver       bool // the flows were exported for the next process; see writeHandover
	evacuated        bool // the failure domain is evacuated
	earlierHandovers earlierHandovers
	startedSinceBoot time.Duration // start of this process, by the time since the start of the machine
	// takenOverMember is the revision of the member to which the handover belongs that this
	// process has taken over, 0 if it has taken none over.
	takenOverMember view.Revision
	refusal         errkind.Kind // why the agent accepts no new flows, or only a few; 0 if it accepts all
	learning        bool         // as last logged; see updateLearning
	buffer          []byte

	balancers []netip.AddrPort // all balancers in the view
}

// New returns an agent that is not started.
func New(s platform.Settings, store Store, logger *event.Logger) *Agent {
	registry := metrics.New()
	now := time.Now()
	return &Agent{
		settings:   s,
		reloaded:   s,
		store:      store,
		logger:     logger,
		registry:   registry,
		metrics:    metrics.NewFlowAgent(registry),
		reportable: make(chan struct{}),

		takeOverEnded:    make(chan struct{}),
		gate:             flowgate.New(gateOptions(s), now),
		earlierHandovers: earlierHandovers{startedAt: now, ruledOut: s.FirstStart},
		startedSinceBoot: suspension.SinceBoot(),
	}
}

// gateOptions returns the options of the gate of an agent that starts.
func gateOptions(s platform.Settings) flowgate.Options {
	return flowgate.Options{
		Self:     s.PacketAddress,
		Service:  flowsteer.ServiceID(s.Service),
		Limits:   backendLimits(s),
		Learning: !s.FirstStart,

		FlowLifetime:    s.FlowLifetime,
		HandoverPending: !s.FirstStart,
	}
}

// replaceGate replaces the gate after a panic, which may have left it half changed, by
// one that knows what it would know after a restart of the process. The next packets of
// open flows are offered to the backend server, as after a restart.
func (a *Agent) replaceGate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.metrics.Panics.Inc(1)
	options := gateOptions(a.reloaded)
	options.Learning, options.Replaces, options.HandoverPending = true, true, !a.earlierHandovers.ruledOut
	a.gate = flowgate.New(options, time.Now())
	a.applyView(a.node.Board.Snapshot())
	if a.lastReport.Instance != "" {
		// A new gate refuses no report.
		_ = a.gate.RestoreReport(time.Now(), a.lastReport)
	}
	if a.backendLeft {
		a.gate.RefuseNewFlows()
	}
	if a.restarting {
		a.gate.PrepareStop()
	}
}

// MemberName returns the member name of the agent at an address.
func MemberName(address netip.Addr) string { return "agent-" + address.String() }

// Start opens the sockets and starts forwarding. Errors have kind
// SettingInvalid.
func (a *Agent) Start(context.Context) error {
	s := a.settings
	var err error
	if a.nodeSocket, err = udp.Listen(s.Bind(s.PacketAddress)); err != nil {
		return err
	}
	if a.backendSocket, err = udp.Listen(s.Bind(s.BackendPacketAddress)); err != nil {
		return err
	}
	a.node, err = flownode.Start(flownode.Options{
		Name: MemberName(s.Address), Domain: s.Domain, Role: view.AgentRole, Peer: s.PeerAddress, Bind: s.Bind, Seeds: s.Seeds, Store: a.store, Logger: a.logger,
		FirstStart: s.FirstStart, OnPanic: a.replaceGate,
	})
	if err != nil {
		return err
	}
	a.node.Announcer.OnStored, a.node.Announcer.OnAnswered = a.onMemberStored, a.onMemberStored
	for _, address := range a.reportAddresses() {
		if err := a.node.Serve(address, platform.ReportHandler(a, address, s.LaterReportAddress)); err != nil {
			return err
		}
	}
	if err := a.node.Serve(s.ProbeAddress, platform.ProbeHandler(func() bool { return true })); err != nil {
		return err
	}
	if err := a.node.Serve(s.MetricsAddress, a.registry.TextHandler(a.updateGauges)); err != nil {
		return err
	}
	a.node.FollowView(a.followView)
	if s.FirstStart {
		close(a.reportable)
		close(a.takeOverEnded)
	} else {
		a.startTakeOver()
	}
	a.node.ReadMessages(a.nodeSocket, a.handleMessage)
	a.node.ReadPackets(a.backendSocket, a.handleBackendPacket)
	a.node.Every(timerInterval, a.tick)
	a.logger.Emit(event.Started, event.Fields{"role": "agent", "name": s.Name, "domain": s.Domain, "service": s.Service, "first_start": s.FirstStart})
	return nil
}

// reportAddresses returns the addresses at which the agent receives reports.
func (a *Agent) reportAddresses() []netip.AddrPort {
	if later := a.settings.LaterReportAddress; later.IsValid() {
		return []netip.AddrPort{later, a.settings.ReportAddress}
	}
	return []netip.AddrPort{a.settings.ReportAddress}
}

// Stop refuses new flows, announces whether the backend server runs on, also to the
// balancers directly, as the store may not answer in time, waits up to drainTimeout for
// requests that are queued or in progress, hands the flows over to the next process if the
// backend server runs on and the store answers, and then stops the agent.
func (a *Agent) Stop(context.Context) error {
	ended := a.backendEnded()
	if ended {
		a.withdrawMember()
	}
	a.mu.Lock()
	a.gate.StopAccepting()
	a.mu.Unlock()
	a.awaitTakeOver(maxTakeOverTime)
	var announced view.Revision
	if !ended {
		announced = a.announceRestart()
	}
	a.logger.Emit(event.Stopping, event.Fields{"drain_ms": drainTimeout.Milliseconds()})
	for end := time.Now().Add(drainTimeout); time.Now().Before(end) && a.pendingRequests() > 0; {
		time.Sleep(drainCheckInterval)
	}
	a.deliverAllQueued()
	a.notifyRestart()
	if announced > 0 {
		a.writeHandover(a.latestAnnouncement(announced))
	}
	a.node.Stop()
	a.logger.Emit(event.Stopped, nil)
	return nil
}

// Reload applies the limits of the backend server and the lifetime of flows. Addresses stay as they were
// at the start.
func (a *Agent) Reload(s platform.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reloaded.ReportInterval, a.reloaded.ColdBurst, a.reloaded.FlowLifetime = s.ReportInterval, s.ColdBurst, s.FlowLifetime
	a.gate.SetLimits(backendLimits(s))
	a.gate.SetFlowLifetime(s.FlowLifetime)
}

// backendLimits returns the limits that the settings give for the backend server.
// Half of the configured burst is left for flows that are still being opened.
func backendLimits(s platform.Settings) flowgate.Limits {
	return flowgate.Limits{ReportInterval: s.ReportInterval, ColdBurst: s.ColdBurst / 2}
}

// pendingRequests returns the number of requests that are queued or in progress.
func (a *Agent) pendingRequests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.InProgress() + a.gate.QueuedRequests()
}

// tick runs the timers of the gate.
func (a *Agent) tick() {
	a.checkBackend()
	a.withdrawEnded()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.handedOver {
		return
	}
	now := time.Now()
	a.confirmConfiguration(a.node.Board.Snapshot())
	for _, key := range a.gate.Tick(now) {
		a.logger.Emit(event.RequestUnanswered, flowFields(key))
	}
	a.deliverQueued(now)
	a.checkEarlierHandovers(now)
	a.updateLearning(now)
	a.updateRefusal(now)
	for _, action := range a.gate.PassOnUnanswered(now) {
		a.sendMessage(action.To, action.Message)
	}
}
