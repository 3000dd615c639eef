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
