package follow

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// The load pattern: all processes of a failure domain ask for changes. Guards
// against one process that answers them all however many there are, and against
// processes that ask each other in a circle.
func TestQuestionsOfALargeDomainAreSpread(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{3, 30, 110, 300} {
		var all []view.Member
		for i := range size {
			all = append(all, view.Member{Name: fmt.Sprintf("agent-%03d", i)})
		}
		asked := map[string]int{}
		for i, m := range all {
			order := spread(all[:i], m.Name)
			is.Equal(len(order), i)
			if i > 0 {
				asked[order[0].Name]++
				is.True(order[0].Name < m.Name) // only ones before it
			}
		}
		for _, n := range asked {
			is.True(n <= 4*followersEach)
		}
	}
}

// Guards against balancers with narrow links that pass each large configuration
// on to the rest of their failure domain and lose callers' packets meanwhile.
func TestAgentsAreAskedBeforeBalancers(t *testing.T) {
	is := is.New(t)
	balancer := view.Member{Name: "balancer-1", Role: view.BalancerRole}
	agent := view.Member{Name: "agent-1", Role: view.AgentRole}
	is.True(compareMembers(agent, balancer) < 0)
	is.True(compareMembers(balancer, agent) > 0)
	is.True(compareMembers(agent, view.Member{Name: "agent-2", Role: view.AgentRole}) < 0)
}
