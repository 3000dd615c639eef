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
	// choices is the number of best ranked agents among which a new flow goes
	// to the least loaded one.
	choices = hop.MaxCandidates
	// flowWeight is the load of an open flow without a request, in requests.
	flowWeight = 0.1
	// helloRate bounds the hellos that a balancer sends, in messages a second.
	helloRate = 50
	// minHelloInterval is the time between two hellos to an agent at least.
	minHelloInterval = 250 * time.Millisecond
	// suspectInterval is the longest time between two hellos to an agent that
	// left one unanswered: flows wait until it is known whether it is gone.
	suspectInterval = 500 * time.Millisecond
	// suspectAfter is how long an agent may leave a hello unanswered.
	suspectAfter = 150 * time.Millisecond
	// deadAfter is how long an agent may be silent until the flows that it may
	// hold are given up. Callers' deadlines are not longer.
	deadAfter = 2 * time.Second
	// neverHeard is the same for an agent that has not answered since this
	// balancer started: it may be gone for long.
	neverHeard = 700 * time.Millisecond
	// silentShare is the share of agents that may be silent while the balancer
	// trusts what it hears. A crash that takes more hosts with it is rarer than
	// a full link of the balancer's own.
	silentShare = 0.25
	// refusalMemory is how long an agent that takes no new flows is passed
	// over on its own word.
	refusalMemory = time.Second
)

// contact is what the balancer knows of a node that it sends hellos to.
type contact struct {
	member    view.Member
	unheard   time.Time // when the oldest unanswered hello was sent, zero if none
	nextHello time.Time
	suspect   bool
}

// agent is what the balancer knows of one agent.
type agent struct {
	contact
	out     bool // its failure domain is evacuated
	load    hop.Load
	heardAt time.Time
	placed  int // flows sent there since its load was heard
}

// agents are all agents of the view, suspect ones included.
type agents struct {
	byAddress map[netip.AddrPort]*agent
	byService map[string][]*agent
	all       []*agent
	balancers map[netip.AddrPort]*contact // those of other failure domains
	reached   bool                        // a balancer of another failure domain answered since the start
}

func newAgents() agents {
	return agents{byAddress: map[netip.AddrPort]*agent{}, balancers: map[netip.AddrPort]*contact{}}
}

// set takes the members of a view over and keeps what is known of agents that
// stay.
func (as *agents) set(v view.View, domain string) {
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
		a.member, a.out = m, v.Evacuations.Domains[m.Domain]
		next[m.Address] = a
		as.all = append(as.all, a)
	}
	slices.SortFunc(as.all, func(a, b *agent) int { return cmp.Compare(a.member.Name, b.member.Name) })
	for _, a := range as.all {
		as.byService[a.member.Service] = append(as.byService[a.member.Service], a)
	}
	as.byAddress, as.balancers = next, balancers
}

// mayOpen reports whether new flows may go to an agent.
func (a *agent) mayOpen() bool { return !a.out && a.member.State == view.Ready }

// score is the agent's load for its size; lower is better.
func (a *agent) score() float64 {
	slots := max(float64(a.member.Slots), 1)
	return (float64(a.load.InProgress) + flowWeight*float64(a.load.Flows) + float64(a.placed)) / slots
}

// rankOpen returns the agents that may take a new flow of a service, the one
// to ask first at the front.
func (as *agents) rankOpen(hash uint64, service string) []netip.AddrPort {
	var open []*agent
	for _, a := range as.byService[service] {
		if a.mayOpen() {
			open = append(open, a)
		}
	}
	ranked := rank(open, hash)
	// Agents that don't answer or refuse are asked last, not left out: the
	// balancer may be the one that is cut off.
	slices.SortStableFunc(ranked, func(a, b *agent) int { return cmp.Compare(a.reluctance(), b.reluctance()) })
	first := ranked[:min(choices, len(ranked))]
	slices.SortStableFunc(first, func(a, b *agent) int {
		return cmp.Or(cmp.Compare(a.reluctance(), b.reluctance()), cmp.Compare(a.score(), b.score()))
	})
	return addresses(ranked)
}

// reluctance orders agents by whether they are expected to take a new flow.
func (a *agent) reluctance() int {
	switch {
	case a.suspect:
		return 2
	case a.load.Refusing:
		return 1
	}
	return 0
}

// dead reports whether an agent is given up: it has been silent for long while
// other hosts of its failure domain answer. A failure domain of which none
// answers may be cut off from this balancer alone.
func (as *agents) dead(now time.Time, a *agent) bool {
	patience := deadAfter
	if a.heardAt.IsZero() {
		patience = neverHeard
	}
	return a.suspect && now.Sub(a.unheard) > patience && as.answers(a.member.Domain)
}

// answers reports whether a host of a failure domain answers hellos.
func (as *agents) answers(domain string) bool {
	for _, b := range as.balancers {
		if b.member.Domain == domain && !b.suspect {
			return true
		}
	}
	return slices.ContainsFunc(as.all, func(a *agent) bool { return a.member.Domain == domain && !a.suspect })
}

// rankAll returns all agents in the order in which they may hold a flow: first
// those of its route's services, and those that don't answer last. Dead ones
// are left out: a packet that is sent there goes no further.
func (as *agents) rankAll(now time.Time, hash uint64, targets []view.Target) []netip.AddrPort {
	ranked := slices.DeleteFunc(rank(as.all, hash), func(a *agent) bool { return as.dead(now, a) })
	order := func(a *agent) int {
		place := 0
		if !slices.ContainsFunc(targets, func(t view.Target) bool { return t.Service == a.member.Service }) {
			place = 1
		}
		if a.suspect {
			place += 2
		}
		return place
	}
	slices.SortStableFunc(ranked, func(a, b *agent) int { return cmp.Compare(order(a), order(b)) })
	return addresses(ranked)
}

func rank(list []*agent, hash uint64) []*agent {
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

// placed counts a flow that was sent to an agent.
func (as *agents) placed(address netip.AddrPort) {
	if a := as.byAddress[address]; a != nil {
		a.placed++
	}
}

// heard records a sign of life and the load that came with it.
func (as *agents) heard(now time.Time, address netip.AddrPort, load hop.Load) {
	if b := as.balancers[address]; b != nil {
		b.unheard, b.suspect = time.Time{}, false
		as.reached = true
	}
	a := as.byAddress[address]
	if a == nil {
		return
	}
	a.load, a.heardAt, a.placed = load, now, 0
	a.unheard, a.suspect = time.Time{}, false
}

// doubt asks for a hello to an agent that left an opening unanswered.
func (as *agents) doubt(now time.Time, address netip.AddrPort) {
	if a := as.byAddress[address]; a != nil && a.unheard.IsZero() && a.nextHello.After(now) {
		a.nextHello = now
	}
}

// hellos returns the nodes that are due for a hello and marks those that left
// one unanswered.
func (as *agents) hellos(now time.Time) []netip.AddrPort {
	interval := max(minHelloInterval, time.Duration(len(as.all)+len(as.balancers))*time.Second/helloRate)
	var due []netip.AddrPort
	for _, a := range as.all {
		if a.load.Refusing && now.Sub(a.heardAt) > refusalMemory {
			a.load.Refusing = false
		}
		if a.due(now, interval) {
			due = append(due, a.member.Address)
		}
	}
	for _, b := range as.balancers {
		if b.due(now, interval) {
			due = append(due, b.member.Address)
		}
	}
	return due
}

// due reports whether a hello is to be sent now, and marks a node that left one
// unanswered.
func (c *contact) due(now time.Time, interval time.Duration) bool {
	if !c.unheard.IsZero() && now.Sub(c.unheard) > suspectAfter {
		c.suspect = true
	}
	if now.Before(c.nextHello) {
		return false
	}
	if c.unheard.IsZero() {
		c.unheard = now
	}
	if c.suspect {
		interval = min(interval, suspectInterval)
	}
	c.nextHello = now.Add(interval)
	return true
}

// anyDoubtful reports whether an agent is silent that isn't given up yet.
func (as *agents) anyDoubtful(now time.Time) bool {
	return slices.ContainsFunc(as.all, func(a *agent) bool { return a.suspect && !as.dead(now, a) })
}

// trusted reports whether each agent answers or is given up. If many are silent
// the balancer itself is in trouble, for example because its link is full, and
// gives none of them up.
func (as *agents) trusted(now time.Time) bool { return !as.anyDoubtful(now) && !as.manySilent() }

// manySilent reports whether more than silentShare of the agents don't answer.
func (as *agents) manySilent() bool {
	return float64(as.silent()) > silentShare*float64(len(as.all))
}

// silent returns the number of agents that don't answer.
func (as *agents) silent() int {
	n := 0
	for _, a := range as.all {
		if a.suspect {
			n++
		}
	}
	return n
}

// lost reports whether the agent at an address is dead or announced no more.
func (as *agents) lost(now time.Time, address netip.AddrPort) bool {
	a := as.byAddress[address]
	return a == nil || (as.dead(now, a) && !as.manySilent())
}

// allIn reports whether every agent that isn't dead is in a list.
func (as *agents) allIn(now time.Time, list []netip.AddrPort) bool {
	return !slices.ContainsFunc(as.all, func(a *agent) bool {
		return !as.dead(now, a) && !slices.Contains(list, a.member.Address)
	})
}

// isolated reports whether the balancer rather than the others is cut off: no
// balancer of another failure domain answers any more, and less than half of
// the agents do. A balancer that has just started may be ahead of the others.
func (as *agents) isolated() bool {
	for _, b := range as.balancers {
		if !b.suspect {
			return false
		}
	}
	return as.reached && len(as.balancers) > 0 && 2*as.silent() > len(as.all)
}
