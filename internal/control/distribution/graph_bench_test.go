package distribution

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/membership"
)

// graph is who pulls from whom in a fleet.
type graph struct {
	members  []membership.Member
	partners [][]int // indexes of the partners of each member, in order
}

// newGraph spreads a fleet with the target's shares over two regions with three
// failure domains each.
func newGraph(size int) *graph {
	g := &graph{}
	index := map[netip.AddrPort]int{}
	for i := range size {
		role := roleOf(i < size*targetNodes/(targetNodes+targetAgents))
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 40, byte(i >> 8), byte(i)}), 4200)
		index[peer] = i
		g.members = append(g.members, membership.Member{Record: membership.Record{
			ID: fmt.Sprintf("%s-%05d", role, i), Role: role, State: membership.StateServing, Peer: peer,
			Region: []string{"mauricie", "gj-west"}[i%2], Domain: fmt.Sprint("domain-", i%6),
		}})
	}
	view := fleetView{
		members: g.members, domains: 3,
		out:   func(string) bool { return false },
		avoid: func(netip.AddrPort) bool { return false },
	}
	for _, m := range g.members {
		var partners []int
		for _, addr := range partnersOf(m.Record, view) {
			partners = append(partners, index[addr])
		}
		g.partners = append(g.partners, partners)
	}
	return g
}

// hops returns in how many pulls news from the sources reach everybody. Records
// do not travel over the second half of the partners.
func (g *graph) hops(sources []int, records bool) (most int) {
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

func (g *graph) learns(i int, reached []bool, records bool) bool {
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

// served returns the pulls that the mean and the busiest balancer serve.
func (g *graph) served() (mean, most float64) {
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

func (g *graph) watchers() (out []int) {
	for i, m := range g.members {
		if watches(m.Record, g.members) {
			out = append(out, i)
		}
	}
	return out
}

// BenchmarkGraph computes the graph of pulls: hops from the watchers for a
// configuration, hops from one balancer for a record, and pulls served.
func BenchmarkGraph(b *testing.B) {
	for _, size := range []int{50, 300, 1000, targetNodes + targetAgents} {
		b.Run(fmt.Sprint("processes=", size), func(b *testing.B) {
			for b.Loop() {
				began := time.Now()
				g := newGraph(size)
				b.ReportMetric(float64(time.Since(began).Microseconds())/float64(size), "µs/choice")
				watchers := g.watchers()
				b.ReportMetric(float64(len(watchers)), "watchers")
				b.ReportMetric(float64(g.hops(watchers, false)), "config-hops")
				b.ReportMetric(float64(g.hops([]int{0}, true)), "record-hops")
				mean, most := g.served()
				b.ReportMetric(mean, "served-mean")
				b.ReportMetric(most, "served-most")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
