package flowsteer

import (
	"cmp"
	"iter"
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/rendezvous"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	// leastLoadedChoices is the number of highest ranked agents among which a new
	// flow goes to the least loaded one.
	leastLoadedChoices = hop.MaxCandidates
	// idleFlowLoad is the load of an open flow without a request, in requests.
	idleFlowLoad = 0.1
	// helloRate is the maximum rate of hellos that a balancer sends to nodes that
	// answer, and that to suspect ones, in messages a second.
	helloRate = 50
	// minHelloInterval is the minimum time between two hellos to a node.
	minHelloInterval = 250 * time.Millisecond
	// minSuspectHelloInterval is the minimum time between two hellos to a suspect node.
	// An agent gets at least three before it counts as dead, since datagrams are lost
	// at times. It gets fewer if many agents are suspect, because flows are not reset
	// then and the balancer may be overloaded.
	minSuspectHelloInterval = minHelloInterval
	// suspectAfter is how long a node may leave a hello unanswered before it is
	// suspect.
	suspectAfter = 150 * time.Millisecond
	// deadAfter is how long an agent may leave hellos unanswered before it counts
	// as dead and the flows that it may hold are reset. Callers' deadlines are not
	// longer.
	deadAfter = 2 * time.Second
	// restartTimeout replaces deadAfter for an agent that announced that its process
	// restarts while its backend server runs on. It exceeds the time that a process
	// takes to start on a slow, busy host.
	restartTimeout = 6 * time.Second
	// maxTickGap is how much of the time between two calls of Tick counts as silence
	// of the agents at most. After a longer gap their answers may lie unread. A usage
	// cap of the processor stalls a balancer for up to a tenth of a second.
	maxTickGap = 100 * time.Millisecond
	// maxSuspectShare is the maximum share of agents that may be suspect before the
	// balancer assumes that the fault is its own. A crash of more hosts at a time
	// is rarer than a full link of the balancer.
	maxSuspectShare = 0.25
	// refusalTTL is how long an agent counts as refusing new flows after its last
	// message that said so.
	refusalTTL = time.Second
)

// contact holds what the balancer knows about a node to which it sends hellos.
type contact struct {
	member          view.Member
	unanswered      bool          // a hello is unanswered
	unansweredSince time.Duration // unanswered: when the oldest such hello was sent, on the clock of the agentSet
	nextHello       time.Time
	suspect         bool
}

// agent holds what the balancer knows about one agent.
type agent struct {
	contact
	evacuated        bool // its failure domain is evacuated
	restarted        bool // its next process has answered since its member says that it restarts
	load             hop.Load
	heardAt          time.Time
	placedSinceHeard int // flows sent to the agent since its load was received
}

// agentSet holds all agents of the view, including suspect ones, and the balancers
// of other failure domains.
type agentSet struct {
	byAddress          map[netip.AddrPort]*agent
	byService          map[string][]*agent
	all                []*agent
	balancers          map[netip.AddrPort]*contact // of other failure domains only
	otherDomainReached bool                        // a balancer of another failure domain has answered
	// clock is how long this balancer has run without stalls. Silence is measured by it.
	clock    time.Duration
	lastTick time.Time
}

func newAgentSet() agentSet {
	return agentSet{byAddress: map[netip.AddrPort]*agent{}, balancers: map[netip.AddrPort]*contact{}}
}

// setView replaces the members and keeps what is known about agents and balancers
// that stay.
func (as *agentSet) setView(v view.View, domain string) {
	next := map[netip.AddrPort]*agent{}
	balancers := map[netip.AddrPort]*contact{}
	as.byService = map[string][]*agent{}
	as.all = nil
	for _, m := range v.Members.ByName {
		if m.Role == view.BalancerRole {
			if m.Domain != domain {
				balancers[m.Address] = cmp.Or(as.balancers[m.Address], &contact{})
				balancers[m.Address].member = m
			}
			continue
		}
		a := as.byAddress[m.Address]
		if a == nil || a.member.Name != m.Name {
			a = &agent{}
		}
		a.member, a.evacuated = m, v.Evacuations.Domains[m.Domain]
		a.restarted = a.restarted && m.Restarting
		next[m.Address] = a
		as.all = append(as.all, a)
	}
	slices.SortFunc(as.all, func(a, b *agent) int { return cmp.Compare(a.member.Name, b.member.Name) })
	for _, a := range as.all {
		as.byService[a.member.Service] = append(as.byService[a.member.Service], a)
	}
	as.byAddress, as.balancers = next, balancers
}

// acceptsNewFlows reports whether new flows may go to the agent.
func (a *agent) acceptsNewFlows() bool { return !a.evacuated && a.member.State == view.Ready }

// maybeAway reports whether the agent may leave messages unanswered: it has done so
// lately, or its process restarts. Its member still says so after the restart, until the
// agent writes it again.
func (a *agent) maybeAway() bool { return a.suspect || (a.member.Restarting && !a.restarted) }

// score returns the load of the agent in requests per slot.
func (a *agent) score() float64 {
	slots := max(float64(a.member.Slots), 1)
	return (float64(a.load.InProgress) + idleFlowLoad*float64(a.load.Flows) + float64(a.placedSinceHeard)) / slots
}

// rankForOpening returns the agents that may accept a new flow of a service, in
// the order in which they are to be tried.
func (as *agentSet) rankForOpening(hash uint64, service string) []netip.AddrPort {
	var accepting []*agent
	for _, a := range as.byService[service] {
		if a.acceptsNewFlows() {
			accepting = append(accepting, a)
		}
	}
	ranked := rankByHash(accepting, hash)
	// Agents that refuse or don't answer are tried last rather than left out: it
	// may be the balancer that is cut off.
	slices.SortStableFunc(ranked, func(a, b *agent) int { return cmp.Compare(a.refusalRank(), b.refusalRank()) })
	first := ranked[:min(leastLoadedChoices, len(ranked))]
	slices.SortStableFunc(first, func(a, b *agent) int {
		return cmp.Or(cmp.Compare(a.refusalRank(), b.refusalRank()), cmp.Compare(a.score(), b.score()))
	})
	return addresses(ranked)
}

// refusalRank is the sort key of agents by whether they are expected to accept a
// new flow: 0 if so, 1 if the agent refuses, 2 if it may leave the opening unanswered.
func (a *agent) refusalRank() int {
	switch {
	case a.maybeAway():
		return 2
	case a.load.Refusing:
		return 1
	}
	return 0
}

// isDead reports whether an agent counts as dead: it has left hellos unanswered
// for long while another host of its failure domain answers. A failure domain in
// which no host answers may be cut off from this balancer only. While many agents are
// suspect, silence proves nothing about any of them.
func (as *agentSet) isDead(a *agent) bool {
	timeout := deadAfter
	if a.member.Restarting {
		timeout = restartTimeout
	}
	silent := a.suspect && as.clock-a.unansweredSince > timeout
	return silent && as.domainAnswers(a.member.Domain) && !as.manySuspect()
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

// rankForLookup returns all agents in the order in which they are asked for a
// flow: first those of the services of its route, and last those that may not pass the
// packet on. Dead ones are left out.
func (as *agentSet) rankForLookup(hash uint64, targets []view.Target) []netip.AddrPort {
	ranked := slices.DeleteFunc(rankByHash(as.all, hash), func(a *agent) bool { return as.isDead(a) })
	order := func(a *agent) int {
		position := 0
		if !slices.ContainsFunc(targets, func(t view.Target) bool { return t.Service == a.member.Service }) {
			position = 1
		}
		if a.maybeAway() {
			position += 2
		}
		return position
	}
	slices.SortStableFunc(ranked, func(a, b *agent) int { return cmp.Compare(order(a), order(b)) })
	return addresses(ranked)
}

// rankByHash orders agents by rendezvous hashing with their slots as weights.
func rankByHash(list []*agent, hash uint64) []*agent {
	nodes := make([]rendezvous.Node, len(list))
	for i, a := range list {
		nodes[i] = rendezvous.Node{ID: a.member.Name, Weight: max(float64(a.member.Slots), 1)}
	}
	ranked := make([]*agent, 0, len(list))
	for _, i := range rendezvous.Rank(nodes, hash, len(nodes)) {
		ranked = append(ranked, list[i])
	}
	return ranked
}

func addresses(list []*agent) []netip.AddrPort {
	out := make([]netip.AddrPort, len(list))
	for i, a := range list {
		out[i] = a.member.Address
	}
	return out
}

// countPlaced counts a flow that was sent to an agent.
func (as *agentSet) countPlaced(address netip.AddrPort) {
	if a := as.byAddress[address]; a != nil {
		a.placedSinceHeard++
	}
}

// recordLoad records that a node answered, and the load that an agent sent.
func (as *agentSet) recordLoad(now time.Time, address netip.AddrPort, load hop.Load) {
	if b := as.balancers[address]; b != nil {
		b.unanswered, b.suspect = false, false
		as.otherDomainReached = true
	}
	a := as.byAddress[address]
	if a == nil {
		return
	}
	a.load, a.heardAt, a.placedSinceHeard = load, now, 0
	a.restarted = a.member.Restarting && !load.Stopping
	a.unanswered, a.suspect = false, false
}

// requestHello makes a hello due at once for an agent that left an opening
// unanswered.
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
	}
	return due
}

// advanceClock adds the time since the last tick to the clock, at most maxTickGap.
func (as *agentSet) advanceClock(now time.Time) {
	if !as.lastTick.IsZero() {
		as.clock += min(now.Sub(as.lastTick), maxTickGap)
	}
	as.lastTick = now
}

// expireRefusals ends the refusals of agents that have not repeated them.
func (as *agentSet) expireRefusals(now time.Time) {
	for _, a := range as.all {
		if a.load.Refusing && now.Sub(a.heardAt) > refusalTTL {
			a.load.Refusing = false
		}
	}
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
	if c.unanswered && !c.suspect && clock-c.unansweredSince > suspectAfter {
		c.suspect, c.nextHello = true, now
	}
}

// allDecided reports whether each agent either answers or is dead.
func (as *agentSet) allDecided() bool {
	return !slices.ContainsFunc(as.all, func(a *agent) bool { return a.suspect && !as.isDead(a) })
}

// manySuspect reports whether more than maxSuspectShare of the agents are suspect. Then
// the fault is probably the balancer's own, such as a full link.
func (as *agentSet) manySuspect() bool {
	return float64(as.suspectCount()) > maxSuspectShare*float64(len(as.all))
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

// deadCount returns the number of dead agents.
func (as *agentSet) deadCount() int {
	n := 0
	for _, a := range as.all {
		if as.isDead(a) {
			n++
		}
	}
	return n
}

// isLost reports whether the agent at an address is dead or is no longer in the
// view.
func (as *agentSet) isLost(address netip.AddrPort) bool {
	a := as.byAddress[address]
	return a == nil || as.isDead(a)
}

// allListed reports whether list contains every agent that isn't dead.
func (as *agentSet) allListed(list []netip.AddrPort) bool {
	return !slices.ContainsFunc(as.all, func(a *agent) bool {
		return !as.isDead(a) && !slices.Contains(list, a.member.Address)
	})
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
