package flowsteer

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	// offerBudget is the maximum number of agents that offer packets of a flow to their
	// backend servers within hop.OfferWindow, while an agent that hasn't answered may hold it.
	// That one may be away or busy. A flow counts as misdirected when other backend
	// servers get three of its packets within 2 s and its own gets none.
	offerBudget = 2
	// maxOfferRecords is the maximum number of flows whose offers are remembered. Others
	// are not offered before all agents have answered.
	maxOfferRecords = maxLookups
)

// offerRecord is how many agents were asked to offer packets of a flow since a time.
type offerRecord struct {
	since time.Time
	count int
}

// offerLimiter limits by flow how many agents offer its packets to their backend servers.
type offerLimiter struct {
	records map[flow.Key]offerRecord
}

func newOfferLimiter() offerLimiter { return offerLimiter{records: map[flow.Key]offerRecord{}} }

// left returns how many more agents may offer a packet of a flow now.
func (o *offerLimiter) left(now time.Time, key flow.Key) int {
	r, ok := o.records[key]
	switch {
	case !ok && len(o.records) >= maxOfferRecords:
		return 0
	case !ok || now.Sub(r.since) > hop.OfferWindow:
		return offerBudget
	}
	return max(offerBudget-r.count, 0)
}

// record records that agents were asked to offer a packet of a flow. The window begins anew
// with each, so that no two overlap.
func (o *offerLimiter) record(now time.Time, key flow.Key, count int) {
	r, ok := o.records[key]
	if !ok && len(o.records) >= maxOfferRecords {
		return
	}
	if now.Sub(r.since) > hop.OfferWindow {
		r.count = 0
	}
	o.records[key] = offerRecord{since: now, count: r.count + count}
}

// expire forgets the flows whose window has ended.
func (o *offerLimiter) expire(now time.Time) {
	for key, r := range o.records {
		if now.Sub(r.since) > hop.OfferWindow {
			delete(o.records, key)
		}
	}
}
