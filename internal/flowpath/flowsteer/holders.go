package flowsteer

import (
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

const (
	// holderRetention is the minimum time for which an unused entry is kept.
	holderRetention = 30 * time.Second
	// maxHoldersPerGeneration is the maximum number of entries in one generation,
	// which then takes about 8 MB.
	maxHoldersPerGeneration = 1 << 16
)

// holders is a cache of the agents that hold flows. It keeps two generations of
// entries and drops the previous one as a whole, so that unused entries expire
// without a scan.
type holders struct {
	current, previous map[flow.Key]netip.AddrPort
	rotatedAt         time.Time
}

func newHolders() holders {
	return holders{current: map[flow.Key]netip.AddrPort{}, previous: map[flow.Key]netip.AddrPort{}}
}

func (h *holders) get(key flow.Key, now time.Time) (netip.AddrPort, bool) {
	if agent, ok := h.current[key]; ok {
		return agent, true
	}
	agent, ok := h.previous[key]
	if ok {
		h.set(key, agent, now)
	}
	return agent, ok
}

func (h *holders) set(key flow.Key, agent netip.AddrPort, now time.Time) {
	if now.Sub(h.rotatedAt) > holderRetention || len(h.current) >= maxHoldersPerGeneration {
		h.previous, h.current = h.current, map[flow.Key]netip.AddrPort{}
		h.rotatedAt = now
	}
	h.current[key] = agent
}

func (h *holders) remove(key flow.Key) {
	delete(h.current, key)
	delete(h.previous, key)
}

func (h *holders) len() int { return len(h.current) + len(h.previous) }
