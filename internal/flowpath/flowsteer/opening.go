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
	// placementTimeout is how long an agent may take to confirm that it holds a new
	// flow. It covers a round trip between failure domains and a busy agent, and
	// is shorter than flow.OpeningCopyDelay.
	placementTimeout = 80 * time.Millisecond
	// maxOpenings is the maximum number of new flows that wait for an agent's
	// answer.
	maxOpenings = 4096
	// openingRetention is how long an opening is kept after its last candidates were
	// asked. Its caller gives up sooner.
	openingRetention = 1500 * time.Millisecond
)

// opening is a new flow whose agent has not answered yet.
type opening struct {
	packet     flow.Packet
	raw        []byte // the encoding of packet
	service    string
	remaining  []netip.AddrPort // candidates that were not tried yet
	unanswered []netip.AddrPort // first agents of the lists that were sent and not declined
	lastAsked  netip.AddrPort
	askedAt    time.Time
	// repeated is set if retryOpenings has repeated the opening since the caller's last copy.
	repeated bool
	overdue  bool      // the last list was not answered within placementTimeout
	sentAt   time.Time // when the caller sent the opening
}

// openFlow sends an opening to the candidates for its flow. A copy of an opening
// goes to the agent that holds the flow, or to the next candidate if none has
// answered.
func (s *Steerer) openFlow(now time.Time, key flow.Key, p flow.Packet, raw []byte, route view.Route) Action {
	sentAt := now.Add(-p.Age)
	earlier := s.openings[key]
	if earlier != nil && earlier.sentAt.After(sentAt) {
		earlier.sentAt = sentAt
	}
	if earlier != nil && len(earlier.remaining) > 0 {
		earlier.repeated = false
		return s.askNext(now, earlier)
	}
	service := s.chooseService(key, route)
	candidates := s.agents.rankForOpening(key.Hash(), service)
	if holder, ok := s.flows.get(key, now); ok {
		candidates = slices.DeleteFunc(candidates, func(a netip.AddrPort) bool { return a == holder })
		candidates = slices.Insert(candidates, 0, holder)
		if p.Age == 0 {
			s.flows.remove(key) // of an earlier flow of the caller's port
		}
	}
	o := &opening{packet: p, raw: slices.Clone(raw), service: service, remaining: candidates, sentAt: sentAt}
	if earlier != nil {
		o.unanswered, o.sentAt = earlier.unanswered, earlier.sentAt
	}
	if len(candidates) == 0 {
		return s.rejectOpening(now, o.sentAt, p, errkind.PacketNoAgent, service)
	}
	if len(s.openings) < maxOpenings {
		s.openings[key] = o
	}
	return s.askNext(now, o)
}

// HasForwarded reports whether this balancer has lately forwarded an opening of a flow, or
// knows its holder. The flow may then be open already although an opening of age 0 arrives
// only now: it was overtaken by a copy, or is a duplicate.
func (s *Steerer) HasForwarded(now time.Time, key flow.Key) bool {
	_, known := s.flows.get(key, now)
	return known || s.openings[key] != nil
}

// rejectOpening returns the action for an opening that can't be served and whose caller
// sent it at sentAt or, if this balancer has stalled, earlier: the opening then lay unread.
// Once the caller may have sent copies, the flow is not reset: another balancer may have
// opened it by one of them.
func (s *Steerer) rejectOpening(now, sentAt time.Time, p flow.Packet, kind errkind.Kind, service string) Action {
	a := Action{Verdict: Reset, Kind: kind, Packet: p, Service: service}
	if now.Sub(sentAt) >= flow.OpeningCopyDelay || s.agents.stalledWithin(now, flow.OpeningCopyDelay) {
		a.Verdict = Drop
	}
	return a
}

// retryOpenings repeats the openings that were not answered. A balancer with a narrow link
// repeats each once before the next copy of its caller, and only within the retry budget:
// the caller's copies come soon, and the link is probably saturated.
func (s *Steerer) retryOpenings(now time.Time) []Action {
	narrow := s.options.narrow()
	var due []Action
	for key, o := range s.openings {
		if now.Sub(o.askedAt) < placementTimeout {
			continue
		}
		if !o.overdue || !narrow {
			s.agents.requestHello(now, o.lastAsked)
		}
		o.overdue = true
		switch {
		case (len(o.remaining) == 0 || narrow) && now.Sub(o.askedAt) >= openingRetention:
			delete(s.openings, key) // the next copy from the caller starts over
		case len(o.remaining) == 0 || (narrow && o.repeated):
		case s.retryBudget.spend(now, hop.ForwardSize(min(len(o.remaining), hop.MaxCandidates), len(o.raw))):
			o.repeated = true
			due = append(due, s.repeatOpening(now, o))
		}
	}
	return due
}

// repeatOpening sends an opening to the candidates that were not tried yet, without a copy from
// the caller.
func (s *Steerer) repeatOpening(now time.Time, o *opening) Action {
	a := s.askNext(now, o)
	a.Repeated = true
	return a
}

// askNext sends an opening to the candidates that were not tried yet.
func (s *Steerer) askNext(now time.Time, o *opening) Action {
	list := o.remaining[:min(len(o.remaining), hop.MaxCandidates)]
	o.lastAsked, o.askedAt, o.overdue = list[0], now, false
	o.remaining = o.remaining[1:]
	o.unanswered = append(o.unanswered, o.lastAsked)
	s.agents.countPlaced(o.lastAsked)
	a := s.forward(list, ServiceID(o.service), true, o.raw)
	a.Service, a.Packet = o.service, o.packet
	return a
}

// chooseService picks the service of a new flow by the weights of its route. The
// choice depends only on the flow and the route, so that all balancers make the
// same one.
func (s *Steerer) chooseService(key flow.Key, route view.Route) string {
	total := 0
	for _, t := range route.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	// The upper bits are not those by which agents are ranked.
	point := int(key.Hash() >> 33 % uint64(total))
	for _, t := range route.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return ""
}

// declinedOpening tries further candidates, or rejects the opening at once if there are
// none. It waits while the answer to another list of candidates is missing: one of
// them may have accepted the flow, which is then open.
func (s *Steerer) declinedOpening(now time.Time, key flow.Key, p flow.Packet, m *hop.Message) Action {
	o, ok := s.openings[key]
	if !ok || len(m.Candidates) == 0 {
		return Action{Verdict: Drop, Kind: errkind.PacketNoAgent, Packet: p}
	}
	list := slices.Index(o.unanswered, m.Candidates[0])
	if list < 0 {
		// The list was sent before another agent accepted the flow.
		return Action{Verdict: Drop, Kind: errkind.PacketNoAgent, Packet: p, Service: o.service}
	}
	o.unanswered = slices.Delete(o.unanswered, list, list+1)
	if len(o.remaining) >= hop.MaxCandidates {
		o.remaining = o.remaining[hop.MaxCandidates-1:]
		return s.repeatOpening(now, o)
	}
	o.remaining = nil // the declined list ended with the last of them
	if len(o.unanswered) > 0 {
		return Action{Verdict: Drop, Kind: errkind.PacketNoAgent, Packet: p, Service: o.service}
	}
	delete(s.openings, key)
	return s.rejectOpening(now, o.sentAt, p, errkind.PacketNoAgent, o.service)
}
