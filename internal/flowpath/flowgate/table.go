package flowgate

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

const (
	// openingTimeout is how long an opening may take. Callers give up earlier.
	openingTimeout = 3 * time.Second
	// endedMemory is how long an ended flow's late packets still reach the
	// backend server, which answers them.
	endedMemory = 5 * time.Second
	// lostMemory is how long a lost flow's packets are answered with resets.
	lostMemory = 10 * time.Second
	// idleMargin is added to the configuration's idle timeout.
	idleMargin = 5 * time.Second
)

// state is the state of a flow at its agent.
type state uint8

const (
	opening state = iota + 1 // the opening was delivered
	open
	ended // both sides closed, or one reset it
	lost  // the backend server held it and doesn't any more
)

// entry is one flow.
type entry struct {
	state        state
	opened, last time.Time
	tried        time.Time // when the caller sent its first opening, zero if not known
	answered     bool      // the backend server answered the opening
	backendSeq   uint32    // of that answer
	callerEnd    uint32    // end of the data that the caller sent
	callerAck    uint32    // the caller's last acknowledgement
	sent         bool      // callerEnd is valid
	serverEnd    uint32    // end of the data that the backend server sent
	replied      bool      // serverEnd is valid
	waiting      bool      // a delivered request has no start of an answer yet
	asked        time.Time // when the request was seen
	began        time.Time // when it was delivered
	overdue      bool      // that its answer takes too long was counted
	held         *waiting  // a request that waits for a slot
	callerClosed bool
	serverClosed bool
}

// table holds the flows of one agent.
type table struct {
	entries    map[flow.Key]*entry
	open       int // flows in state opening or open
	pending    int // flows in state opening: most ask for something next
	inProgress int // flows that wait for the start of an answer
}

func newTable() table { return table{entries: map[flow.Key]*entry{}} }

func (t *table) get(key flow.Key) *entry { return t.entries[key] }

func (t *table) add(key flow.Key, now time.Time, s state) *entry {
	t.remove(key)
	f := &entry{state: s, opened: now, last: now}
	t.entries[key] = f
	t.open++
	if s == opening {
		t.pending++
	}
	return f
}

func (t *table) remove(key flow.Key) {
	f := t.entries[key]
	if f == nil {
		return
	}
	t.close(f, ended)
	delete(t.entries, key)
}

// close takes a flow out of the counts.
func (t *table) close(f *entry, s state) {
	t.answer(f)
	if f.state == opening || f.state == open {
		t.open--
	}
	if f.state == opening {
		t.pending--
	}
	f.state = s
}

func (t *table) lose(f *entry) { t.close(f, lost) }

// answer records that the request of a flow, if any, is being answered.
func (t *table) answer(f *entry) {
	if f.waiting {
		f.waiting = false
		t.inProgress--
	}
}

// fromCaller follows a packet that is delivered to the backend server.
func (t *table) fromCaller(now time.Time, f *entry, p flow.Packet) {
	f.last = now
	f.callerAck = p.Ack
	if p.Has(flow.Reset) {
		t.close(f, ended)
		return
	}
	if f.state != opening && f.state != open {
		return
	}
	if t.isNew(f, p) {
		t.begin(now, f)
	}
	t.follow(now, f, p)
}

// isNew reports whether p carries data that the caller didn't send before.
func (t *table) isNew(f *entry, p flow.Packet) bool {
	end := p.Seq + uint32(p.Length)
	return p.Length > 0 && (!f.sent || int32(end-f.callerEnd) > 0)
}

// askedAt returns when a caller first wanted the answer to a request that
// arrives now: the first request of a flow has waited for its opening.
func (f *entry) askedAt(now time.Time) time.Time {
	if !f.sent && !f.tried.IsZero() {
		return f.tried
	}
	return now
}

// begin counts a request that is delivered.
func (t *table) begin(now time.Time, f *entry) {
	if f.waiting || (f.state != open && f.state != opening) {
		return
	}
	f.waiting, f.began, f.overdue = true, now, false
	t.inProgress++
}

// follow takes over how far the caller has come in its flow.
func (t *table) follow(now time.Time, f *entry, p flow.Packet) {
	f.last = now
	f.callerAck = p.Ack
	if f.state == opening {
		f.state = open
		t.pending--
	}
	if t.isNew(f, p) {
		f.callerEnd, f.sent = p.Seq+uint32(p.Length), true
	}
	f.callerClosed = f.callerClosed || p.Has(flow.Close)
	t.endIfClosed(f)
}

// fromBackend follows a packet that the backend server sent.
func (t *table) fromBackend(now time.Time, f *entry, p flow.Packet) {
	f.last = now
	if p.Has(flow.Open) {
		f.answered, f.backendSeq = true, p.Seq
		return
	}
	if p.Has(flow.Reset) {
		t.close(f, ended)
		return
	}
	if f.isNewReply(p) {
		f.serverEnd, f.replied = p.Seq+uint32(p.Length), true
		t.answer(f)
	}
	f.serverClosed = f.serverClosed || p.Has(flow.Close)
	t.endIfClosed(f)
}

// isNewReply reports whether p carries data that the backend server didn't send
// before. The end of an answer is repeated until the caller acknowledges it.
func (f *entry) isNewReply(p flow.Packet) bool {
	end := p.Seq + uint32(p.Length)
	return p.Length > 0 && (!f.replied || int32(end-f.serverEnd) > 0)
}

func (t *table) endIfClosed(f *entry) {
	if f.callerClosed && f.serverClosed && f.state == open {
		t.close(f, ended)
	}
}

// sweep forgets flows that are over or silent for longer than they may be, and
// requests that nobody waits for any more.
func (t *table) sweep(now time.Time, idle time.Duration) {
	for key, f := range t.entries {
		if f.waiting && now.Sub(f.began) > defaultTimeout {
			t.answer(f)
		}
		if now.Sub(f.last) > f.memory(idle) {
			t.remove(key)
		}
	}
}

func (f *entry) memory(idle time.Duration) time.Duration {
	switch f.state {
	case opening:
		return openingTimeout
	case ended:
		return endedMemory
	case lost:
		return lostMemory
	}
	return idle + idleMargin
}
