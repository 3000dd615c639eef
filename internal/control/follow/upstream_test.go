package follow

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// Guards against a failure domain in which all processes poll the same one,
// however many there are, and against processes that poll each other in a cycle.
// The load pattern is that all processes of a failure domain poll for changes.
func TestQuestionsOfALargeDomainAreSpread(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{3, 30, 110, 300} {
		var all []view.Member
		for i := range size {
			all = append(all, view.Member{Name: fmt.Sprintf("agent-%03d", i)})
		}
		requests := map[string]int{}
		for i, m := range all {
			upstreams := rotateUpstreams(all[:i], m.Name)
			is.Equal(len(upstreams), i)
			if i > 0 {
				requests[upstreams[0].Name]++
				is.True(upstreams[0].Name < m.Name) // only members that rank before it
			}
		}
		for _, n := range requests {
			is.True(n <= 4*followersPerUpstream)
		}
	}
}

// Guards against balancers on links of low bandwidth that send each large
// configuration to the rest of their failure domain and lose callers' packets
// meanwhile.
func TestAgentsAreAskedBeforeBalancers(t *testing.T) {
	is := is.New(t)
	balancer := view.Member{Name: "balancer-1", Role: view.BalancerRole}
	agent := view.Member{Name: "agent-1", Role: view.AgentRole}
	is.True(compareUpstreams(agent, balancer) < 0)
	is.True(compareUpstreams(balancer, agent) > 0)
	is.True(compareUpstreams(agent, view.Member{Name: "agent-2", Role: view.AgentRole}) < 0)
}
