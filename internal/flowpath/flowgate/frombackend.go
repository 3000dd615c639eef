package flowgate

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

// FromBackend decides about a packet that the backend server sent.
func (g *Gate) FromBackend(now time.Time, p flow.Packet) Action {
	if p.Has(flow.Bounced) {
		return g.bouncedPacket(now, p)
	}
	key := p.BackendKey()
	g.backend.sentOpenings.answeredAt, g.backend.sentOffers.answeredAt = now, now
	f := g.flows.get(key)
	a := Action{Verdict: ToCaller, Key: key}
	if f != nil && f.state == stateOpening && p.Has(flow.Reset) {
		// The flow may be open at another backend server.
		g.flows.remove(key)
		return Action{Verdict: Drop, Kind: errkind.PacketNoHolder, Key: key}
	}
	if f == nil && p.Has(flow.Reset) {
		return g.resetOfUnknownFlow(now, key)
	}
	if f == nil || f.state == stateLost {
		if p.Has(flow.Reset) {
			return a
		}
		f = g.flows.add(key, now)
		f.adopted = true
	}
	if f.state == stateOpening && f.opens(p, fromBackend) {
		g.flows.open(f)
		f.openedAt = now // an earlier run may have got the opening
	}
	if f.adopted && f.state == stateOpen && g.mayHold(now, key) {
		a.NotifyBalancer = g.nextBalancerLookingFor(key)
	}
	switch {
	case p.Has(flow.Open) && !f.openingAnswered && !f.adopted:
		a.Progress.OpeningAnswered, a.Progress.OpenTime = true, now.Sub(f.openedAt)
	case f.isNewAnswerData(p) && f.awaitsAnswer:
		a.Progress.AnswerStarted, a.Progress.AnswerTime = true, now.Sub(f.requestSeenAt)
	}
	if f.awaitsAnswer && (a.Progress.AnswerStarted || p.Has(flow.Reset)) {
		g.recordAnswer(now, f, p.Has(flow.Reset), p.Status)
	}
	g.flows.recordBackendPacket(now, f, p)
	return a
}

// bouncedPacket decides about a packet that the backend server returned.
func (g *Gate) bouncedPacket(now time.Time, p flow.Packet) Action {
	key := p.CallerKey()
	g.backend.sentOffers.answeredAt = now
	o, kept := g.takeOffer(p.Mark, key)
	f := g.flows.get(key)
	if p.Opening() {
		if f != nil && f.state == stateOpening && !f.openingAnswered {
			g.flows.remove(key)
		}
		if !kept {
			return Action{Verdict: Drop, Kind: errkind.BackendFull, Key: key}
		}
		return g.passOn(&o.message, key, errkind.BackendFull)
	}
	if f != nil && f.state == stateOpen {
		// The backend server held the flow and no longer does: it restarted and
		// has not reported since.
		g.backend.noteFlowLoss()
		g.flows.markLost(f)
		if p.Has(flow.Reset) {
			return Action{Verdict: Drop, Kind: errkind.PacketFlowLost, Key: key}
		}
		return Action{Verdict: Reset, Packet: p, Kind: errkind.PacketFlowLost, Key: key, Lost: f.lostEntry(now)}
	}
	if kept {
		g.noteDenied(key)
	}
	if !kept || o.passedOn {
		return Action{Verdict: Drop, Kind: errkind.PacketNoHolder, Key: key}
	}
	return g.passOn(&o.message, key, errkind.PacketNoHolder)
}
