package flowgate

import (
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

const (
	// serviceTimeMargin is the time that a request needs after it leaves the
	// queue. To meet its latency objective it must leave the queue earlier by this
	// margin.
	serviceTimeMargin = 80 * time.Millisecond
	// defaultObjective (for latency) and defaultTimeout apply to requests without
	// a route.
	defaultObjective = 300 * time.Millisecond
	defaultTimeout   = view.DefaultTimeout
	// urgentTimeoutShare is the share of its timeout after which a request leaves
	// the queue before all others.
	urgentTimeoutShare = 5.0 / 8
	// maxQueuedPerSlot is the maximum number of queued requests for each slot.
	// Beyond it the next request is delivered although all slots are taken: the
	// backend server queues it or refuses it itself, so that no request is refused
	// that the backend server could accept.
	maxQueuedPerSlot = 8
)

// queuedRequest is a request that waits for a slot of the backend server.
type queuedRequest struct {
	key         flow.Key
	entry       *entry
	before      entry // the flow before the request was queued
	packets     [][]byte
	queuedAt    time.Time
	inTimeUntil time.Time // last time to leave the queue and meet the latency objective
	urgentFrom  time.Time // time from which the request goes before all others
	deadline    time.Time // the caller gives up at this time
	priority    int
	offered     bool // balancers offer packets of the flow to other backend servers
}

// queue holds requests while all slots are taken. Requests that can still meet
// their latency objective go first, ordered by priority and then newest first:
// with the oldest first, each request of an overload would just miss its
// objective. So a backlog after an outage doesn't make every later request late
// as well. A request that has waited for urgentTimeoutShare of its timeout goes
// before all others, so that none is held until its caller has given up. A request
// whose packets are offered to other backend servers doesn't wait: its own must not be
// the only one that gets none. A request whose caller has closed its side of the flow
// goes last: the caller has most likely given up, but may still read the answer.
type queue struct {
	requests []*queuedRequest
}

func (q *queue) add(w *queuedRequest) { q.requests = append(q.requests, w) }

// next removes and returns the request that goes first. The queue must not be empty.
func (q *queue) next(now time.Time) *queuedRequest {
	best := 0
	for i, w := range q.requests {
		if w.precedes(q.requests[best], now) {
			best = i
		}
	}
	w := q.requests[best]
	q.requests = append(q.requests[:best], q.requests[best+1:]...)
	return w
}

// precedes reports whether w leaves the queue before other.
func (w *queuedRequest) precedes(other *queuedRequest, now time.Time) bool {
	class, otherClass := w.class(now), other.class(now)
	if class != otherClass {
		return class < otherClass
	}
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	if class == classInTime {
		return w.queuedAt.After(other.queuedAt)
	}
	return w.queuedAt.Before(other.queuedAt)
}

// The classes of queued requests, in the order in which they leave the queue.
const (
	classOffered = iota // doesn't wait for a slot
	classUrgent         // has waited for urgentTimeoutShare of its timeout
	classInTime         // can still meet its latency objective
	classLate           // has missed its latency objective
	classClosed         // its caller has closed its side of the flow
)

// class returns the class of a request at the given time.
func (w *queuedRequest) class(now time.Time) int {
	switch {
	case w.offered:
		return classOffered
	case w.entry.callerClosed:
		return classClosed
	case !now.Before(w.urgentFrom):
		return classUrgent
	case !now.After(w.inTimeUntil):
		return classInTime
	}
	return classLate
}

// hasOffered reports whether a request doesn't wait for a slot.
func (q *queue) hasOffered() bool {
	return slices.ContainsFunc(q.requests, func(w *queuedRequest) bool { return w.offered })
}

// remove drops the queued request of a flow.
func (q *queue) remove(f *entry) {
	for i, w := range q.requests {
		if w.entry == f {
			q.requests = append(q.requests[:i], q.requests[i+1:]...)
			return
		}
	}
}

// expire drops the requests whose callers have given up.
func (q *queue) expire(now time.Time) {
	kept := q.requests[:0]
	for _, w := range q.requests {
		if now.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		w.entry.queued = nil
	}
	clear(q.requests[len(kept):])
	q.requests = kept
}

// Delivery is a packet that leaves the queue for the backend server.
type Delivery struct {
	Key flow.Key
	Raw []byte
}

// holdForSlot keeps a caller's packet if it has to wait for a slot, and reports
// whether it does.
func (g *Gate) holdForSlot(now time.Time, f *entry, key flow.Key, p flow.Packet, raw []byte) bool {
	if f.queued != nil {
		if p.Length == 0 && !p.Has(flow.Close) {
			return false
		}
		if g.flows.isNewRequestData(f, p) || p.Has(flow.Close) {
			f.queued.packets = append(f.queued.packets, slices.Clone(raw))
			g.flows.recordCallerProgress(now, f, p)
		}
		return true
	}
	if p.Length == 0 || f.awaitsAnswer || !g.flows.isNewRequestData(f, p) || !g.allSlotsTaken() {
		return false
	}
	w := &queuedRequest{key: key, entry: f, before: *f, queuedAt: now, packets: [][]byte{slices.Clone(raw)}}
	objective, timeout := defaultObjective, defaultTimeout
	if r, ok := g.routes[key.Service]; ok {
		objective, timeout = r.Limits()
		w.priority = r.Priority
	}
	requested := f.requestedAt(now)
	w.inTimeUntil = requested.Add(objective - serviceTimeMargin)
	w.urgentFrom = requested.Add(time.Duration(urgentTimeoutShare * float64(timeout)))
	w.deadline = requested.Add(timeout)
	f.queued = w
	g.queue.add(w)
	g.flows.recordCallerProgress(now, f, p)
	return true
}

func (g *Gate) slots() int { return max(g.backend.report.Slots, 1) }

// allSlotsTaken reports whether no further request may be delivered. There may
// be one delivered request more than slots, so that no slot is idle while its next
// request is in transit.
func (g *Gate) allSlotsTaken() bool {
	return g.backend.report.Slots > 0 && g.flows.inProgress > g.slots()
}

// Release returns the packets of the requests that leave the queue now.
func (g *Gate) Release(now time.Time) []Delivery {
	if len(g.queue.requests) == 0 {
		return nil
	}
	g.queue.expire(now)
	var out []Delivery
	for len(g.queue.requests) > 0 && g.mayRelease() {
		beyondSlots := g.allSlotsTaken() && !g.queue.hasOffered()
		next, deliveries := g.releaseNext(now)
		next.beyondSlots = beyondSlots
		out = append(out, deliveries...)
	}
	return out
}

// ReleaseAll returns the packets of all queued requests, for an agent that stops: its
// callers' retransmissions would find no agent for a while.
func (g *Gate) ReleaseAll(now time.Time) []Delivery {
	var out []Delivery
	for len(g.queue.requests) > 0 {
		_, deliveries := g.releaseNext(now)
		out = append(out, deliveries...)
	}
	return out
}

// releaseNext removes the request that goes first from the queue and returns its flow and
// its packets.
func (g *Gate) releaseNext(now time.Time) (*entry, []Delivery) {
	w := g.queue.next(now)
	w.entry.queued = nil
	if !w.entry.backendHasAll() {
		g.flows.beginRequest(now, w.entry)
	}
	out := make([]Delivery, 0, len(w.packets))
	for _, raw := range w.packets {
		out = append(out, Delivery{Key: w.key, Raw: raw})
	}
	return w.entry, out
}

// mayRelease reports whether a request may leave the queue.
func (g *Gate) mayRelease() bool {
	return !g.allSlotsTaken() || len(g.queue.requests) > maxQueuedPerSlot*g.slots() || g.queue.hasOffered()
}

// QueuedRequests returns the number of requests that wait for a slot.
func (g *Gate) QueuedRequests() int { return len(g.queue.requests) }
