// Package rendezvous ranks nodes for a key by weighted rendezvous hashing.
//
// Every process with the same nodes computes the same ranking, and a node that
// joins or leaves changes only the rankings that it takes part in.
package rendezvous

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/dchest/siphash"
)

// Node is one choice.
type Node struct {
	ID     string
	Weight float64 // above 0; twice the weight wins twice the keys
}

// Hash returns the 64-bit hash of s that Rank and Table use for IDs.
func Hash(s string) uint64 {
	return siphash.Hash(0, 0, []byte(s))
}

// HashBytes returns the 64-bit hash of b, for keys.
func HashBytes(b []byte) uint64 {
	return siphash.Hash(0, 0, b)
}

// score is the weighted rendezvous score of a node for a key.
func score(node, key uint64, weight float64) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	h := siphash.Hash(node, 1, b[:])
	// The hash becomes a number strictly between 0 and 1; the negative
	// logarithm turns it into an exponential variate scaled by the weight.
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

type ranked struct {
	index int
	score float64
}

func byScore(a, b ranked) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return a.index - b.index
}

// Rank returns the indexes of the best n nodes for key, best first.
func Rank(nodes []Node, key uint64, n int) []int {
	all := make([]ranked, len(nodes))
	for i, node := range nodes {
		all[i] = ranked{i, score(Hash(node.ID), key, node.Weight)}
	}
	slices.SortFunc(all, byScore)
	out := make([]int, 0, n)
	for _, r := range all[:min(n, len(all))] {
		out = append(out, r.index)
	}
	return out
}
