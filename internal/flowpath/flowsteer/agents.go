package flowsteer

import (
	"cmp"
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
	// refusalTTL is how long an agent counts as refusing new flows after its last
	// message that said so.
	refusalTTL = time.Second
)

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
	ownFault           bool                        // see updateFaults
	pathFaults         map[string]bool             // by failure domain; see updateFaults
	confirmedAt        time.Time                   // when the members of the view were current at the latest
	// clock is how long this balancer has run without stalls. Silence is measured by it.
	clock        time.Duration
	lastTick     time.Time
	stallEndedAt time.Time // when the first Tick after the last stall came, zero if there was none
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

// isRestarting reports whether the agent has announced that its process ends while its
// backend server runs on: in the store, which the view may lag behind, or by its last
// message, which may be lost.
func (a *agent) isRestarting() bool { return a.member.Restarting || a.load.Stopping }

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
// new flow: 0 if so, 1 if the agent refuses, 2 if it may leave the opening unanswered, now
// or soon.
func (a *agent) refusalRank() int {
	switch {
	case a.maybeAway() || a.load.Stopping:
		return 2
	case a.load.Refusing:
		return 1
	}
	return 0
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

// likelyHolders returns the agents to which balancers send the opening of a flow first, but
// for those that are dead.
func (as *agentSet) likelyHolders(hash uint64, targets []view.Target) []netip.AddrPort {
	var list []*agent
	for _, t := range targets {
		list = append(list, as.byService[t.Service]...)
	}
	ranked := rankByHash(list, hash)
	ranked = slices.DeleteFunc(ranked[:min(len(ranked), leastLoadedChoices)], func(a *agent) bool { return as.isDead(a) })
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
		b.noteAnswer()
		as.otherDomainReached = true
	}
	a := as.byAddress[address]
	if a == nil {
		return
	}
	a.load, a.heardAt, a.placedSinceHeard = load, now, 0
	a.restarted = a.member.Restarting && !load.Stopping
	a.noteAnswer()
}

// expireRefusals ends the refusals of agents that have not repeated them.
func (as *agentSet) expireRefusals(now time.Time) {
	for _, a := range as.all {
		if a.load.Refusing && now.Sub(a.heardAt) > refusalTTL {
			a.load.Refusing = false
		}
	}
}

// allListed reports whether list contains every agent that isn't dead.
func (as *agentSet) allListed(list []netip.AddrPort) bool {
	return !slices.ContainsFunc(as.all, func(a *agent) bool {
		return !as.isDead(a) && !slices.Contains(list, a.member.Address)
	})
}
