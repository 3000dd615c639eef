package rendezvous

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

func makeNodes(n int) []Node {
	out := make([]Node, n)
	for i := range out {
		out[i] = Node{ID: fmt.Sprintf("comptoir-%d", i), Weight: 9}
	}
	return out
}

// Guards against balancers that send one flow to different agents: the ranking
// must not depend on the order in which a balancer learnt of the agents.
func TestRankingIgnoresOrder(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		all := makeNodes(rapid.IntRange(1, 12).Draw(t, "nodes"))
		shuffled := rapid.Permutation(all).Draw(t, "order")
		a, b := NewTable(all), NewTable(shuffled)
		key := rapid.Uint64().Draw(t, "key")
		ranking, shuffledRanking := a.Lookup(key), b.Lookup(key)
		for i := range ranking {
			if (ranking[i] == noNode) != (shuffledRanking[i] == noNode) {
				t.Fatalf("Lookup returned %v, and %v for the permuted nodes: the ranks in use differ", ranking, shuffledRanking)
			}
			if ranking[i] != noNode && all[ranking[i]].ID != shuffled[shuffledRanking[i]].ID {
				t.Fatalf("rank %d: node %s, and %s for the permuted nodes", i, all[ranking[i]].ID, shuffled[shuffledRanking[i]].ID)
			}
		}
	})
}

// Guards against the removal of a node that moves new flows between the remaining
// nodes: only the removed node's keys may move, to their second node.
func TestDepartureMovesOnlyItsOwnKeys(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		all := makeNodes(rapid.IntRange(2, 8).Draw(t, "nodes"))
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		remaining := append(append([]Node(nil), all[:removed]...), all[removed+1:]...)
		before, after := NewTable(all), NewTable(remaining)
		key := rapid.Uint64().Draw(t, "key")
		previous := before.Lookup(key)
		want := previous[0]
		if int(want) == removed {
			want = previous[1]
		}
		if got := remaining[after.Lookup(key)[0]].ID; got != all[want].ID {
			t.Fatalf("first node %s, want %s", got, all[want].ID)
		}
	})
}

// Guards against a table that gives a node far more or fewer slots than its
// weight, and against a Rank that disagrees with the table.
func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	all := makeNodes(10)
	all[0].Weight = 27
	counts := make([]float64, len(all))
	table := NewTable(all)
	for _, slot := range table.slots {
		counts[slot[0]]++
	}
	total := float64(len(table.slots))
	is.True(math.Abs(counts[0]/total-27.0/108) < 0.06)
	is.True(math.Abs(counts[1]/total-9.0/108) < 0.06)
	is.Equal(Rank(all, 7, 2)[0], int(table.Lookup(7)[0]))
}
