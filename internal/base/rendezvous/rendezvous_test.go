package rendezvous

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

func nodes(n int) []Node {
	out := make([]Node, n)
	for i := range out {
		out[i] = Node{ID: fmt.Sprintf("comptoir-%d", i), Weight: 9}
	}
	return out
}

// Guards against balancers that disagree: the ranking must not depend on the
// order in which a balancer learnt of the agents.
func TestRankingIgnoresOrder(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		all := nodes(rapid.IntRange(1, 12).Draw(t, "nodes"))
		mixed := rapid.Permutation(all).Draw(t, "order")
		a, b := NewTable(all), NewTable(mixed)
		key := rapid.Uint64().Draw(t, "key")
		x, y := a.Lookup(key), b.Lookup(key)
		for i := range x {
			if (x[i] == none) != (y[i] == none) {
				t.Fatalf("lookup %v and %v", x, y)
			}
			if x[i] != none && all[x[i]].ID != mixed[y[i]].ID {
				t.Fatalf("place %d: %s and %s", i, all[x[i]].ID, mixed[y[i]].ID)
			}
		}
	})
}

// Guards against a departure that moves openings between the remaining nodes.
func TestDepartureMovesOnlyItsOwnKeys(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		all := nodes(rapid.IntRange(2, 8).Draw(t, "nodes"))
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		rest := append(append([]Node(nil), all[:gone]...), all[gone+1:]...)
		before, after := NewTable(all), NewTable(rest)
		key := rapid.Uint64().Draw(t, "key")
		old := before.Lookup(key)
		want := old[0]
		if int(want) == gone {
			want = old[1]
		}
		if got := rest[after.Lookup(key)[0]].ID; got != all[want].ID {
			t.Fatalf("first node %s, want %s", got, all[want].ID)
		}
	})
}

// Guards against a table that gives a node far more slots than its weight.
func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	all := nodes(10)
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
