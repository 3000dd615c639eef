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

// fromNode takes a message of a balancer or of another agent.
func (a *Agent) fromNode(m *hop.Message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	switch m.Type {
	case hop.Hello:
		a.tell(m.Balancer, a.helloAck(now))
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

func (a *Agent) helloAck(now time.Time) hop.Message {
	return hop.Message{Type: hop.HelloAck, Agent: a.settings.Packets, Load: a.gate.Load(now)}
}

// tellBalancers tells all balancers that the agent is there, and its load.
func (a *Agent) tellBalancers(now time.Time) {
	for _, b := range a.balancers {
		a.tell(b, a.helloAck(now))
	}
}

// fromBackend takes a packet of the backend server.
func (a *Agent) fromBackend(raw []byte) error {
	p, err := platform.DecodePacket(raw)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	action := a.gate.FromBackend(now, p)
	if p.Has(flow.Bounced) {
		platform.ClearBounce(raw)
	}
	a.do(now, action, p, raw)
	a.release(now)
	return nil
}

// do carries an action out for the packet with the encoding raw.
func (a *Agent) do(now time.Time, action flowgate.Action, p flow.Packet, raw []byte) {
	switch action.Verdict {
	case flowgate.Deliver:
		platform.SetMark(raw, action.Mark)
		a.write(a.backend, raw, a.settings.Backend)
	case flowgate.ToCaller:
		a.write(a.nodes, raw, a.callerAddress(action.Key))
	case flowgate.PassOn:
		action.Message.Packet = raw
		a.tell(action.To, action.Message)
	case flowgate.Reset:
		a.reset(action.Key, action.Packet.Ack)
	}
	if action.Tell.IsValid() {
		a.tell(action.Tell, a.gate.Placed(now, action.Key))
	}
	a.record(action, p)
	a.recordSeen(action.Key, action.Seen, p.Status, raw)
}

// release delivers the requests that leave the queue.
func (a *Agent) release(now time.Time) {
	for _, d := range a.gate.Release(now) {
		a.write(a.backend, d.Raw, a.settings.Backend)
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
		a.node.Refuse(errkind.Wrap(err, errkind.BackendDown, "send a packet"))
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

// record counts a decision, and logs those that place, move or end a flow.
func (a *Agent) record(action flowgate.Action, p flow.Packet) {
	if p.Has(flow.Bounced) {
		a.metrics.Bounced.Inc(1)
	}
	switch {
	case action.Verdict == flowgate.Deliver && p.Opening():
		a.metrics.Openings.Inc(1)
		a.logger.Emit(event.FlowPlaced, flowFields(action.Key))
	case action.Verdict == flowgate.PassOn:
		a.metrics.PassedOn.Inc(action.Kind)
		fields := flowFields(action.Key)
		fields["reason"], fields["next"], fields["opening"] = action.Kind.String(), action.To.String(), p.Opening()
		a.logger.Emit(event.FlowPassedOn, fields)
	case action.Verdict == flowgate.Reset:
		a.metrics.Resets.Inc(1)
		fields := flowFields(action.Key)
		fields["reason"] = action.Kind.String()
		a.logger.Emit(event.FlowReset, fields)
	case action.Verdict == flowgate.Drop:
		a.metrics.Drops.Inc(action.Kind)
		a.logger.Failure(event.FlowDropped, errkind.New(action.Kind, "packet dropped"), flowFields(action.Key))
	}
}

// recordSeen measures answers, and logs when a request is seen, with its id, and
// when its answer starts.
func (a *Agent) recordSeen(key flow.Key, seen flowgate.Seen, status int, raw []byte) {
	if seen.Opened {
		a.metrics.OpenTime.Update(seen.OpenTook.Microseconds())
	}
	switch {
	case seen.Request:
		fields := flowFields(key)
		fields["request"] = platform.RequestID(raw)
		fields["in_progress"], fields["waiting"] = a.gate.InProgress(), a.gate.Waiting()
		a.logger.Emit(event.RequestSeen, fields)
	case seen.Answered:
		a.metrics.AnswerTime.Update(seen.Took.Microseconds())
		fields := flowFields(key)
		fields["ms"] = seen.Took.Milliseconds()
		// The first packet seen of a long answer needn't be the one with its
		// status.
		if status > 0 {
			fields["status"] = status
		}
		a.logger.Emit(event.FlowAnswered, fields)
	}
}

func flowFields(key flow.Key) event.Fields {
	return event.Fields{"flow": key.Caller.String(), "to": key.Service.String()}
}

// noteRefusal tells the balancers and the log when the agent begins or ceases
// to take new flows.
func (a *Agent) noteRefusal(now time.Time) {
	kind := a.gate.Refusal(now)
	if kind == a.refusal {
		return
	}
	if kind != errkind.BackendFull && a.refusal != errkind.BackendFull {
		// A server that is full changes too often to tell of it.
		a.tellBalancers(now)
	}
	a.refusal = kind
	fields := event.Fields{"taking": kind == 0, "report_age_ms": a.gate.ReportAge(now).Milliseconds()}
	if kind != 0 {
		fields["reason"] = kind.String()
		fields["failures"], fields["outcomes"] = a.gate.Failures()
	}
	a.logger.Emit(event.NewFlowsChanged, fields)
}
