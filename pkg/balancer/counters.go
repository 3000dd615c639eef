package balancer

import (
	"sync/atomic"

	"github.com/knapweedpier/knapweedpier/internal/errkind"
)

// maxKind bounds the error kinds that can be counted without a map.
const maxKind = 1000

// Counters count packets. They may be read at any time.
type Counters struct {
	Forwarded atomic.Uint64 // packets sent to agents
	Returned  atomic.Uint64 // packets sent to callers
	Openings  atomic.Uint64 // forwarded packets that open a flow
	drops     [maxKind]atomic.Uint64
}

func (c *Counters) drop(kind errkind.Kind) {
	c.drops[kind%maxKind].Add(1)
}

// Drops returns the number of packets dropped for a kind of error.
func (c *Counters) Drops(kind errkind.Kind) uint64 {
	return c.drops[kind%maxKind].Load()
}
