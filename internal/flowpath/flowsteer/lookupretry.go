package flowsteer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// retryLookups retries the lookups that were denied by all agents known or reached
// at the time, and those that were not answered, and drops the packets of lookups
// that timed out.
func (s *Steerer) retryLookups(now time.Time) []Action {
	if len(s.lookups) == 0 {
		return nil
	}
	var due []Action
	allDecided := s.agents.allDecided()
	for key, l := range s.lookups {
		switch {
		case now.Sub(l.startedAt) > lookupTimeout:
			s.endLookup(key)
			due = append(due, noHolderAction(Drop, l.packet))
		case !l.isDue(now) || (l.deniedByAll && !(allDecided && s.viewFresh(l))) || l.retries >= maxLookupRetries:
		default:
			if l.retryAt.IsZero() && !l.hellosRequested {
				l.hellosRequested = true
				s.requestUnansweredHellos(now, l)
			}
			due = append(due, s.retryLookup(now, key, l)...)
		}
	}
	return due
}

// requestUnansweredHellos makes hellos due at once for the agents that have not answered a
// lookup. A flow can't be reset before it is decided whether they are dead, and in a large
// fleet their next hello is seconds away.
func (s *Steerer) requestUnansweredHellos(now time.Time, l *lookup) {
	for _, agent := range l.order[:l.next] {
		if !l.answered(agent) {
			s.agents.requestHello(now, agent)
		}
	}
}

// retryLookup sends the lookup again to the agents that have not denied a flow, in lists as
// short as possible: an agent that is down passes the message to none behind it in its list,
// and the balancer gets no answer of those before it. If the retry budget doesn't cover these
// lists, it sends fewer and longer ones, the likeliest holders first. If the budget covers
// none, the lookup waits.
func (s *Steerer) retryLookup(now time.Time, key flow.Key, l *lookup) []Action {
	undenied := slices.DeleteFunc(s.agents.rankForLookup(key.Hash(), s.targets(l.packet.To)), func(agent netip.AddrPort) bool {
		return slices.Contains(l.deniedBy, agent)
	})
	if len(undenied) == 0 {
		return []Action{s.resolveMissing(now, key, l)}
	}
	lists, length := s.retryLists(now, l, len(undenied))
	if lists == 0 {
		return nil
	}
	l.retries++
	l.order, l.next, l.unsure = undenied, 0, nil
	l.likely = s.agents.likelyHolders(key.Hash(), s.targets(l.packet.To))
	return s.sendNextLists(now, key, l, lists, length)
}

// retryLists returns the number and length of the candidate lists of a retry, and charges
// them to the retry budget. It returns 0 lists if the budget covers none.
func (s *Steerer) retryLists(now time.Time, l *lookup, agents int) (lists, length int) {
	packetLen := len(l.raw)
	if l.usesQueries {
		packetLen = headerLen
	}
	length = min((agents+maxShortLists-1)/maxShortLists, hop.MaxCandidates)
	for lists = min((agents+length-1)/length, maxListsPerRound); lists > 0; lists-- {
		length = min(max(length, (agents+lists-1)/lists), hop.MaxCandidates)
		if s.retryBudget.spend(now, lists*hop.ForwardSize(length, packetLen)) {
			return lists, length
		}
	}
	if l.replacedSinceRound {
		return 1, hop.MaxCandidates // the caller has sent the packet just now
	}
	return 0, 0
}

// isDue reports whether the lookup is due for a retry.
func (l *lookup) isDue(now time.Time) bool {
	if l.retryAt.IsZero() {
		return now.Sub(l.lastSentAt) >= lookupAnswerTimeout
	}
	return !now.Before(l.retryAt)
}
