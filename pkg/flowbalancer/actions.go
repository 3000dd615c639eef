package flowbalancer

import (
	"net/netip"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowsteer"
	"github.com/knapweedpier/knapweedpier/platform"
)

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
		b.buffer = action.Message.Append(b.buffer[:0])
		b.writeBuffer(b.nodeSocket, action.To)
	case flowsteer.Reset:
		key := action.Packet.CallerKey()
		b.metrics.Resets.Inc(action.Kind)
		b.logger.Emit(event.FlowReset, actionFields(key, action))
		b.buffer = platform.AppendReset(b.buffer[:0], key, action.Packet.Ack)
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
	if l := action.Lookup; l.Denied > 0 {
		fields["members"], fields["view_age_ms"] = l.Members, l.ViewAge.Milliseconds()
		fields["denied"], fields["dead"] = l.Denied, l.DeadAgents
	}
	return fields
}

// writeBuffer sends b.buffer. A datagram that can't be sent counts as lost on the
// network: its sender retransmits it.
func (b *Balancer) writeBuffer(socket udp.Socket, to netip.AddrPort) {
	if _, err := socket.WriteToUDPAddrPort(b.buffer, to); err != nil {
		b.node.LogRefused(errkind.Wrap(err, errkind.PacketNoAgent, "send a packet"))
	}
}
