package flowsteer

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	// lookupRetryDelay is how long the balancer waits before it retries a lookup
	// that all agents asked have denied, if it may not have known or reached every
	// agent.
	lookupRetryDelay = 50 * time.Millisecond
	// lookupAnswerTimeout is how long the agents may take to answer a lookup. A
	// lookup that takes longer was sent to an agent that is down.
	lookupAnswerTimeout = 200 * time.Millisecond
	// maxLookupRetries is the maximum number of times that a lookup is retried.
	maxLookupRetries = 4
	// offeringRetry is the retry from which on agents that may hold a flow without knowing
	// it offer its packet although others, which hardly hold it, have not answered.
	offeringRetry = 2
	// maxListsPerRound is the maximum number of candidate lists that are sent at a
	// time after the first list, which usually contains the holder.
	maxListsPerRound = 16
	// maxShortLists is the maximum number of candidate lists of a retry that are shorter
	// than others. More lists would fill a narrow link of the balancer.
	maxShortLists = 8
	// maxWaitingPackets is the maximum number of further packets of a flow that
	// wait for its lookup. A caller has no more than that in flight.
	maxWaitingPackets = 16
	// lookupTimeout is how long a packet is kept while its flow is not found.
	// Callers retransmit it sooner.
	lookupTimeout = 1200 * time.Millisecond
	// maxViewAge is the maximum age of the view at the start of a lookup at which
	// the view is sure to contain all agents with flows. A new agent accepts no
	// flows for a longer time, flowgate.NewAgentDelay.
	maxViewAge = 2 * time.Second
	// maxLookups is the maximum number of concurrent lookups. Each keeps a packet.
	maxLookups = 4096
	// maxAllWaitingPackets is the maximum number of further packets that all lookups keep
	// together, about 10 MB.
	maxAllWaitingPackets = 8192
)

// lookup is the search for the agent that holds a flow. The flow was open when
// the packet was sent, so an agent that denied it needn't be asked again. The agents of
// the first list, which usually contains the holder, are first asked whether they know
// the flow. When none does, those that may hold it without knowing it offer the packet to
// their backend servers; see offersAllowed.
// For a packet with data, a balancer with a narrow link sends queries in place of the packet,
// and forwards the packet to the agent that holds the flow.
// An acknowledgement is never offered: its loss is made good by a retransmission, and
// nothing shows which backend server took it.
type lookup struct {
	order          []netip.AddrPort // agents to ask, in this order
	next           int              // index in order of the first agent that was not asked
	deniedBy       []netip.AddrPort // agents that don't hold the flow
	unsure         []netip.AddrPort // agents that don't know the flow but may hold it
	likely         []netip.AddrPort // agents to which the opening of the flow went first, the likeliest holder first
	packet         flow.Packet
	raw            []byte           // the encoding of packet
	usesQueries    bool             // agents get queries, with the header of packet only; see Options.narrow
	isSent         bool             // packet, or a query for it, was sent to agents
	needsForward   bool             // packet was sent to no agent but offeredTo: the holder gets it when it is known
	offeredTo      []netip.AddrPort // agents that got packet to offer it to their backend servers
	waitingPackets [][]byte         // further packets of the flow
	// replacedSinceRound is set if packet replaced an earlier one after the last round was sent.
	replacedSinceRound bool
	startedAt          time.Time
	lastSentAt         time.Time // when agents were asked last
	// hellosRequested is set if hellos were requested since lastSentAt, because agents have not
	// answered in time.
	hellosRequested bool
	retries         int       // rounds sent after the first lookup
	deniedByAll     bool      // all agents have denied the flow once
	retryAt         time.Time // when to retry, zero while answers are awaited
}

// findHolder starts a lookup of the agent that holds a packet's flow. If one is
// running already, the packet waits for its result.
func (s *Steerer) findHolder(now time.Time, key flow.Key, p flow.Packet, raw []byte) Action {
	if l := s.lookups[key]; l != nil {
		if !callsForAnswer(l.packet) && callsForAnswer(p) {
			l.replacePacket(now, p, raw, s.usesQueries(p))
			return Action{Verdict: Keep, Packet: p}
		}
		if l.usesQueries && l.isKept(raw) {
			if bytes.Equal(l.raw, raw) {
				l.offeredTo = nil // the offers may be lost: the holder gets the retransmission
			}
			return Action{Verdict: Keep, Packet: p}
		}
		if len(l.waitingPackets) >= maxWaitingPackets || s.waitingPackets >= maxAllWaitingPackets {
			return noHolderAction(Drop, p)
		}
		s.waitingPackets++
		l.waitingPackets = append(l.waitingPackets, slices.Clone(raw))
		return Action{Verdict: Keep, Packet: p}
	}
	if len(s.lookups) >= maxLookups {
		return noHolderAction(Drop, p)
	}
	l := &lookup{packet: p, raw: slices.Clone(raw), startedAt: now}
	l.usesQueries = s.usesQueries(p)
	l.needsForward = l.usesQueries // until the holder is known
	l.order, l.likely = s.agents.rankForLookup(key.Hash(), s.targets(p.To)), s.agents.likelyHolders(key.Hash(), s.targets(p.To))
	if len(l.order) == 0 {
		return noHolderAction(Drop, p)
	}
	s.lookups[key] = l
	list := l.order[:min(len(l.order), hop.MaxCandidates)]
	l.next, l.lastSentAt = len(list), now
	return s.sendKnownOnly(now, key, list, l)
}

// endLookup removes the lookup of a flow, if there is one, with its packets.
func (s *Steerer) endLookup(key flow.Key) {
	if l := s.lookups[key]; l != nil {
		s.waitingPackets -= len(l.waitingPackets)
		delete(s.lookups, key)
	}
}

// usesQueries reports whether a lookup of the flow of p sends queries, with the header of p
// only. The data then passes the narrow link once, when the holder is known.
func (s *Steerer) usesQueries(p flow.Packet) bool { return s.options.narrow() && p.Length > 0 }

// isKept reports whether the lookup already has a packet, which its caller then has
// retransmitted.
func (l *lookup) isKept(raw []byte) bool {
	return bytes.Equal(l.raw, raw) || slices.ContainsFunc(l.waitingPackets, func(kept []byte) bool { return bytes.Equal(kept, raw) })
}

// callsForAnswer reports whether the end that holds a packet's flow answers it. An
// agent that learns its flows by the answers of its backend server doesn't report
// that it holds the flow of another packet.
func callsForAnswer(p flow.Packet) bool { return p.Length > 0 || p.Has(flow.Close) }

// replacePacket makes the lookup send another packet of its flow, with the next
// timer. The earlier denials still hold.
func (l *lookup) replacePacket(now time.Time, p flow.Packet, raw []byte, usesQueries bool) {
	l.usesQueries = usesQueries
	l.packet, l.raw, l.needsForward, l.replacedSinceRound, l.isSent = p, slices.Clone(raw), true, true, false
	l.startedAt, l.retryAt, l.retries = now, now, 0
}

// sendNextLists sends the packet of a lookup, or a query for it, to the agents that have not
// got it in this round, in up to the given number of candidate lists of the given length.
func (s *Steerer) sendNextLists(now time.Time, key flow.Key, l *lookup, lists, length int) []Action {
	l.lastSentAt, l.retryAt, l.needsForward, l.replacedSinceRound = now, time.Time{}, l.usesQueries, false
	l.hellosRequested = false
	var due []Action
	for range lists {
		if l.next == len(l.order) {
			break
		}
		list := l.order[l.next:min(len(l.order), l.next+length)]
		l.next += len(list)
		due = append(due, s.sendKnownOnly(now, key, list, l))
	}
	return due
}

// sendKnownOnly returns the action that sends the packet of a lookup, or a query for it, to the
// agents of a list. Those that don't know the flow don't offer the packet to their backend
// servers.
func (s *Steerer) sendKnownOnly(now time.Time, key flow.Key, list []netip.AddrPort, l *lookup) Action {
	a := s.forward(list, 0, true, l.raw)
	a.Message.KnownOnly, a.Message.Query, a.Message.Offered = true, l.usesQueries, s.wasOffered(now, key)
	a.Repeated, l.isSent = l.isSent, true
	return a
}

// wasOffered reports whether packets of a flow were lately sent to agents to be offered to
// backend servers that may not hold it.
func (s *Steerer) wasOffered(now time.Time, key flow.Key) bool {
	return s.offers.left(now, key) < offerBudget
}

// recordDenial records the agents that don't hold a flow, and asks further ones
// when all that were asked have denied it or are unsure.
func (s *Steerer) recordDenial(now time.Time, key flow.Key, p flow.Packet, m *hop.Message) []Action {
	l := s.lookups[key]
	if l == nil {
		if _, found := s.flows.get(key, now); found {
			return nil // an agent of another list holds the flow and has the packet
		}
		return []Action{noHolderAction(Drop, p)}
	}
	l.recordAnswers(m)
	if m.Offered && !s.wasOffered(now, key) {
		// Another balancer has had packets of the flow offered.
		s.offers.record(now, key, offerBudget)
	}
	allAnswered := !slices.ContainsFunc(l.order[:l.next], l.isUnanswered)
	if allAnswered || l.retries >= offeringRetry {
		if offers := s.offerToUnsure(now, key, l, s.offersAllowed(now, key, l)); len(offers) > 0 {
			return offers
		}
	}
	switch {
	case !allAnswered:
		return nil
	case l.next < len(l.order):
		return s.sendNextLists(now, key, l, maxListsPerRound, hop.MaxCandidates)
	case len(l.unsure) > 0:
		s.endLookup(key)
		return []Action{noHolderAction(Drop, p)}
	}
	return []Action{s.resolveMissing(now, key, l)}
}

// offersAllowed returns how many of the agents that may hold a flow without knowing it may
// offer its packet: all if all agents have answered, because one of them holds it then, and
// otherwise as many as the budget leaves. While a likely holder has not answered, only a
// likelier one may.
func (s *Steerer) offersAllowed(now time.Time, key flow.Key, l *lookup) int {
	if l.next == len(l.order) && !slices.ContainsFunc(l.order, l.isUnanswered) {
		return len(l.unsure)
	}
	left := s.offers.left(now, key)
	for _, agent := range l.likely {
		switch {
		case slices.Contains(l.unsure, agent) && slices.ContainsFunc(l.likely, l.isUnanswered):
			return min(left, 1)
		case l.isUnanswered(agent):
			return 0
		}
	}
	return left
}

// offerToUnsure sends the packet of a lookup to agents that may hold the flow without
// knowing it, at most count of them, which offer it to their backend servers.
func (s *Steerer) offerToUnsure(now time.Time, key flow.Key, l *lookup, count int) []Action {
	count = min(count, len(l.unsure))
	if count == 0 || !callsForAnswer(l.packet) {
		return nil
	}
	s.offers.record(now, key, count)
	offering := l.firstUnsure(count)
	var due []Action
	for list := range slices.Chunk(offering, hop.MaxCandidates) {
		a := s.forward(list, 0, true, l.raw)
		a.Repeated = !l.needsForward || len(l.offeredTo) > 0
		l.offeredTo = append(l.offeredTo, list...)
		due = append(due, a)
	}
	l.unsure = slices.DeleteFunc(l.unsure, func(agent netip.AddrPort) bool { return slices.Contains(offering, agent) })
	l.lastSentAt, l.needsForward = now, l.usesQueries
	return due
}

// firstUnsure returns some of the agents that are unsure, those first that most likely hold
// the flow.
func (l *lookup) firstUnsure(count int) []netip.AddrPort {
	var first []netip.AddrPort
	for _, agent := range slices.Concat(l.likely, l.order) {
		if len(first) < count && slices.Contains(l.unsure, agent) && !slices.Contains(first, agent) {
			first = append(first, agent)
		}
	}
	return first
}

// recordAnswers records what the agents of a declined list know of the flow. One that
// is unsure although it was asked to offer the packet has not answered.
func (l *lookup) recordAnswers(m *hop.Message) {
	for i, agent := range m.Candidates {
		unsure := m.Unsure&(1<<i) != 0
		switch {
		case l.answered(agent) || (unsure && !m.KnownOnly):
		case unsure:
			l.unsure = append(l.unsure, agent)
		default:
			l.deniedBy = append(l.deniedBy, agent)
		}
	}
}

// answered reports whether an agent has denied the flow or is unsure.
func (l *lookup) answered(agent netip.AddrPort) bool {
	return slices.Contains(l.deniedBy, agent) || slices.Contains(l.unsure, agent)
}

// isUnanswered is the opposite of answered.
func (l *lookup) isUnanswered(agent netip.AddrPort) bool { return !l.answered(agent) }

func (s *Steerer) targets(address netip.AddrPort) []view.Target {
	return s.view.Configuration.Routes[address].Targets
}

// resolveMissing decides about a flow that all agents denied. It is reset, so that
// its caller needn't wait for its deadline, but only if the view was fresh and
// each agent in it has denied the flow or is dead. Otherwise the packet is kept
// for a retry.
func (s *Steerer) resolveMissing(now time.Time, key flow.Key, l *lookup) Action {
	l.deniedByAll = true
	switch {
	case l.packet.Has(flow.Reset):
		s.endLookup(key)
		return noHolderAction(Drop, l.packet)
	case s.viewFresh(l) && s.agents.allDecided() && s.agents.allListed(l.deniedBy):
		s.endLookup(key)
		return s.unresolved(Reset, now, l)
	}
	l.retryAt = now.Add(lookupRetryDelay)
	return s.unresolved(Keep, now, l)
}

// unresolved returns the action for the packet of a lookup that found no holder.
func (s *Steerer) unresolved(v Verdict, now time.Time, l *lookup) Action {
	a := noHolderAction(v, l.packet)
	a.Lookup = LookupResult{
		Members:    s.view.Members.Revision,
		ViewAge:    l.startedAt.Sub(s.confirmedAt.Members),
		Duration:   now.Sub(l.startedAt),
		Denied:     len(l.deniedBy),
		DeadAgents: s.agents.dead(),
	}
	return a
}

// noHolderAction returns the action for a packet whose flow has no known holder.
func noHolderAction(v Verdict, p flow.Packet) Action {
	return Action{Verdict: v, Kind: errkind.PacketNoHolder, Packet: p}
}

// viewFresh reports whether the view is sure to contain all agents that may
// hold the flow of a lookup.
func (s *Steerer) viewFresh(l *lookup) bool {
	return l.startedAt.Sub(s.confirmedAt.Members) <= maxViewAge
}
