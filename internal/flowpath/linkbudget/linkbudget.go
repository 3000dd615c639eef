// Package linkbudget decides which new flows a balancer with a narrow link admits, and
// which packets it drops when it sends more than the link carries. It counts what the
// balancer receives and sends. It must not depend on sockets, clocks or goroutines.
package linkbudget

import (
	"container/list"
	"math"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// narrowBelow is the rate in bytes per second from which a link is not narrow (100 Mbit/s).
const narrowBelow = 100e6 / 8

// IsNarrow reports whether a link of a rate in bytes per second is so narrow that what a
// balancer repeats may saturate it. A rate of 0 is unknown.
func IsNarrow(rate float64) bool { return rate > 0 && rate < narrowBelow }

// Kind is what a sent datagram is for.
type Kind uint8

// The kinds of sent datagrams.
const (
	Forward Kind = iota // a caller's packet, to the agent that holds its flow
	Opening             // a caller's opening, to agents that may take it
	Lookup              // to agents that may hold a flow
	Offer               // to agents that offer the packet to their backend servers
	Control             // hellos, answers to them and resets
	Kinds               // the number of kinds
)

// String returns the name of k in metrics.
func (k Kind) String() string {
	return [Kinds]string{"forward", "opening", "lookup", "offer", "control"}[k]
}

// Reason is why an opening is refused.
type Reason uint8

// The reasons.
const (
	WorkExceedsAllowance Reason = iota // the flow's route is heavy, and its allowance is used up
	TimeoutUnreachable                 // the flow's data would arrive after the route's timeout
	Reasons                            // the number of reasons
)

// String returns the name of r in metrics and log lines.
func (r Reason) String() string {
	return [Reasons]string{"work-exceeds-allowance", "timeout-unreachable"}[r]
}

// Options are the settings of a budget.
type Options struct {
	BytesPerSecond float64 // rate of the link in each direction, 0 if unknown
}

// Count is a number of datagrams and of the bytes that they take on the link.
type Count struct{ Messages, Bytes int64 }

func (c *Count) add(bytes int) {
	c.Messages++
	c.Bytes += int64(bytes + hop.DatagramOverhead)
}

// Snapshot is what a budget has counted since the start of the process.
type Snapshot struct {
	Received Count           // callers' packets
	Sent     [Kinds][2]Count // by kind; at index 1 those that were repeated
	Refused  [Reasons]int64  // openings
	Shed     Count           // callers' packets that were dropped because the link was full
}

// Budget makes the decisions for one link. It is not safe for concurrent use.
type Budget struct {
	rate   float64 // bytes per second
	counts Snapshot

	flows   map[flow.Key]*list.Element
	order   *list.List // the tracked flows (*trackedFlow), in the order of their openings
	routes  map[netip.AddrPort]*routeWork
	refused map[flow.Key]time.Time // refused openings
	// background is what the link carries besides the tracked flows.
	background decayingSum
	// outstanding is the sum of the bytes that tracked flows are still expected to send.
	outstanding float64
	refreshedAt time.Time

	lastTick, stallEndedAt time.Time
	window                 rateWindow
	rateRaised             bool
	received               decayingSum // bytes received lately
	shedder                shedder
}

// New returns a budget for a link.
func New(o Options) *Budget {
	b := &Budget{rate: o.BytesPerSecond}
	if math.IsNaN(b.rate) || math.IsInf(b.rate, 0) || b.rate < 0 {
		b.rate = 0
	}
	b.flows, b.order = map[flow.Key]*list.Element{}, list.New()
	b.routes, b.refused = map[netip.AddrPort]*routeWork{}, map[flow.Key]time.Time{}
	return b
}

// Fresh returns a new budget that takes over only the rate of the link, the counts and the
// refused openings of b, whose copies must not be forwarded. It replaces b when the state of b
// may be wrong, for example after a panic that may have left it half changed.
func (b *Budget) Fresh() *Budget {
	fresh := New(Options{BytesPerSecond: b.rate})
	fresh.counts, fresh.refused = b.counts, b.refused
	return fresh
}

// Enabled reports whether the link is narrow. Otherwise the budget only counts.
func (b *Budget) Enabled() bool { return IsNarrow(b.rate) }

// Rate returns the rate of the link in bytes per second, 0 if unknown. It is the
// configured one, or a greater one after more was received.
func (b *Budget) Rate() float64 { return b.rate }

// Snapshot returns the counts.
func (b *Budget) Snapshot() Snapshot { return b.counts }

// Received counts a caller's packet of the given length.
func (b *Budget) Received(now time.Time, p flow.Packet, bytes int) {
	b.counts.Received.add(bytes)
	if !b.Enabled() {
		return
	}
	b.measureRate(now, bytes+hop.DatagramOverhead)
	element, tracked := b.flows[p.CallerKey()]
	if !tracked || p.Opening() {
		b.background.add(now, rateHalfLife, float64(bytes+hop.DatagramOverhead))
		return
	}
	f := element.Value.(*trackedFlow)
	if now.Sub(f.openedAt) >= trackTime {
		b.background.add(now, rateHalfLife, float64(bytes+hop.DatagramOverhead))
		b.endFlow(now, f.key)
		return
	}
	b.advanceFlow(now, f, p, float64(bytes+hop.DatagramOverhead))
	if p.Has(flow.Close) || p.Has(flow.Reset) {
		b.endFlow(now, f.key)
	}
}

// Sent counts a sent datagram of the given length. repeated is set if the balancer
// has sent the same to any node before.
func (b *Budget) Sent(now time.Time, kind Kind, bytes int, repeated bool) {
	index := 0
	if repeated {
		index = 1
	}
	b.counts.Sent[kind][index].add(bytes)
	if !b.Enabled() {
		return
	}
	b.spend(now, float64(bytes+hop.DatagramOverhead))
	if repeated || kind == Offer || kind == Control {
		b.background.add(now, rateHalfLife, float64(bytes+hop.DatagramOverhead))
	}
}
