package flowsteer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/errkind"
	"github.com/knapweedpier/knapweedpier/internal/flow"
	"github.com/knapweedpier/knapweedpier/internal/hop"
	"github.com/knapweedpier/knapweedpier/internal/view"
)

const (
	// missInterval is the time between two lookups that found a flow nowhere
	// after which the flow is reset.
	missInterval = 150 * time.Millisecond
	// settled is the time since an agent was added after which one lookup is
	// enough. A flow that was opened just now may be at an agent that this
	// balancer doesn't know yet.
	settled = 300 * time.Millisecond
	// answerTimeout is how long the agents may take to find a flow. A lookup
	// that takes longer ended at an agent that is down.
	answerTimeout = 200 * time.Millisecond
	// maxAsked bounds how often one packet is offered to all agents.
	maxAsked = 4
	// lookupTimeout is how long a packet is kept whose flow is not found.
	// Callers repeat it more often.
	lookupTimeout = 1200 * time.Millisecond
	// freshView is the age up to which the view is trusted to name all agents.
	freshView = 2 * time.Second
	// maxLookups bounds the flows that are looked up at a time, about 5 MB.
	maxLookups = 4096
)

// lookup is the search for the agent that holds a flow. Agents are asked in an
// order that stays the same from the first to the last, so that none is skipped
// when agents become or cease to be suspect meanwhile.
type lookup struct {
	order  []netip.AddrPort
	packet flow.Packet
	raw    []byte // the encoding of packet
	began  time.Time
	sent   time.Time // when agents were asked last
	asked  int       // how often all agents were asked
	missed time.Time // when all agents had denied the flow first, zero if not yet
	again  time.Time // when to ask all agents again, zero while answers are awaited
}

// lookUp asks all agents for the holder of a packet's flow. A packet of a flow
// that is being looked up takes the same way.
func (s *Steerer) lookUp(now time.Time, key flow.Key, p flow.Packet, raw []byte) Action {
	l := s.lookups[key]
	if l == nil {
		l = &lookup{packet: p, raw: slices.Clone(raw), began: now, order: s.agents.rankAll(now, key.Hash(), s.targets(p.To))}
		if len(s.lookups) < maxLookups {
			s.lookups[key] = l
		}
	}
	return s.askFrom(now, l, p, raw, 0)
}

// continueLookup asks the agents after those that denied a flow.
func (s *Steerer) continueLookup(now time.Time, key flow.Key, p flow.Packet, m *hop.Message) Action {
	l := s.lookups[key]
	if l == nil {
		return Action{Verdict: Drop, Kind: errkind.PacketNoHolder, Packet: p}
	}
	next := int(m.Offset) + len(m.Candidates)
	if next < len(l.order) {
		return s.askFrom(now, l, p, m.Packet, next)
	}
	return s.missed(now, key, l, p)
}

// askFrom sends a packet to the agents from offset in the lookup's order.
func (s *Steerer) askFrom(now time.Time, l *lookup, p flow.Packet, raw []byte, offset int) Action {
	if offset >= len(l.order) {
		return Action{Verdict: Drop, Kind: errkind.PacketNoHolder, Packet: p}
	}
	l.sent, l.again = now, time.Time{}
	list := l.order[offset:min(len(l.order), offset+hop.MaxCandidates)]
	return s.forward(list, offset, 0, true, raw)
}

func (s *Steerer) targets(address netip.AddrPort) []view.Target {
	return s.view.Configuration.Routes[address].Targets
}

// missed resets a flow that is at no agent, so that its caller needn't wait for
// its deadline. It is reset only while the view names all agents and each of
// them answers; until then the packet is kept.
func (s *Steerer) missed(now time.Time, key flow.Key, l *lookup, p flow.Packet) Action {
	a := Action{Verdict: Drop, Kind: errkind.PacketNoHolder, Packet: p}
	if l.missed.IsZero() {
		l.missed = now
	}
	stable := now.Sub(s.changed) >= settled || now.Sub(l.missed) >= missInterval
	switch {
	case p.Has(flow.Reset):
		delete(s.lookups, key)
	case s.certain(now) && s.agents.allIn(now, l.order) && stable:
		a.Verdict = Reset
		delete(s.lookups, key)
	default:
		a.Verdict = Keep
		l.again = now.Add(missInterval)
	}
	return a
}

// certain reports whether the view names all agents and each of them answers
// or is given up.
func (s *Steerer) certain(now time.Time) bool {
	return now.Sub(s.confirmed) <= freshView && !s.agents.anyDoubtful(now)
}

// repeatLookups asks all agents again for flows that were at none of them while
// that was not certain, and for those that nobody answered about.
func (s *Steerer) repeatLookups(now time.Time) []Action {
	if len(s.lookups) == 0 {
		return nil
	}
	var due []Action
	certain := s.certain(now)
	for key, l := range s.lookups {
		if now.Sub(l.began) > lookupTimeout {
			delete(s.lookups, key)
			due = append(due, Action{Verdict: Drop, Kind: errkind.PacketNoHolder, Packet: l.packet})
			continue
		}
		if !l.due(now) || (!l.missed.IsZero() && !certain) || l.asked >= maxAsked {
			continue
		}
		l.asked++
		l.order = s.agents.rankAll(now, key.Hash(), s.targets(l.packet.To))
		due = append(due, s.askFrom(now, l, l.packet, l.raw, 0))
	}
	return due
}

// due reports whether all agents are to be asked again.
func (l *lookup) due(now time.Time) bool {
	if l.again.IsZero() {
		return now.Sub(l.sent) >= answerTimeout
	}
	return !now.Before(l.again)
}
