// Package flowagent runs the agent beside a backend server of packet flows:
// the only way to that server. Decisions are made in internal/flowgate.
package flowagent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/errkind"
	"github.com/knapweedpier/knapweedpier/internal/event"
	"github.com/knapweedpier/knapweedpier/internal/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowgate"
	"github.com/knapweedpier/knapweedpier/internal/flownode"
	"github.com/knapweedpier/knapweedpier/internal/flowsteer"
	"github.com/knapweedpier/knapweedpier/internal/follow"
	"github.com/knapweedpier/knapweedpier/internal/hop"
	"github.com/knapweedpier/knapweedpier/internal/metrics"
	"github.com/knapweedpier/knapweedpier/internal/udp"
	"github.com/knapweedpier/knapweedpier/internal/view"
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
	out      bool         // the zone is evacuated
	refusal  errkind.Kind // why no new flows are taken, 0 if they are
	buffer   []byte
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
		Name: MemberName(s.Address), Zone: s.Zone, Role: view.AgentRole, Peer: s.Peer, Seeds: s.Seeds, Store: a.store, Logger: a.logger,
		FirstStart: s.FirstStart,
	})
	if err != nil {
		return err
	}
	if err := a.node.Serve(s.Reports, platform.ReportHandler(a)); err != nil {
		return err
	}
	if err := a.node.Serve(s.Probe, platform.ProbeHandler(func() bool { return true })); err != nil {
		return err
	}
	if err := a.node.Serve(s.Metrics, a.registry.TextHandler(a.measure)); err != nil {
		return err
	}
	a.node.OnStop(func() { _ = a.nodes.Close(); _ = a.backend.Close() })
	a.node.Go(a.followView)
	a.node.Go(a.readNodes)
	a.node.Go(a.readBackend)
	a.node.Go(a.sweep)
	a.logger.Emit(event.Started, event.Fields{"role": "agent", "name": s.Name, "zone": s.Zone, "service": s.Service, "first_start": s.FirstStart})
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

// followView hands to the gate what it needs of each new view.
func (a *Agent) followView(ctx context.Context) {
	changed, cancel := a.node.Board.Subscribe()
	defer cancel()
	for {
		select {
		case <-changed:
			a.takeView(a.node.Board.View())
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) takeView(v view.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.settings
	a.gate.SetRoutes(v.Configuration.Routes)
	a.gate.SetService(v.Configuration.Services[s.Service], v.Configuration.IdleTimeout)
	out := v.Evacuations.Zones[s.Zone]
	if out != a.out {
		id := event.ZoneBack
		if out {
			id = event.ZoneOut
		}
		a.logger.Emit(id, event.Fields{"zone": s.Zone, "revision": v.Evacuations.Revision})
	}
	a.out = out
	a.gate.SetOut(out)
	m, ok := v.Members.ByName[MemberName(s.Address)]
	if ok && m.Service == s.Service && !s.FirstStart {
		a.gate.Announced(flowgate.Report{State: m.State, Slots: m.Slots})
	}
}

// Report implements platform.Reports.
func (a *Agent) Report(r platform.Report) error {
	if r.Service != a.settings.Service || r.Address != a.settings.Backend {
		err := errkind.Errorf(errkind.ReportMalformed, "report of %s at %s", r.Service, r.Address)
		a.logger.Failure(event.ReportRefused, err, nil)
		return err
	}
	stored, err := a.takeReport(r.Report)
	if err != nil {
		a.logger.Failure(event.ReportRefused, err, event.Fields{"instance": r.Instance, "sequence": r.Sequence})
		return err
	}
	if r.State != view.Leaving {
		return nil
	}
	select {
	case <-stored:
	case <-time.After(storeTimeout):
		// The agent itself takes no new flows any more, and a successor learns
		// the state from the next report.
		a.logger.Emit(event.Leaving, event.Fields{"instance": r.Instance, "stored": false})
	}
	return nil
}

func (a *Agent) takeReport(r flowgate.Report) (<-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lost, err := a.gate.Report(time.Now(), r)
	if err != nil {
		return nil, err
	}
	if r.Instance != a.reported.Instance || !r.Started.Equal(a.reported.Started) || r.State != a.reported.State {
		a.logger.Emit(event.BackendReported, event.Fields{
			"instance": r.Instance, "started": r.Started.UnixMilli(), "state": r.State, "cold_ms": r.ColdFor.Milliseconds(), "sequence": r.Sequence,
		})
	}
	a.reported = r
	a.left = false
	if len(lost) > 0 {
		a.logger.Emit(event.FlowsLost, event.Fields{"instance": r.Instance, "flows": len(lost)})
	}
	for _, f := range lost {
		a.reset(f.Key, f.Ack)
	}
	s := a.settings
	return a.node.Announcer.Set(view.Member{
		Name: MemberName(s.Address), Role: view.AgentRole, Zone: s.Zone, Address: s.Packets, Peer: s.Peer,
		Service: s.Service, Slots: r.Slots, State: r.State,
	}), nil
}

// Left implements platform.Reports.
func (a *Agent) Left(instance string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reported.Instance != instance && a.reported.Instance != "" {
		return nil
	}
	a.left = true
	a.gate.Leave()
	a.node.Announcer.Withdraw(MemberName(a.settings.Address))
	a.logger.Emit(event.Leaving, event.Fields{"instance": instance, "ended": true})
	return nil
}

// backendEnded reports whether the backend server is gone, rather than this
// process being restarted beside it: the server said so, leaves offers
// unanswered, or is leaving and accepts no connections any more.
func (a *Agent) backendEnded() bool {
	a.mu.Lock()
	ended := a.left || a.gate.Vanished(time.Now())
	leaving := a.gate.Leaving()
	a.mu.Unlock()
	if ended || !leaving {
		return ended
	}
	conn, err := net.DialTimeout("tcp4", a.settings.Backend.String(), dialTimeout)
	if err != nil {
		a.logger.Failure(event.BackendConnFailed, errkind.Wrap(err, errkind.BackendDown, "connect to the backend server"), nil)
		return true
	}
	_ = conn.Close() // nothing was sent
	return false
}

// withdraw removes the member of a backend server that has ended. If
// the store doesn't answer in time the member stays until its address is used
// again.
func (a *Agent) withdraw() {
	stored := false
	select {
	case <-a.node.Announcer.Withdraw(MemberName(a.settings.Address)):
		stored = true
	case <-time.After(storeTimeout):
	}
	a.logger.Emit(event.Leaving, event.Fields{"ended": true, "stored": stored})
}

// readNodes takes messages of balancers and agents until the socket is closed.
func (a *Agent) readNodes(ctx context.Context) {
	buffer := make([]byte, udp.MaxDatagram)
	var m hop.Message
	for {
		n, _, err := a.nodes.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = hop.Decode(buffer[:n], &m)
		}
		if err == nil {
			err = a.fromNode(&m)
		}
		if err != nil {
			a.refuse(err)
		}
	}
}

func (a *Agent) fromNode(m *hop.Message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	switch m.Type {
	case hop.Hello:
		a.tell(m.Balancer, hop.Message{Type: hop.HelloAck, Agent: a.settings.Packets, Load: a.gate.Load(now)})
	case hop.Forward:
		p, err := platform.DecodePacket(m.Packet)
		if err != nil {
			return err
		}
		a.do(now, a.gate.FromPeer(now, m, p), p, m.Packet)
		a.release(now)
	}
	return nil
}

// readBackend takes the backend server's packets until the socket is closed.
func (a *Agent) readBackend(ctx context.Context) {
	buffer := make([]byte, udp.MaxDatagram)
	for {
		n, _, err := a.backend.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		var p flow.Packet
		if err == nil {
			p, err = platform.DecodePacket(buffer[:n])
		}
		if err != nil {
			a.refuse(err)
			continue
		}
		a.mu.Lock()
		now := time.Now()
		action := a.gate.FromBackend(now, p)
		if p.Has(flow.Bounced) {
			platform.ClearBounce(buffer[:n])
		}
		a.do(now, action, p, buffer[:n])
		a.release(now)
		a.mu.Unlock()
	}
}

// do carries an action out for the packet with the encoding raw.
func (a *Agent) do(now time.Time, action flowgate.Action, p flow.Packet, raw []byte) {
	switch action.Verdict {
	case flowgate.Deliver:
		platform.SetMark(raw, action.Mark)
		a.write(a.backend, raw, a.settings.Backend)
		if action.Tell.IsValid() {
			a.tell(action.Tell, a.gate.Placed(now, action.Key))
		}
	case flowgate.Hold:
		if action.Tell.IsValid() {
			a.tell(action.Tell, a.gate.Placed(now, action.Key))
		}
	case flowgate.ToCaller:
		a.write(a.nodes, raw, a.callerAddress(action.Key))
	case flowgate.PassOn:
		action.Message.Packet = raw
		a.tell(action.To, action.Message)
	case flowgate.Reset:
		a.reset(action.Key, action.Packet.Ack)
	}
	a.count(action, p)
	a.log(action, p)
	a.logRequest(action.Key, action.Seen, raw)
}

// count updates the counters that an action changes.
func (a *Agent) count(action flowgate.Action, p flow.Packet) {
	if p.Has(flow.Bounced) {
		a.metrics.Bounced.Inc(1)
	}
	switch {
	case action.Verdict == flowgate.Deliver && p.Opening():
		a.metrics.Openings.Inc(1)
	case action.Verdict == flowgate.PassOn:
		a.metrics.PassedOn.Inc(action.Kind)
	case action.Verdict == flowgate.Reset:
		a.metrics.Resets.Inc(1)
	case action.Verdict == flowgate.Drop:
		a.metrics.Drops.Inc(action.Kind)
	}
	if action.Seen.Opened {
		a.metrics.OpenTime.Update(action.Seen.OpenTook.Microseconds())
	}
	if action.Seen.Answered {
		a.metrics.AnswerTime.Update(action.Seen.Took.Microseconds())
	}
}

// measure updates the gauges, before they are read.
func (a *Agent) measure() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.metrics.Flows.Update(int64(a.gate.OpenFlows()))
	a.metrics.InProgress.Update(int64(a.gate.InProgress()))
	a.metrics.Waiting.Update(int64(a.gate.Waiting()))
	a.metrics.ReportAge.Update(a.gate.ReportAge(time.Now()).Milliseconds())
	a.metrics.ViewAge.Update(a.node.Board.AgeMS())
}

// logRequest writes when a request is seen, with its id, and when its answer
// starts.
func (a *Agent) logRequest(key flow.Key, seen flowgate.Seen, raw []byte) {
	fields := event.Fields{"flow": key.Caller.String(), "to": key.Service.String()}
	switch {
	case seen.Request:
		fields["request"] = platform.RequestID(raw)
		fields["in_progress"], fields["waiting"] = a.gate.InProgress(), a.gate.Waiting()
		a.logger.Emit(event.RequestSeen, fields)
	case seen.Answered:
		fields["ms"] = seen.Took.Milliseconds()
		// The first packet seen of a long answer needn't be the one with its
		// status.
		if status := platform.AnswerStatus(raw); status > 0 {
			fields["status"] = status
		}
		a.logger.Emit(event.FlowAnswered, fields)
	}
}

// noteRefusal writes when the agent begins or ceases to take new flows.
func (a *Agent) noteRefusal(now time.Time) {
	kind := a.gate.Refusal(now)
	if kind == a.refusal {
		return
	}
	a.refusal = kind
	fields := event.Fields{"taking": kind == 0, "report_age_ms": a.gate.ReportAge(now).Milliseconds()}
	if kind != 0 {
		fields["reason"] = kind.String()
	}
	a.logger.Emit(event.NewFlowsChanged, fields)
}

// release delivers the requests that leave the queue.
func (a *Agent) release(now time.Time) {
	for _, d := range a.gate.Release(now) {
		a.write(a.backend, d.Raw, a.settings.Backend)
	}
}

// log writes the decisions that place, move or end a flow.
func (a *Agent) log(action flowgate.Action, p flow.Packet) {
	fields := event.Fields{"flow": action.Key.Caller.String(), "to": action.Key.Service.String()}
	switch {
	case action.Verdict == flowgate.Deliver && p.Opening():
		a.logger.Emit(event.FlowPlaced, fields)
	case action.Verdict == flowgate.PassOn:
		fields["reason"], fields["next"], fields["opening"] = action.Kind.String(), action.To.String(), p.Opening()
		a.logger.Emit(event.FlowPassedOn, fields)
	case action.Verdict == flowgate.Reset:
		fields["reason"] = action.Kind.String()
		a.logger.Emit(event.FlowReset, fields)
	case action.Verdict == flowgate.Drop:
		a.logger.Failure(event.FlowDropped, errkind.New(action.Kind, "packet dropped"), fields)
	}
}

func (a *Agent) callerAddress(key flow.Key) netip.AddrPort {
	return netip.AddrPortFrom(key.Caller.Addr(), a.settings.Packets.Port())
}

func (a *Agent) reset(key flow.Key, ack uint32) {
	a.write(a.nodes, platform.AppendReset(nil, key, ack), a.callerAddress(key))
}

// tell sends a message to a node.
func (a *Agent) tell(to netip.AddrPort, m hop.Message) {
	a.buffer = m.Append(a.buffer[:0])
	a.write(a.nodes, a.buffer, to)
}

// write sends a datagram. One that can't be sent is lost like one on the way:
// its sender repeats it.
func (a *Agent) write(socket udp.Socket, b []byte, to netip.AddrPort) {
	if _, err := socket.WriteToUDPAddrPort(b, to); err != nil {
		a.refuse(errkind.Wrap(err, errkind.BackendDown, "send a packet"))
	}
}

func (a *Agent) refuse(err error) { a.logger.Failure(event.PacketRefused, err, nil) }

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
