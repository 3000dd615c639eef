package flowsteer

import (
	"net/netip"
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
	is.Equal(offered(start.Add(offerWindow)), 0)
	is.Equal(offered(start.Add(offerWindow+time.Millisecond)), offerBudget)
	s.Tick(start.Add(3 * offerWindow))
	is.Equal(len(s.offers.records), 0)
}

// Guards against packets at other backend servers while the agent that most likely holds
// their flow is away or has left a hello unanswered, so that it is asked last.
func TestNobodyOffersBeforeTheLikelyHolderHasAnswered(t *testing.T) {
	is := is.New(t)
	s := newSteerer(testView(20))
	p := callerPacket(1, flow.Ack)
	p.Length = 10
	holder := s.FromCaller(start, p, nil).To
	clear(s.lookups)
	s.agents.byAddress[holder].suspect = true
	first := s.FromCaller(start, p, []byte("data"))
	is.True(first.To != holder)
	due := s.Declined(start, p, unsureAnswer(first, 0, 1, 2, 3))
	for at := start; at.Before(start.Add(lookupTimeout)); at = at.Add(timerStep) {
		for _, a := range forwardActions(due) {
			is.True(a.Message.KnownOnly)
		}
		due = forwardActions(s.Tick(at))
	}
}
