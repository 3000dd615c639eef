package flowsteer

import (
	"iter"
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/linkbudget"
)

const (
	// helloRate is the maximum rate of hellos that a balancer sends to nodes that
	// answer, and that to suspect ones, in messages a second.
	helloRate = 50
	// minHelloInterval is the minimum time between two hellos to a node.
	minHelloInterval = 250 * time.Millisecond
	// minSuspectHelloInterval is the minimum time between two hellos to a suspect node. It
	// is longer if many nodes are suspect, because the balancer may be overloaded then.
	minSuspectHelloInterval = minHelloInterval
	// suspectAfter is how long a node may leave a hello unanswered before it is
	// suspect.
	suspectAfter = 150 * time.Millisecond
	// deadAfter is how long an agent may leave hellos unanswered before it counts
	// as dead and the flows that it may hold are reset. Callers' deadlines are not
	// longer.
	deadAfter = 2 * time.Second
	// minDeathHellos is the minimum number of hellos that an agent has left unanswered when
	// it counts as dead, since datagrams are lost at times.
	minDeathHellos = 3
	// sureSilence is how long an agent must have left hellos unanswered at a moment to
	// have been silent at that moment, and not only to have missed one of them: at least
	// two were sent.
	sureSilence = 2 * minSuspectHelloInterval
	// restartTimeout replaces deadAfter for an agent that announced that its process
	// restarts while its backend server runs on. It exceeds the time that a process
	// takes to start on a slow, busy host.
	restartTimeout = 6 * time.Second
	// maxTickGap is how much of the time between two calls of Tick counts as silence
	// of the agents at most. After a longer gap their answers may lie unread.
	maxTickGap = linkbudget.MaxTickGap
)

// contact holds what the balancer knows about a node to which it sends hellos.
type contact struct {
	member          view.Member
	unanswered      bool          // a hello is unanswered
	unansweredSince time.Duration // unanswered: when the oldest such hello was sent, on the clock of the agentSet
	unansweredCount int           // unanswered: number of hellos sent since then
	silentAt        time.Time     // unanswered: when the node was sure to be silent, zero until then
	nextHello       time.Time
	suspect         bool
}

// noteAnswer records that the node has answered.
func (c *contact) noteAnswer() {
	c.suspect = false
	c.forgetHellos()
}

// forgetHellos makes the node's silence begin with the next hello.
func (c *contact) forgetHellos() {
	c.unanswered, c.unansweredCount, c.silentAt = false, 0, time.Time{}
}

// restartSilence makes the node's silence begin anew. If it is suspect, a hello is due now.
func (c *contact) restartSilence(now time.Time) {
	c.forgetHellos()
	if c.suspect {
		c.nextHello = now
	}
}

// isDead reports whether an agent counts as dead: it has left hellos unanswered
// for long while another host of its failure domain answers. A failure domain in
// which no host answers may be cut off from this balancer only. Silence during a fault of
// this balancer's own, or of its path to the failure domain, proves nothing; see
// updateFaults. Neither does it while the view is older than the silence: an agent announces its restart before it stops answering, so only
// a later view is sure to contain the announcement.
func (as *agentSet) isDead(a *agent) bool {
	timeout := deadAfter
	if a.isRestarting() {
		timeout = restartTimeout
	}
	silent := a.suspect && a.unansweredCount >= minDeathHellos && as.clock-a.unansweredSince > timeout
	if !silent || !as.confirmedAt.After(a.silentAt) || !as.domainAnswers(a.member.Domain) {
		return false
	}
	return !as.ownFault && !as.pathFaults[a.member.Domain] && !as.manySuspect() && !as.mostSuspect(a.member.Domain)
}

// domainAnswers reports whether any host of a failure domain answers hellos.
func (as *agentSet) domainAnswers(domain string) bool {
	for _, b := range as.balancers {
		if b.member.Domain == domain && !b.suspect {
			return true
		}
	}
	return slices.ContainsFunc(as.all, func(a *agent) bool { return a.member.Domain == domain && !a.suspect })
}

// requestHello makes a hello due at once for an agent that left an opening or a
// lookup unanswered.
func (as *agentSet) requestHello(now time.Time, address netip.AddrPort) {
	if a := as.byAddress[address]; a != nil && !a.unanswered && a.nextHello.After(now) {
		a.nextHello = now
	}
}

// dueHellos returns the nodes to which a hello is due, and marks as suspect those
// that left one unanswered.
func (as *agentSet) dueHellos(now time.Time) []netip.AddrPort {
	as.advanceClock(now)
	as.expireRefusals(now)
	suspects := 0
	for c := range as.contacts() {
		c.markSuspect(now, as.clock)
		if c.suspect {
			suspects++
		}
	}
	as.updateFaults()
	interval := max(minHelloInterval, time.Duration(len(as.all)+len(as.balancers))*time.Second/helloRate)
	suspectInterval := max(minSuspectHelloInterval, time.Duration(suspects)*time.Second/helloRate)
	var due []netip.AddrPort
	for c := range as.contacts() {
		if now.Before(c.nextHello) {
			continue
		}
		due = append(due, c.member.Address)
		c.nextHello = now.Add(interval)
		if c.suspect {
			c.nextHello = now.Add(suspectInterval)
		}
		if !c.unanswered {
			c.unanswered, c.unansweredSince = true, as.clock
		}
		c.unansweredCount++
	}
	return due
}

// advanceClock adds the time since the last tick to the clock, at most maxTickGap.
func (as *agentSet) advanceClock(now time.Time) {
	if !as.lastTick.IsZero() {
		as.clock += min(now.Sub(as.lastTick), maxTickGap)
	}
	if as.isStalled(now) {
		as.stallEndedAt = now
	}
	as.lastTick = now
}

// isStalled reports whether Tick is overdue, so that datagrams may have lain unread as
// long.
func (as *agentSet) isStalled(now time.Time) bool {
	return !as.lastTick.IsZero() && now.Sub(as.lastTick) > maxTickGap
}

// stalledWithin reports whether this balancer has stalled within the given time.
func (as *agentSet) stalledWithin(now time.Time, d time.Duration) bool {
	return as.isStalled(now) || (!as.stallEndedAt.IsZero() && now.Sub(as.stallEndedAt) < d)
}

// contacts returns all nodes to which the balancer sends hellos.
func (as *agentSet) contacts() iter.Seq[*contact] {
	return func(yield func(*contact) bool) {
		for _, a := range as.all {
			if !yield(&a.contact) {
				return
			}
		}
		for _, b := range as.balancers {
			if !yield(b) {
				return
			}
		}
	}
}

// markSuspect marks the node as suspect if it left a hello unanswered. The next hello
// is then due at once.
func (c *contact) markSuspect(now time.Time, clock time.Duration) {
	if !c.unanswered {
		return
	}
	silence := clock - c.unansweredSince
	if !c.suspect && silence > suspectAfter {
		c.suspect, c.nextHello = true, now
	}
	if c.silentAt.IsZero() && silence > sureSilence {
		c.silentAt = now
	}
}

// allDecided reports whether each agent either answers or is dead.
func (as *agentSet) allDecided() bool {
	return !slices.ContainsFunc(as.all, func(a *agent) bool { return a.suspect && !as.isDead(a) })
}

// suspectCount returns the number of suspect agents.
func (as *agentSet) suspectCount() int {
	n := 0
	for _, a := range as.all {
		if a.suspect {
			n++
		}
	}
	return n
}

// dead returns the dead agents.
func (as *agentSet) dead() []DeadAgent {
	var list []DeadAgent
	for _, a := range as.all {
		if as.isDead(a) {
			list = append(list, DeadAgent{Name: a.member.Name, Silence: as.clock - a.unansweredSince, Restarting: a.isRestarting()})
		}
	}
	return list
}

// isLost reports whether the agent at an address is dead or is no longer in the
// view.
func (as *agentSet) isLost(address netip.AddrPort) bool {
	a := as.byAddress[address]
	return a == nil || as.isDead(a)
}

// isolated reports whether this balancer rather than the other nodes is cut off:
// no balancer of another failure domain answers any more, and less than half of
// the agents do. It is false until one such balancer has answered, because a
// balancer that has just started may have done so before the others.
func (as *agentSet) isolated() bool {
	for _, b := range as.balancers {
		if !b.suspect {
			return false
		}
	}
	return as.otherDomainReached && len(as.balancers) > 0 && 2*as.suspectCount() > len(as.all)
}
