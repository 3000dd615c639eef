package distribution

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/membership"
)

// pullGraph holds which member pulls from which.
type pullGraph struct {
	members  []membership.Member
	partners [][]int // indexes of the partners of each member, in order
}

// newPullGraph distributes a fleet, with the target's shares of balancers and
// agents, over two regions with three failure domains each.
func newPullGraph(size int) *pullGraph {
	g := &pullGraph{}
	index := map[netip.AddrPort]int{}
	for i := range size {
		role := roleOf(i < size*targetBalancers/(targetBalancers+targetAgents))
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 40, byte(i >> 8), byte(i)}), 4200)
		index[peer] = i
		g.members = append(g.members, membership.Member{Record: membership.Record{
			ID: fmt.Sprintf("%s-%05d", role, i), Role: role, State: membership.StateServing, Peer: peer,
			Region: []string{"mauricie", "gj-west"}[i%2], Domain: fmt.Sprint("domain-", i%6),
		}})
	}
	view := fleetView{
		members: g.members, domains: 3,
		isOut:       func(string) bool { return false },
		shouldAvoid: func(netip.AddrPort) bool { return false },
	}
	for _, m := range g.members {
		var partners []int
		for _, addr := range selectPartners(m.Record, view) {
			partners = append(partners, index[addr])
		}
		g.partners = append(g.partners, partners)
	}
	return g
}

// hops returns after how many rounds of pulls a change at the sources has reached
// every member. Records are not sent over the second half of the partners.
func (g *pullGraph) hops(sources []int, records bool) (most int) {
	reached := make([]bool, len(g.members))
	left := len(g.members) - len(sources)
	for _, s := range sources {
		reached[s] = true
	}
	for ; left > 0 && most < len(g.members); most++ {
		var next []int
		for i := range g.members {
			if !reached[i] && g.learns(i, reached, records) {
				next = append(next, i)
			}
		}
		for _, i := range next {
			reached[i] = true
		}
		left -= len(next)
	}
	return most
}

func (g *pullGraph) learns(i int, reached []bool, records bool) bool {
	partners := g.partners[i]
	if records {
		partners = partners[:(len(partners)+1)/2]
	}
	for _, p := range partners {
		if reached[p] {
			return true
		}
	}
	return false
}

// pullsServed returns how many members pull from a balancer: the mean, and the
// number at the balancer with most.
func (g *pullGraph) pullsServed() (mean, most float64) {
	counts := make([]float64, len(g.members))
	for _, partners := range g.partners {
		for _, p := range partners {
			counts[p]++
		}
	}
	balancers := 0.0
	for i, m := range g.members {
		if m.Role == membership.RoleBalancer {
			balancers++
			mean += counts[i]
			most = max(most, counts[i])
		}
	}
	return mean / balancers, most
}

func (g *pullGraph) watchers() (out []int) {
	for i, m := range g.members {
		if isPlatformWatcher(m.Record, g.members) {
			out = append(out, i)
		}
	}
	return out
}

// BenchmarkGraph computes the graph of pulls: the hops of a configuration from the
// watchers, the hops of a record from one balancer, and the pulls served.
func BenchmarkGraph(b *testing.B) {
	for _, size := range []int{50, 300, 1000, targetBalancers + targetAgents} {
		b.Run(fmt.Sprint("processes=", size), func(b *testing.B) {
			for b.Loop() {
				startTime := time.Now()
				g := newPullGraph(size)
				b.ReportMetric(float64(time.Since(startTime).Microseconds())/float64(size), "µs/choice")
				watchers := g.watchers()
				b.ReportMetric(float64(len(watchers)), "watchers")
				b.ReportMetric(float64(g.hops(watchers, false)), "config-hops")
				b.ReportMetric(float64(g.hops([]int{0}, true)), "record-hops")
				mean, most := g.pullsServed()
				b.ReportMetric(mean, "served-mean")
				b.ReportMetric(most, "served-most")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
