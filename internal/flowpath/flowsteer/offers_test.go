package flowsteer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// unsureAnswer returns the answer to a question for knowledge in which the agents with the
// given indexes may hold the flow.
func unsureAnswer(a Action, indexes ...int) *hop.Message {
	m := a.Message
	for _, i := range indexes {
		m.Unsure |= 1 << i
	}
	return &m
}

// Guards against three packets of a flow at other backend servers before its own, which is
// beside an agent outside the first list, gets one: several agents of the first list learn
// after a restart.
func TestFewAgentsOfferBeforeAllHaveAnswered(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(20))
	p := callerPacket(1, flow.Ack)
	p.Length = 10
	first := s.FromCaller(start, p, []byte("data"))
	offers := s.Declined(start, p, unsureAnswer(first, 0, 2, 5, 7))
	is.Equal(len(offers), 1)
	is.Equal(offers[0].Message.Candidates, []netip.AddrPort{first.Message.Candidates[0], first.Message.Candidates[2]})
	rest := s.Declined(start, p, &offers[0].Message)
	is.Equal(len(rest), 2)
	for _, a := range rest {
		is.True(a.Message.KnownOnly)
		is.True(a.Message.Offered) // the agent that holds the flow lets the packet wait for nothing
	}
	is.Equal(len(s.Declined(start, p, &rest[0].Message)), 0)
	last := s.Declined(start, p, &rest[1].Message) // all have answered: the others hold the flow
	is.Equal(len(last), 1)
	is.Equal(last[0].Message.Candidates, []netip.AddrPort{first.Message.Candidates[5], first.Message.Candidates[7]})
}

// Guards against three packets of a flow at other backend servers within 2 s while its own
// agent is away: each retransmission of the caller starts another lookup.
func TestOffersOfSeveralLookupsAreLimited(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(20))
	p := callerPacket(1, flow.Ack)
	p.Length = 10
	offered := func(at time.Time) int {
		clear(s.lookups)
		n := 0
		for _, a := range s.Declined(at, p, unsureAnswer(s.FromCaller(at, p, []byte("data")), 0, 1, 2)) {
			if !a.Message.KnownOnly {
				n += len(a.Message.Candidates)
			}
		}
		return n
	}
	is.Equal(offered(start), offerBudget)
	is.Equal(offered(start.Add(hop.OfferWindow)), 0)
	is.Equal(offered(start.Add(hop.OfferWindow+time.Millisecond)), offerBudget)
	s.Tick(start.Add(3 * hop.OfferWindow))
	is.Equal(len(s.offers.records), 0)
}

// Guards against packets of a flow at four other backend servers while its own agent is away:
// two balancers get copies of the packet, and each counts only its own offers.
func TestOffersOfAnotherBalancerCount(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(20))
	p := callerPacket(1, flow.Ack)
	p.Length = 10
	denial := unsureAnswer(s.FromCaller(start, p, []byte("data")), 2, 3)
	denial.Offered = true // by the agents at 0 and 1, which now deny the flow
	for _, a := range s.Declined(start, p, denial) {
		is.True(a.Message.KnownOnly)
	}
}

// offerPlay plays lookups of one flow: some agents leave all messages unanswered, some learn
// and are unsure, and the others deny the flow.
type offerPlay struct {
	s                *Steerer
	packet           flow.Packet
	silent, learning []netip.AddrPort
	offers           []time.Time // when an agent was asked to offer the packet
	asked            []hop.Message
}

// run sends the packet at a time and lets the balancer run for d after it.
func (o *offerPlay) run(at time.Time, d time.Duration) {
	o.answer(at, []Action{o.s.FromCaller(at, o.packet, []byte("data"))})
	for end := at.Add(d); at.Before(end); {
		at = at.Add(timerStep)
		o.answer(at, o.s.Tick(at))
	}
}

func (o *offerPlay) answer(at time.Time, due []Action) {
	for len(due) > 0 {
		a := due[0]
		due = due[1:]
		if a.Verdict != Send || a.Message.Type != hop.Forward {
			continue
		}
		m := a.Message
		o.asked = append(o.asked, m)
		if slices.ContainsFunc(m.Candidates, func(c netip.AddrPort) bool { return slices.Contains(o.silent, c) }) {
			continue
		}
		for i, agent := range m.Candidates {
			switch {
			case !m.KnownOnly:
				o.offers = append(o.offers, at)
			case slices.Contains(o.learning, agent):
				m.Unsure |= 1 << i
			}
		}
		due = append(due, o.s.Declined(at, o.packet, &m)...)
	}
}

// newOfferPlay returns a play in a fleet of 20 agents, and the agents that most likely hold
// its flow, in order.
func newOfferPlay() (*offerPlay, []netip.AddrPort) {
	o := &offerPlay{s: newSteerer(testView(20)), packet: callerPacket(1, flow.Ack)}
	o.packet.Length = 10
	return o, o.s.agents.likelyHolders(o.packet.CallerKey().Hash(), o.s.targets(o.packet.To))
}

// Guards against packets at other backend servers while the agent that most likely holds
// their flow is away or has left a hello unanswered, so that it is asked last.
func TestNobodyOffersBeforeALikelierHolderHasAnswered(t *testing.T) {
	is := is.New(t)
	o, likely := newOfferPlay()
	o.silent, o.learning = likely[:1], likely[1:5]
	o.s.agents.byAddress[likely[0]].suspect = true
	o.run(start, lookupTimeout)
	is.Equal(len(o.offers), 0)
	for _, m := range o.asked {
		is.True(m.KnownOnly)
	}
}

// Guards against a flow whose agent learns and never gets its packets, because another agent
// leaves the question unanswered but can't count as dead, as when its failure domain is cut off.
func TestLikeliestHolderOffersAlthoughAnotherIsSilent(t *testing.T) {
	is := is.New(t)
	o, likely := newOfferPlay()
	o.silent, o.learning = likely[1:3], likely[:1]
	o.run(start, lookupTimeout)
	is.True(len(o.offers) > 0)
}
