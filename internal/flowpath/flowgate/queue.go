package flowgate

import (
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

const (
	// workMargin is the time that a request needs after it leaves the queue, by
	// which its wait must end to meet its latency objective.
	workMargin = 80 * time.Millisecond
	// defaultObjective and defaultTimeout apply to requests without a route.
	defaultObjective = 300 * time.Millisecond
	defaultTimeout   = 5 * time.Second
	// urgentShare is the part of its timeout after which a request goes first.
	urgentShare = 5.0 / 8
	// waitPerSlot bounds the requests that wait for each slot. Beyond it the
	// first in turn is delivered although all slots are taken: the backend
	// server queues it or refuses it truthfully.
	waitPerSlot = 8
)

// waiting is a request that waits for a slot of the backend server.
type waiting struct {
	key      flow.Key
	entry    *entry
	packets  [][]byte
	since    time.Time
	inTime   time.Time // the request can meet its objective until then
	urgent   time.Time // from then on the request goes first
	deadline time.Time // nobody waits for an answer after it
	priority int
}

// queue holds requests while all slots are taken. Requests that can still meet
// their objective go first, by priority, and of one priority the newest: with
// the oldest first, each request of an overload would just miss its objective.
// So a backlog after an outage doesn't make every later request late as well.
// A request that has waited for urgentShare of its timeout goes before all
// others, so that none is held until nobody waits for it.
type queue struct {
	list []*waiting
}

func (q *queue) add(w *waiting) { q.list = append(q.list, w) }

// next takes the request out that goes first, nil if there is none.
func (q *queue) next(now time.Time) *waiting {
	best := -1
	for i, w := range q.list {
		if best < 0 || w.before(q.list[best], now) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	w := q.list[best]
	q.list = append(q.list[:best], q.list[best+1:]...)
	return w
}

// before reports whether w goes before other.
func (w *waiting) before(other *waiting, now time.Time) bool {
	turn, otherTurn := w.turn(now), other.turn(now)
	if turn != otherTurn {
		return turn < otherTurn
	}
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	if turn == inTime {
		return w.since.After(other.since)
	}
	return w.since.Before(other.since)
}

// The classes in which requests leave the queue.
const (
	urgent = iota // waited for urgentShare of the timeout
	inTime        // can still meet the objective
	late
)

// turn returns the class of a request, by what waiting further costs it.
func (w *waiting) turn(now time.Time) int {
	switch {
	case !now.Before(w.urgent):
		return urgent
	case !now.After(w.inTime):
		return inTime
	}
	return late
}

// remove drops the request of a flow that is over.
func (q *queue) remove(f *entry) {
	for i, w := range q.list {
		if w.entry == f {
			q.list = append(q.list[:i], q.list[i+1:]...)
			return
		}
	}
}

// expire drops the requests whose callers have given up.
func (q *queue) expire(now time.Time) {
	kept := q.list[:0]
	for _, w := range q.list {
		if now.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		w.entry.held = nil
	}
	clear(q.list[len(kept):])
	q.list = kept
}

// Delivery is a packet that leaves the queue for the backend server.
type Delivery struct {
	Key flow.Key
	Raw []byte
}

// hold reports whether a caller's packet waits for a slot, and keeps it if so.
func (g *Gate) hold(now time.Time, f *entry, key flow.Key, p flow.Packet, raw []byte) bool {
	if f.held != nil {
		if p.Length == 0 && !p.Has(flow.Close) {
			return false
		}
		if g.flows.isNew(f, p) || p.Has(flow.Close) {
			f.held.packets = append(f.held.packets, slices.Clone(raw))
			g.flows.follow(now, f, p)
		}
		return true
	}
	if p.Length == 0 || f.waiting || !g.flows.isNew(f, p) || !g.full() {
		return false
	}
	w := &waiting{key: key, entry: f, since: now, packets: [][]byte{slices.Clone(raw)}}
	objective, timeout := defaultObjective, defaultTimeout
	if r, ok := g.routes[key.Service]; ok {
		objective, timeout, w.priority = r.Objective, r.Timeout, r.Priority
	}
	asked := f.askedAt(now)
	w.inTime = asked.Add(objective - workMargin)
	w.urgent = asked.Add(time.Duration(urgentShare * float64(timeout)))
	w.deadline = asked.Add(timeout)
	f.held = w
	g.waiting.add(w)
	g.flows.follow(now, f, p)
	return true
}

func (g *Gate) slots() int { return max(g.backend.report.Slots, 1) }

// full reports whether all slots are taken. One more request is delivered, so
// that a slot isn't idle while its next request is on the way.
func (g *Gate) full() bool {
	return g.backend.report.Slots > 0 && g.flows.inProgress > g.slots()
}

// Release returns the packets of the requests that leave the queue now.
func (g *Gate) Release(now time.Time) []Delivery {
	if len(g.waiting.list) == 0 {
		return nil
	}
	g.waiting.expire(now)
	var out []Delivery
	for !g.full() || len(g.waiting.list) > waitPerSlot*g.slots() {
		w := g.waiting.next(now)
		if w == nil {
			break
		}
		w.entry.held = nil
		g.flows.begin(now, w.entry)
		for _, raw := range w.packets {
			out = append(out, Delivery{Key: w.key, Raw: raw})
		}
	}
	return out
}

// Waiting returns the number of requests that wait for a slot.
func (g *Gate) Waiting() int { return len(g.waiting.list) }
