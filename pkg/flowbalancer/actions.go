package flowbalancer

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowsteer"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/linkbudget"
	"github.com/knapweedpier/knapweedpier/platform"
)

// maxLoggedDeadAgents is the maximum number of dead agents that a log line names.
const maxLoggedDeadAgents = 4

// countPacket updates the counters for a caller's packet.
func (b *Balancer) countPacket(p flow.Packet, action flowsteer.Action) {
	switch {
	case action.Verdict != flowsteer.Send:
	case p.Opening():
		b.metrics.Openings.Inc(1)
	default:
		b.metrics.Packets.Inc(1)
		if action.Message.ReportHolder {
			b.metrics.Searches.Inc(1)
		}
	}
}

func (b *Balancer) executeAll(actions []flowsteer.Action) {
	for _, action := range actions {
		b.execute(action)
	}
}

// execute carries out an action of the steerer.
func (b *Balancer) execute(action flowsteer.Action) {
	switch action.Verdict {
	case flowsteer.Send:
		if action.Message.Query {
			action.Message.Packet = platform.CutToHeader(action.Message.Packet)
		}
		b.buffer = action.Message.Append(b.buffer[:0])
		b.countSent(sentKind(action), isRepeated(action))
		b.writeBuffer(b.nodeSocket, action.To)
	case flowsteer.Reset:
		key := action.Packet.CallerKey()
		b.metrics.Resets.Inc(action.Kind)
		b.logger.Emit(event.FlowReset, actionFields(key, action))
		b.buffer = platform.AppendReset(b.buffer[:0], key, action.Packet.Ack)
		b.countSent(linkbudget.Control, false)
		b.writeBuffer(b.callerSocket, netip.AddrPortFrom(key.Caller.Addr(), b.settings.PacketAddress.Port()))
	case flowsteer.Keep:
		if action.Kind == 0 {
			return // an agent's answer is pending
		}
		b.logger.Emit(event.PacketKept, actionFields(action.Packet.CallerKey(), action))
	case flowsteer.Drop:
		b.metrics.Drops.Inc(action.Kind)
		b.logger.EmitError(event.FlowDropped, errkind.New(action.Kind, "packet dropped"), actionFields(action.Packet.CallerKey(), action))
	}
}

func actionFields(key flow.Key, action flowsteer.Action) event.Fields {
	fields := event.Fields{"flow": key.Caller.String(), "to": key.Service.String(), "reason": action.Kind.String(), "opening": action.Packet.Opening()}
	if action.Packet.Opening() {
		fields["copy"] = action.Packet.Ack
	}
	if l := action.Lookup; l.Denied > 0 {
		fields["members"], fields["view_age_ms"], fields["lookup_ms"] = l.Members, l.ViewAge.Milliseconds(), l.Duration.Milliseconds()
		fields["denied"], fields["dead"] = l.Denied, len(l.DeadAgents)
		if len(l.DeadAgents) > 0 {
			fields["dead_agents"] = deadAgentsText(l.DeadAgents)
		}
	}
	return fields
}

// deadAgentsText names the first of the agents that count as dead, with their silence.
func deadAgentsText(list []flowsteer.DeadAgent) string {
	var names []string
	for _, a := range list[:min(len(list), maxLoggedDeadAgents)] {
		names = append(names, fmt.Sprintf("%s silent_ms=%d restarting=%v", a.Name, a.Silence.Milliseconds(), a.Restarting))
	}
	return strings.Join(names, ", ")
}

// executeRepeats executes actions that no packet of a caller has caused.
func (b *Balancer) executeRepeats(actions []flowsteer.Action) {
	for _, action := range actions {
		if action.Verdict == flowsteer.Send && action.Packet.Opening() {
			b.logOpening(action.Packet, action, true)
		}
		b.execute(action)
	}
}

// logOpening logs that the opening p is sent to an agent. repeated says that it was sent to
// other agents before, which have declined it or have not answered in time.
func (b *Balancer) logOpening(p flow.Packet, action flowsteer.Action, repeated bool) {
	b.logger.Emit(event.FlowOffered, event.Fields{
		"flow": p.From.String(), "to": p.To.String(), "copy": p.Ack, "service": action.Service, "agent": action.To.String(), "repeated": repeated,
	})
}

// writeBuffer sends b.buffer. A datagram that can't be sent counts as lost on the
// network: its sender retransmits it.
func (b *Balancer) writeBuffer(socket udp.Socket, to netip.AddrPort) {
	if _, err := socket.WriteToUDPAddrPort(b.buffer, to); err != nil {
		b.node.LogRefused(errkind.Wrap(err, errkind.PacketNoAgent, "send a packet"))
	}
}
