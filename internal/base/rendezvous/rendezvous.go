// Package rendezvous ranks nodes for a key by weighted rendezvous hashing.
//
// Every process with the same nodes computes the same ranking. A node that joins
// or leaves does not change the relative order of the other nodes. The package
// imports no other package of this module.
package rendezvous

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/dchest/siphash"
)

// Node is a node that keys can be assigned to.
type Node struct {
	ID     string
	Weight float64 // above 0; the share of keys that a node ranks first for is proportional to it
}

// Hash returns the 64-bit hash of s. Rank and Table hash node IDs with it.
func Hash(s string) uint64 {
	return siphash.Hash(0, 0, []byte(s))
}

// HashBytes returns the 64-bit hash of b. It computes keys for Rank and
// Table.Lookup.
func HashBytes(b []byte) uint64 {
	return siphash.Hash(0, 0, b)
}

// score returns the weighted rendezvous score of a node, given by the hash of its
// ID, for a key.
func score(node, key uint64, weight float64) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	h := siphash.Hash(node, 1, b[:])
	// u is uniform and strictly between 0 and 1, so -log(u) is exponentially
	// distributed. The score is the weight divided by it, so that each node has the
	// highest score with a probability proportional to its weight.
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

type scoredNode struct {
	index int
	score float64
}

func compareScores(a, b scoredNode) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return a.index - b.index
}

// Rank returns the indexes of the n nodes with the highest scores for key,
// highest first; fewer if there are fewer nodes.
func Rank(nodes []Node, key uint64, n int) []int {
	scored := make([]scoredNode, len(nodes))
	for i, node := range nodes {
		scored[i] = scoredNode{i, score(Hash(node.ID), key, node.Weight)}
	}
	slices.SortFunc(scored, compareScores)
	ranking := make([]int, 0, n)
	for _, r := range scored[:min(n, len(scored))] {
		ranking = append(ranking, r.index)
	}
	return ranking
}
