package flowgate

import (
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	// bounceTimeout is how long the backend server may take to return a packet
	// that was offered to it.
	bounceTimeout = 2 * time.Second
	// offerResponseTimeout is how long a backend server may send nothing after a
	// packet was offered to it. It covers the processing of a request.
	offerResponseTimeout = 450 * time.Millisecond
	// connAttemptInterval is the minimum time between two connection attempts to a
	// silent backend server, which answers them with new connections if it hangs.
	connAttemptInterval = 2 * time.Second
	// maxOffers is the maximum number of offered packets that are remembered.
	maxOffers = 4096
	// maxDenied is the maximum number of flows that are remembered as not held.
	maxDenied = 1 << 16
)

// offer is a packet that was delivered and that the backend server may return.
type offer struct {
	message hop.Message
	key     flow.Key
	at      time.Time
	raw     []byte // the packet, if it may have to be passed on without being returned
	// passedOn is set if the packet was passed on although the backend server may
	// still answer it.
	passedOn bool
}

// isOffered reports whether a packet belongs to a lookup in which agents that don't know
// its flow offer it to their backend servers.
func isOffered(m *hop.Message) bool { return m.Offered || (m.ReportHolder && !m.KnownOnly) }

// unknownFlow decides about a packet of a flow that this agent doesn't know. While
// the agent learns, its backend server may hold the flow. The packet is not offered to
// it while agents are asked whether they know the flow, because other backend servers
// must not get many packets of a flow. The answer shows whether such a packet was offered
// lately, so that a balancer also counts the offers that other balancers have caused.
func (g *Gate) unknownFlow(now time.Time, m *hop.Message, key flow.Key) Action {
	if at, ok := g.lastOffers[key]; ok && now.Sub(at) < hop.OfferWindow {
		m.Offered = true
	}
	_, denied := g.denied[key]
	if denied || !g.mayHold(now, key) || g.backend.isDown() {
		return g.passOn(m, key, errkind.PacketNoHolder)
	}
	if m.KnownOnly {
		m.Unsure |= 1 << m.Position
		return g.passOn(m, key, errkind.PacketNoHolder)
	}
	g.backend.noteOffer(now)
	if len(g.lastOffers) < maxOffers {
		g.lastOffers[key] = now
	}
	return Action{Verdict: Deliver, Mark: g.keepOffer(now, m, key, slices.Clone(m.Packet)), Key: key, LookupFrom: m.Balancer}
}

// mayHold reports whether the backend server may hold a flow that this agent doesn't know:
// the agent learns, or the flow was being opened when an earlier process handed over.
func (g *Gate) mayHold(now time.Time, key flow.Key) bool {
	return g.learns(now) || g.mayLive(now, g.maybeOpened[key])
}

// ConnAttemptDue reports whether a connection attempt is to show whether the backend
// server is down, because it has sent nothing for long since packets were offered to
// it; see RecordConnAttempt.
func (g *Gate) ConnAttemptDue(now time.Time) bool {
	return g.backend.ignoresOffers(now) && !g.backend.isDown() && now.Sub(g.backend.dialledAt) >= connAttemptInterval
}

// RecordConnAttempt records whether the backend server refused a connection
// attempt.
func (g *Gate) RecordConnAttempt(now time.Time, refused bool) {
	g.backend.dialledAt = now
	if refused {
		g.backend.refusedAt = now
	}
}

// PassOnUnanswered returns actions that pass on the packets offered to a backend
// server that has sent nothing since. Another agent may hold their flows. This agent
// denies them only if the backend server is down; a silent one may still answer.
func (g *Gate) PassOnUnanswered(now time.Time) []Action {
	down := g.backend.isDown()
	if !down && !g.backend.ignoresOffers(now) {
		return nil
	}
	var out []Action
	for mark, o := range g.offers {
		if o.raw == nil || now.Sub(o.at) < offerResponseTimeout || (o.passedOn && !down) {
			continue
		}
		m := o.message
		m.Packet = o.raw
		if down {
			delete(g.offers, mark)
		} else {
			o.passedOn = true
			g.offers[mark] = o
			m.Unsure |= 1 << m.Position
		}
		out = append(out, g.passOn(&m, o.key, errkind.BackendDown))
	}
	return out
}

// BackendVanished reports whether the backend server ended while no agent was
// running: it has not reported since this process started and is down.
func (g *Gate) BackendVanished() bool {
	return g.backend.reportedAt.IsZero() && g.backend.isDown()
}

// keepOffer remembers a message whose packet the backend server may return, and
// returns the mark that identifies it, 0 if there are too many offers. raw is the
// packet if it may have to be passed on without being returned.
func (g *Gate) keepOffer(now time.Time, m *hop.Message, key flow.Key, raw []byte) uint32 {
	if len(g.offers) >= maxOffers {
		return 0
	}
	g.lastMark++
	if g.lastMark == 0 {
		g.lastMark++
	}
	kept := *m
	kept.Candidates = slices.Clone(m.Candidates)
	kept.Packet = nil
	g.offers[g.lastMark] = offer{message: kept, key: key, at: now, raw: raw}
	return g.lastMark
}

// takeOffer removes and returns the offer of a packet that the backend server returned.
// Marks of an earlier process of the agent may be in use again, for other flows.
func (g *Gate) takeOffer(mark uint32, key flow.Key) (offer, bool) {
	o, ok := g.offers[mark]
	if !ok || o.key != key {
		return offer{}, false
	}
	delete(g.offers, mark)
	return o, true
}

// noteDenied records that the backend server doesn't hold a flow. It can only come to
// hold it by an opening.
func (g *Gate) noteDenied(key flow.Key) {
	delete(g.maybeOpened, key)
	if len(g.denied) < maxDenied {
		g.denied[key] = struct{}{}
	}
}

// resetOfUnknownFlow decides about a reset that the backend server sent. The caller gets
// it only if the backend server may hold the flow. In reply to an offered packet a reset
// says that the flow ended here, for example one that was opened at another backend
// server in the end.
func (g *Gate) resetOfUnknownFlow(now time.Time, key flow.Key) Action {
	if !g.mayHold(now, key) {
		return Action{Verdict: Drop, Kind: errkind.PacketNoHolder, Key: key}
	}
	for mark, o := range g.offers {
		if o.key != key || o.raw == nil {
			continue
		}
		delete(g.offers, mark)
		g.noteDenied(key)
		if o.passedOn {
			return Action{Verdict: Drop, Kind: errkind.PacketNoHolder, Key: key}
		}
		o.message.Packet = o.raw
		return g.passOn(&o.message, key, errkind.PacketNoHolder)
	}
	return Action{Verdict: ToCaller, Key: key}
}

// nextBalancerLookingFor returns a balancer that looks for the holder of a flow and whose
// packet was offered to the backend server, if there is one. It returns each once.
func (g *Gate) nextBalancerLookingFor(key flow.Key) netip.AddrPort {
	for mark, o := range g.offers {
		if o.raw != nil && o.key == key && o.message.ReportHolder {
			delete(g.offers, mark)
			return o.message.Balancer
		}
	}
	return netip.AddrPort{}
}
