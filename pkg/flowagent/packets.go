package flowagent

import (
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/platform"
)

// handleMessage handles a message from a balancer or another agent.
func (a *Agent) handleMessage(m *hop.Message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.handedOver {
		return nil
	}
	now := time.Now()
	switch m.Type {
	case hop.Hello:
		a.sendMessage(m.Balancer, a.helloAck(now))
	case hop.Forward:
		decode := platform.DecodePacket
		if m.Query {
			decode = platform.DecodeHeader
		}
		p, err := decode(m.Packet)
		if err != nil {
			return err
		}
		a.execute(now, a.gate.FromPeer(now, m, p), p, m.Packet)
		a.deliverQueued(now)
	}
	return nil
}

func (a *Agent) helloAck(now time.Time) hop.Message {
	return hop.Message{Type: hop.HelloAck, Agent: a.settings.PacketAddress, Load: a.gate.Load(now)}
}

// notifyBalancers sends the agent's load to all balancers, unasked.
func (a *Agent) notifyBalancers(now time.Time) {
	for _, b := range a.balancers {
		a.sendMessage(b, a.helloAck(now))
	}
}

// notifyRestart sends the agent's load to all balancers if it says that the process ends
// while the backend server runs on. It is called when the process begins to stop and just
// before it falls silent, because messages are lost at times.
func (a *Agent) notifyRestart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.gate.Load(now).Stopping {
		a.notifyBalancers(now)
	}
}

// handleBackendPacket handles a packet from the backend server.
func (a *Agent) handleBackendPacket(raw []byte) error {
	p, err := platform.DecodePacket(raw)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.handedOver {
		return nil
	}
	now := time.Now()
	action := a.gate.FromBackend(now, p)
	if p.Has(flow.Bounced) {
		platform.ClearBounce(raw)
	}
	a.execute(now, action, p, raw)
	a.deliverQueued(now)
	return nil
}

// execute carries out an action for the packet p, which raw encodes.
func (a *Agent) execute(now time.Time, action flowgate.Action, p flow.Packet, raw []byte) {
	switch action.Verdict {
	case flowgate.Deliver:
		platform.SetMark(raw, action.Mark)
		a.writeDatagram(a.backendSocket, raw, a.settings.BackendAddress)
	case flowgate.ToCaller:
		a.writeDatagram(a.nodeSocket, raw, a.callerAddress(action.Key))
	case flowgate.PassOn:
		if action.Message.Packet == nil {
			action.Message.Packet = raw
		}
		a.sendMessage(action.To, action.Message)
	case flowgate.Reset:
		a.sendReset(action.Key, action.Packet.Ack)
	}
	if action.NotifyBalancer.IsValid() {
		a.sendMessage(action.NotifyBalancer, a.gate.Placed(now, action.Key))
	}
	a.recordAction(action, p)
	a.recordProgress(action.Key, action.Progress, p.Status, raw)
}

// deliverQueued delivers the queued requests that the gate releases to the
// backend server.
func (a *Agent) deliverQueued(now time.Time) { a.deliver(a.gate.Release(now)) }

// deliverAllQueued delivers all queued requests to the backend server, which queues or
// refuses those beyond its slots.
func (a *Agent) deliverAllQueued() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.gate.ReleaseAll(time.Now()))
}

func (a *Agent) deliver(list []flowgate.Delivery) {
	for _, d := range list {
		a.writeDatagram(a.backendSocket, d.Raw, a.settings.BackendAddress)
	}
}

func (a *Agent) callerAddress(key flow.Key) netip.AddrPort {
	return netip.AddrPortFrom(key.Caller.Addr(), a.settings.PacketAddress.Port())
}

func (a *Agent) sendReset(key flow.Key, ack uint32) {
	a.writeDatagram(a.nodeSocket, platform.AppendReset(nil, key, ack), a.callerAddress(key))
}

// sendMessage sends a message to a balancer or another agent.
func (a *Agent) sendMessage(to netip.AddrPort, m hop.Message) {
	a.buffer = m.Append(a.buffer[:0])
	a.writeDatagram(a.nodeSocket, a.buffer, to)
}

// writeDatagram sends a datagram. A datagram that can't be sent counts as lost on
// the network: its sender retransmits it.
func (a *Agent) writeDatagram(socket udp.Socket, b []byte, to netip.AddrPort) {
	if _, err := socket.WriteToUDPAddrPort(b, to); err != nil {
		a.node.LogRefused(errkind.Wrap(err, errkind.BackendDown, "send a packet"))
	}
}

// updateGauges sets the gauges. It is called before they are read.
func (a *Agent) updateGauges() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.metrics.Flows.Update(int64(a.gate.OpenFlows()))
	a.metrics.InProgress.Update(int64(a.gate.InProgress()))
	a.metrics.Waiting.Update(int64(a.gate.QueuedRequests()))
	a.metrics.ReportAge.Update(a.gate.ReportAge(time.Now()).Milliseconds())
	a.metrics.ViewAge.Update(a.node.Board.AgeMS())
	a.metrics.StoreEra.Update(a.node.Board.View().Members.Revision.Era())
	learning := int64(0)
	if learns, _ := a.gate.Learning(time.Now()); learns {
		learning = 1
	}
	a.metrics.Learning.Update(learning)
}

// recordAction counts an action, and logs it if it delivers an opening, passes a
// packet on, resets a flow or drops a packet.
func (a *Agent) recordAction(action flowgate.Action, p flow.Packet) {
	if p.Has(flow.Bounced) {
		a.metrics.Bounced.Inc(1)
	}
	switch {
	case action.Verdict == flowgate.Deliver && p.Opening():
		a.metrics.Openings.Inc(1)
		a.logger.Emit(event.FlowPlaced, flowFields(action.Key))
	case action.LookupFrom.IsValid():
		a.metrics.Offered.Inc(1)
		fields := flowFields(action.Key)
		fields["balancer"] = action.LookupFrom.String()
		a.logger.Emit(event.PacketOffered, fields)
	case action.Verdict == flowgate.PassOn:
		a.metrics.PassedOn.Inc(action.Kind)
		fields := flowFields(action.Key)
		fields["reason"], fields["next"], fields["opening"] = action.Kind.String(), action.To.String(), p.Opening()
		a.logger.Emit(event.FlowPassedOn, fields)
	case action.Verdict == flowgate.Reset:
		a.metrics.Resets.Inc(1)
		fields := flowFields(action.Key)
		fields["reason"], fields["age_ms"] = action.Kind.String(), action.Lost.Age.Milliseconds()
		fields["opening_answered"], fields["adopted"] = action.Lost.OpeningAnswered, action.Lost.Adopted
		a.logger.Emit(event.FlowReset, fields)
	case action.Verdict == flowgate.Drop:
		a.metrics.Drops.Inc(action.Kind)
		a.logger.EmitError(event.FlowDropped, errkind.New(action.Kind, "packet dropped"), flowFields(action.Key))
	}
}

// recordProgress updates the times of openings and answers, and logs the start of
// a request, with its id, and of its answer.
func (a *Agent) recordProgress(key flow.Key, progress flowgate.FlowProgress, status int, raw []byte) {
	if progress.OpeningAnswered {
		a.metrics.OpenTime.Update(progress.OpenTime.Microseconds())
	}
	switch {
	case progress.RequestStarted:
		fields := flowFields(key)
		fields["request"] = platform.RequestID(raw)
		fields["in_progress"], fields["waiting"] = a.gate.InProgress(), a.gate.QueuedRequests()
		a.logger.Emit(event.RequestReceived, fields)
	case progress.AnswerStarted:
		a.metrics.AnswerTime.Update(progress.AnswerTime.Microseconds())
		fields := flowFields(key)
		fields["ms"] = progress.AnswerTime.Milliseconds()
		// Of a long answer, the packet that arrives first isn't always the one
		// that holds the status.
		if status > 0 {
			fields["status"] = status
		}
		a.logger.Emit(event.FlowAnswered, fields)
	}
}

func flowFields(key flow.Key) event.Fields {
	return event.Fields{"flow": key.Caller.String(), "to": key.Service.String()}
}

// updateRefusal updates whether and why the agent refuses new flows. It logs each
// change and notifies the balancers, unless the backend server is or was full.
func (a *Agent) updateRefusal(now time.Time) {
	kind := a.gate.Refusal(now)
	if kind == a.refusal {
		return
	}
	if kind != errkind.BackendFull && a.refusal != errkind.BackendFull {
		// A server becomes full and free again too often to notify balancers.
		a.notifyBalancers(now)
	}
	a.refusal = kind
	fields := event.Fields{"taking": kind == 0, "report_age_ms": a.gate.ReportAge(now).Milliseconds()}
	if kind != 0 {
		fields["reason"] = kind.String()
		fields["failures"], fields["outcomes"] = a.gate.RecentOutcomes()
	}
	a.logger.Emit(event.NewFlowAcceptanceChanged, fields)
}

// updateLearning logs whether the agent learns flows from packets, if that has changed. An
// agent that doesn't denies all flows that it doesn't know. The caller holds the lock.
func (a *Agent) updateLearning(now time.Time) {
	learns, reason := a.gate.Learning(now)
	if learns == a.learning {
		return
	}
	a.learning = learns
	v, confirmed := a.node.Board.Snapshot()
	fields := event.Fields{
		"learning": learns, "reason": reason, "running_ms": now.Sub(a.earlierHandovers.startedAt).Milliseconds(),
		"idle_timeout_ms": v.Configuration.IdleTimeout.Milliseconds(),
	}
	if !confirmed.Configuration.IsZero() {
		fields["configuration_age_ms"] = now.Sub(confirmed.Configuration).Milliseconds()
	}
	a.logger.Emit(event.LearningChanged, fields)
}
