package flowsteer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	// missInterval is the pause before a lookup goes on that has found a flow
	// nowhere while that was not certain.
	missInterval = 50 * time.Millisecond
	// answerTimeout is how long the agents may take to find a flow. A lookup
	// that takes longer ended at an agent that is down.
	answerTimeout = 200 * time.Millisecond
	// maxAsked bounds how often all agents are asked for one flow.
	maxAsked = 4
	// fanOut is the number of lists of agents that are asked at a time after
	// the first one, which names the agents that hold a flow as a rule.
	fanOut = 16
	// maxMore bounds the further packets of a flow that wait for a lookup. A
	// caller has no more than that on the way.
	maxMore = 16
	// lookupTimeout is how long a packet is kept whose flow is not found.
	// Callers repeat it more often.
	lookupTimeout = 1200 * time.Millisecond
	// freshView is how old the view may be at a lookup's begin to be trusted to
	// name all agents with flows. New agents take none for longer than that.
	freshView = 2 * time.Second
	// maxLookups bounds the flows that are looked up at a time. Each keeps up to
	// maxMore packets beside its own.
	maxLookups = 4096
)

// lookup is the search for the agent that holds a flow. The flow was open when
// the packet was sent, so an agent that has denied it needn't be asked again.
type lookup struct {
	order  []netip.AddrPort // agents to ask, in this order
	next   int              // index in order of the first that was not asked
	denied []netip.AddrPort // agents that don't hold the flow
	packet flow.Packet
	raw    []byte   // the encoding of packet
	more   [][]byte // further packets of the flow
	began  time.Time
	sent   time.Time // when agents were asked last
	asked  int       // how often the search began
	missed bool      // all agents have denied the flow once
	again  time.Time // when to go on, zero while answers are awaited
}

// lookUp begins to ask the agents for the holder of a packet's flow. A packet
// of a flow that is being looked up waits for the answer.
func (s *Steerer) lookUp(now time.Time, key flow.Key, p flow.Packet, raw []byte) Action {
	if l := s.lookups[key]; l != nil {
		if len(l.more) >= maxMore {
			return noHolder(Drop, p)
		}
		l.more = append(l.more, slices.Clone(raw))
		return Action{Verdict: Keep, Packet: p}
	}
	if len(s.lookups) >= maxLookups {
		return noHolder(Drop, p)
	}
	l := &lookup{packet: p, raw: slices.Clone(raw), began: now, order: s.agents.rankAll(now, key.Hash(), s.targets(p.To))}
	if len(l.order) == 0 {
		return noHolder(Drop, p)
	}
	s.lookups[key] = l
	return s.ask(now, l, 1)[0]
}

// ask sends the packet of a lookup to the next agents of its order, in several
// lists at a time.
func (s *Steerer) ask(now time.Time, l *lookup, lists int) []Action {
	l.sent, l.again = now, time.Time{}
	var due []Action
	for range lists {
		if l.next == len(l.order) {
			break
		}
		list := l.order[l.next:min(len(l.order), l.next+hop.MaxCandidates)]
		l.next += len(list)
		due = append(due, s.forward(list, 0, true, l.raw))
	}
	return due
}

// denied notes the agents that don't hold a flow, and asks further ones when
// all that were asked have denied it.
func (s *Steerer) denied(now time.Time, key flow.Key, p flow.Packet, m *hop.Message) []Action {
	l := s.lookups[key]
	if l == nil {
		if _, found := s.flows.get(key, now); found {
			return nil // an agent of another list holds the flow and has the packet
		}
		return []Action{noHolder(Drop, p)}
	}
	for _, agent := range m.Candidates {
		if !slices.Contains(l.denied, agent) {
			l.denied = append(l.denied, agent)
		}
	}
	if slices.ContainsFunc(l.order[:l.next], func(agent netip.AddrPort) bool { return !slices.Contains(l.denied, agent) }) {
		return nil
	}
	if l.next < len(l.order) {
		return s.ask(now, l, fanOut)
	}
	return []Action{s.missed(now, key, l)}
}

func (s *Steerer) targets(address netip.AddrPort) []view.Target {
	return s.view.Configuration.Routes[address].Targets
}

// missed resets a flow that is at no agent, so that its caller needn't wait for
// its deadline. It is reset only while the view names all agents and each of
// them answers; until then the packet is kept.
func (s *Steerer) missed(now time.Time, key flow.Key, l *lookup) Action {
	l.missed = true
	switch {
	case l.packet.Has(flow.Reset):
		delete(s.lookups, key)
		return noHolder(Drop, l.packet)
	case s.namesHolder(l) && s.agents.trusted(now) && s.agents.allIn(now, l.denied):
		delete(s.lookups, key)
		return noHolder(Reset, l.packet)
	}
	l.again = now.Add(missInterval)
	return noHolder(Keep, l.packet)
}

// noHolder is the answer to a packet whose flow's agent isn't known.
func noHolder(v Verdict, p flow.Packet) Action {
	return Action{Verdict: v, Kind: errkind.PacketNoHolder, Packet: p}
}

// namesHolder reports whether the view names all agents that may hold a
// lookup's flow.
func (s *Steerer) namesHolder(l *lookup) bool { return l.began.Sub(s.confirmed) <= freshView }

// repeatLookups goes on with lookups that found a flow nowhere while that was
// not certain, and with those that nobody answered about.
func (s *Steerer) repeatLookups(now time.Time) []Action {
	if len(s.lookups) == 0 {
		return nil
	}
	var due []Action
	trusted := s.agents.trusted(now)
	for key, l := range s.lookups {
		switch {
		case now.Sub(l.began) > lookupTimeout:
			delete(s.lookups, key)
			due = append(due, noHolder(Drop, l.packet))
		case !l.due(now) || (l.missed && !(trusted && s.namesHolder(l))) || l.asked >= maxAsked:
		default:
			due = append(due, s.repeat(now, key, l)...)
		}
	}
	return due
}

// repeat asks the agents that have not denied a flow.
func (s *Steerer) repeat(now time.Time, key flow.Key, l *lookup) []Action {
	l.order = slices.DeleteFunc(s.agents.rankAll(now, key.Hash(), s.targets(l.packet.To)), func(agent netip.AddrPort) bool {
		return slices.Contains(l.denied, agent)
	})
	l.next = 0
	if len(l.order) == 0 {
		return []Action{s.missed(now, key, l)}
	}
	l.asked++
	return s.ask(now, l, fanOut)
}

// due reports whether the lookup is to go on.
func (l *lookup) due(now time.Time) bool {
	if l.again.IsZero() {
		return now.Sub(l.sent) >= answerTimeout
	}
	return !now.Before(l.again)
}
