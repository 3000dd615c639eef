package rendezvous

// Width is the number of ranked nodes that a table keeps for each slot.
const Width = 3

const (
	minSlots = 256
	// maxSlots bounds the time to build the table of a service with thousands
	// of nodes.
	maxSlots = 4096
	// slotsPerNode keeps the share of each node within a few percent of its
	// weight.
	slotsPerNode = 32
)

// none marks an unused place of a slot.
const none = -1

// Table holds the best nodes for each of a fixed number of slots, so that a
// lookup costs the same for any number of nodes. It is immutable.
type Table struct {
	slots [][Width]int32
}

// NewTable ranks nodes for every slot. The nodes' order does not matter for
// the ranking, only for the indexes that Lookup returns.
func NewTable(nodes []Node) *Table {
	t := &Table{slots: make([][Width]int32, slotCount(len(nodes)))}
	hashes := make([]uint64, len(nodes))
	for i, node := range nodes {
		hashes[i] = Hash(node.ID)
	}
	for slot := range t.slots {
		t.slots[slot] = best(nodes, hashes, uint64(slot))
	}
	return t
}

// slotCount depends on the nodes in powers of two only, since a change of the
// count reshuffles all slots.
func slotCount(nodes int) int {
	count := minSlots
	for count < nodes*slotsPerNode && count < maxSlots {
		count *= 2
	}
	return count
}

// best keeps the highest scores by insertion into a short sorted array.
func best(nodes []Node, hashes []uint64, slot uint64) [Width]int32 {
	out := [Width]int32{none, none, none}
	var scores [Width]float64
	for i, node := range nodes {
		s := score(hashes[i], slot, node.Weight)
		index := int32(i)
		for place := range out {
			if out[place] == none || s > scores[place] {
				out[place], index = index, out[place]
				scores[place], s = s, scores[place]
			}
			if index == none {
				break
			}
		}
	}
	return out
}

// Lookup returns the ranked nodes for a hashed key. Unused places are -1.
func (t *Table) Lookup(hash uint64) [Width]int32 {
	return t.slots[hash%uint64(len(t.slots))]
}
