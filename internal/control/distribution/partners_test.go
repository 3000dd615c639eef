package distribution

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/control/isolation"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

// fullFleetView returns a view in which no domain is out and no partner has failed.
func fullFleetView(members []membership.Member, domains int) fleetView {
	return fleetView{
		members: members, domains: domains,
		isOut:       func(string) bool { return false },
		shouldAvoid: func(netip.AddrPort) bool { return false },
	}
}

func drawMembers(t *rapid.T, domains int) []membership.Member {
	var members []membership.Member
	for i := range rapid.IntRange(domains, 60).Draw(t, "members") {
		role := membership.RoleBalancer
		if i >= domains && rapid.Bool().Draw(t, "agent") {
			role = membership.RoleAgent
		}
		members = append(members, membership.Member{Record: membership.Record{
			ID: fmt.Sprint("m", i, "-", rapid.IntRange(0, 99).Draw(t, "name")), Role: role, State: membership.StateServing,
			Region: "r", Domain: fmt.Sprint("d", i%domains),
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
		}})
	}
	return members
}

// Guards against balancers that changes of some other balancer never reach,
// against partners that do not cover a majority of the failure domains, and
// against a choice that depends on the order of members.
func TestPartnerSelection(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		members := drawMembers(t, domains)
		byAddr := map[netip.AddrPort]membership.Member{}
		for _, m := range members {
			byAddr[m.Peer] = m
		}
		partners := map[string][]netip.AddrPort{}
		for _, m := range members {
			chosen := selectPartners(m.Record, fullFleetView(members, domains))
			partners[m.ID] = chosen
			if !slices.Equal(chosen, selectPartners(m.Record, fullFleetView(rapid.Permutation(members).Draw(t, "order"), domains))) {
				t.Fatalf("partners of %s depend on the order of members", m.ID)
			}
			covered := map[string]bool{}
			for _, addr := range chosen {
				if addr == m.Peer {
					t.Fatalf("%s pulls from itself", m.ID)
				}
				covered[byAddr[addr].Domain] = true
			}
			others := len(members) - 1
			if want := min(isolation.Majority(domains), others, partnerCount(m.Role, domains)); len(covered) < min(want, domains-1) {
				t.Fatalf("partners of %s cover %d of %d failure domains", m.ID, len(covered), domains)
			}
		}
		first := members[0] // a balancer: it must learn, directly or indirectly, from all balancers
		reached, queue := map[string]bool{first.ID: true}, []membership.Member{first}
		for len(queue) > 0 {
			next := queue[0]
			queue = queue[1:]
			for _, addr := range partners[next.ID] {
				if m := byAddr[addr]; !reached[m.ID] {
					reached[m.ID] = true
					queue = append(queue, m)
				}
			}
		}
		for _, m := range members {
			if m.Role == membership.RoleBalancer && !reached[m.ID] {
				t.Fatalf("changes known to %[2]s never reach %[1]s", first.ID, m.ID)
			}
		}
	})
}

// Guards against a failure domain in which no balancer, or more than two, watch
// the platform.
func TestTwoWatchersPerDomain(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		members := drawMembers(t, domains)
		watchers, balancers := map[string]int{}, map[string]int{}
		for _, m := range members {
			if m.Role == membership.RoleBalancer {
				balancers[m.Domain]++
			}
			if isPlatformWatcher(m.Record, members) {
				watchers[m.Domain]++
			}
		}
		for domain, n := range balancers {
			if watchers[domain] != min(n, watchersPerDomain) {
				t.Fatalf("%d of %d balancers of %s watch the platform", watchers[domain], n, domain)
			}
		}
	})
}
