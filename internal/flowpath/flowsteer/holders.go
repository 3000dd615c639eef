package flowsteer

import (
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

const (
	// holderMemory is how long an unused holder is remembered at least.
	holderMemory = 30 * time.Second
	// maxHolders bounds one generation of remembered holders, about 8 MB.
	maxHolders = 1 << 16
)

// holders remembers which agent holds a flow. Two generations take turns, so
// that unused entries go without a scan.
type holders struct {
	current, last map[flow.Key]netip.AddrPort
	rotated       time.Time
}

func newHolders() holders {
	return holders{current: map[flow.Key]netip.AddrPort{}, last: map[flow.Key]netip.AddrPort{}}
}

func (h *holders) get(key flow.Key, now time.Time) (netip.AddrPort, bool) {
	if agent, ok := h.current[key]; ok {
		return agent, true
	}
	agent, ok := h.last[key]
	if ok {
		h.set(key, agent, now)
	}
	return agent, ok
}

func (h *holders) set(key flow.Key, agent netip.AddrPort, now time.Time) {
	if now.Sub(h.rotated) > holderMemory || len(h.current) >= maxHolders {
		h.last, h.current = h.current, map[flow.Key]netip.AddrPort{}
		h.rotated = now
	}
	h.current[key] = agent
}

func (h *holders) remove(key flow.Key) {
	delete(h.current, key)
	delete(h.last, key)
}

func (h *holders) len() int { return len(h.current) + len(h.last) }
