package flowbalancer

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowsteer"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/linkbudget"
)

// admit counts a caller's packet and reports whether the link has room for it. If not, it resets
// the new flow, or drops the packet: a copy of an opening that was reset, or data that the
// caller will retransmit.
func (b *Balancer) admit(now time.Time, p flow.Packet, bytes int) bool {
	if b.linkBudget.ShedPacket(now, p, bytes) {
		b.execute(flowsteer.Action{Verdict: flowsteer.Drop, Kind: errkind.LinkFull, Packet: p})
		return false
	}
	b.linkBudget.Received(now, p, bytes)
	if !p.Opening() {
		return true
	}
	if b.linkBudget.WasRefused(now, p.CallerKey()) {
		verdict := flowsteer.Drop
		if p.Age == 0 {
			verdict = flowsteer.Reset // a duplicate, or another flow from the same port
		}
		b.execute(flowsteer.Action{Verdict: verdict, Kind: errkind.LinkFull, Packet: p})
		return false
	}
	if !b.linkBudget.Enabled() || p.Age > 0 {
		return true
	}
	route, ok := b.routes[p.To]
	if !ok || b.steerer.HasForwarded(now, p.CallerKey()) {
		return true
	}
	admitted, reason := b.linkBudget.AdmitOpening(now, p.CallerKey(), route)
	if !admitted {
		b.logger.Emit(event.NewFlowsRejected, event.Fields{
			"route": route.Name, "to": p.To.String(), "reason": reason.String(), "link_bytes_per_s": int64(b.linkBudget.Rate()),
		})
		b.execute(flowsteer.Action{Verdict: flowsteer.Reset, Kind: errkind.LinkFull, Packet: p})
	}
	return admitted
}

// tickLinkBudget runs the timers of the link budget.
func (b *Balancer) tickLinkBudget(now time.Time) {
	if b.linkBudget.Tick(now) {
		b.steerer.SetLinkRate(b.linkBudget.Rate())
		b.logger.Emit(event.LinkRateRaised, event.Fields{
			"configured_bytes_per_s": int64(b.settings.LinkRate), "bytes_per_s": int64(b.linkBudget.Rate()),
		})
	}
}

// logUnknownLinkRate logs that the settings lack the rate of the link.
func (b *Balancer) logUnknownLinkRate() {
	if b.settings.LinkRate == 0 {
		b.logger.Emit(event.LinkRateUnknown, nil)
	}
}

// countSent counts b.buffer, which is sent next.
func (b *Balancer) countSent(kind linkbudget.Kind, repeated bool) {
	var now time.Time
	if b.linkBudget.Enabled() {
		now = time.Now()
	}
	b.linkBudget.Sent(now, kind, len(b.buffer), repeated)
}

// sentKind returns what the message of an action of verdict Send is for.
func sentKind(action flowsteer.Action) linkbudget.Kind {
	switch m := &action.Message; {
	case m.Type != hop.Forward:
		return linkbudget.Control
	case action.Packet.Opening():
		return linkbudget.Opening
	case m.KnownOnly:
		return linkbudget.Lookup
	case m.ReportHolder:
		return linkbudget.Offer
	}
	return linkbudget.Forward
}

// retryBudgetLeft returns how many bytes the steerer may send again now, -1 if it has no
// limit.
func (b *Balancer) retryBudgetLeft() int64 {
	if !b.linkBudget.Enabled() {
		return -1
	}
	return b.steerer.RetryBudget()
}

// updateLinkGauges sets the gauges of the link.
func (b *Balancer) updateLinkGauges() {
	s, m := b.linkBudget.Snapshot(), b.metrics.Link
	m.ReceivedMessages.Update(s.Received.Messages)
	m.ReceivedBytes.Update(s.Received.Bytes)
	for kind := range linkbudget.Kinds {
		first, repeated := s.Sent[kind][0], s.Sent[kind][1]
		m.SentMessages.Update(kind.String(), first.Messages)
		m.SentBytes.Update(kind.String(), first.Bytes)
		m.RepeatedMessages.Update(kind.String(), repeated.Messages)
		m.RepeatedBytes.Update(kind.String(), repeated.Bytes)
	}
	for reason := range linkbudget.Reasons {
		m.Rejected.Update(reason.String(), s.Refused[reason])
	}
	m.ShedMessages.Update(s.Shed.Messages)
	m.RetryBudget.Update(b.retryBudgetLeft())
	m.Rate.Update(int64(b.linkBudget.Rate()))
}
