package rendezvous

// NodesPerSlot is the number of ranked nodes that a table keeps for each slot.
const NodesPerSlot = 3

const (
	minSlots = 256
	// maxSlots bounds the time to build the table of a service with thousands of
	// nodes.
	maxSlots = 4096
	// slotsPerNode keeps the share of each node within a few percent of the
	// share that its weight gives it.
	slotsPerNode = 32
)

// noNode marks an unused rank of a slot: there are fewer nodes than ranks.
const noNode = -1

// Table holds the highest ranked nodes for each of a fixed number of slots, so
// that the cost of a lookup does not depend on the number of nodes. It is
// immutable.
type Table struct {
	slots [][NodesPerSlot]int32
}

// NewTable ranks nodes for every slot. The order of nodes does not affect the
// ranking, only the indexes that Lookup returns.
func NewTable(nodes []Node) *Table {
	t := &Table{slots: make([][NodesPerSlot]int32, slotCount(len(nodes)))}
	hashes := make([]uint64, len(nodes))
	for i, node := range nodes {
		hashes[i] = Hash(node.ID)
	}
	for slot := range t.slots {
		t.slots[slot] = topNodes(nodes, hashes, uint64(slot))
	}
	return t
}

// slotCount returns the number of slots for a number of nodes. It grows in powers
// of two, so that it changes rarely: each change reassigns the keys of all slots.
func slotCount(nodes int) int {
	count := minSlots
	for count < nodes*slotsPerNode && count < maxSlots {
		count *= 2
	}
	return count
}

// topNodes returns the indexes of the nodes with the highest scores for slot,
// highest first. It inserts each node into a short sorted array.
func topNodes(nodes []Node, hashes []uint64, slot uint64) [NodesPerSlot]int32 {
	ranking := [NodesPerSlot]int32{noNode, noNode, noNode}
	var scores [NodesPerSlot]float64
	for i, node := range nodes {
		s := score(hashes[i], slot, node.Weight)
		index := int32(i)
		for rank := range ranking {
			if ranking[rank] == noNode || s > scores[rank] {
				ranking[rank], index = index, ranking[rank]
				scores[rank], s = s, scores[rank]
			}
			if index == noNode {
				break
			}
		}
	}
	return ranking
}

// Lookup returns the indexes of the ranked nodes for the hash of a key. Unused
// ranks are -1.
func (t *Table) Lookup(hash uint64) [NodesPerSlot]int32 {
	return t.slots[hash%uint64(len(t.slots))]
}
