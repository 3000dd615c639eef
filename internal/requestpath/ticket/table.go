package ticket

import (
	"net/http"
	"time"
)

// MaxAnswer is the largest answer body that is kept for a retry, in bytes.
const MaxAnswer = 64 << 10

// DefaultCapacity is the number of requests a table remembers: those of one
// ticket lifetime at 500 ticketed requests a second.
const DefaultCapacity = 300_000

// maxKept bounds the kept answers, in bytes. Beyond it the oldest answers are
// dropped; that their requests ran is still remembered.
const maxKept = 32 << 20

// answerOverhead is added to the size of a kept answer's body for its header.
const answerOverhead = 512

// Answer is the kept answer to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Action is what to do with a ticketed request.
type Action uint8

// The actions.
const (
	Begin   Action = iota + 1 // run it: this is the first attempt
	Wait                      // another attempt is in progress
	Replay                    // answer with the kept answer
	Forgot                    // it ran, but its answer was not kept
	Expired                   // the ticket is too old to be known
	Busy                      // the table is full of requests that may not be forgotten
)

// Table remembers the ticketed requests of one incarnation of an agent. It is
// not safe for concurrent use.
type Table struct {
	capacity int
	next     uint64
	entries  map[uint64]*entry
	begun    []*entry // in order of their beginning
	kept     []*entry // with an answer, oldest first
	keptSize int      // bytes
}

type entry struct {
	serial  uint64
	beganAt time.Time
	done    chan struct{} // closed when the request has ended
	answer  *Answer       // nil while in progress, or if not kept
}

// NewTable returns an empty table that remembers up to capacity requests.
func NewTable(capacity int) *Table {
	return &Table{capacity: capacity, entries: map[uint64]*entry{}}
}

// NextSerial returns the serial of a new ticket.
func (t *Table) NextSerial() uint64 {
	t.next++
	return t.next
}

// Lookup decides about an attempt. With Begin, the caller must call Complete.
// With Wait, the channel is closed when the attempt in progress
// has ended; the caller then asks again.
func (t *Table) Lookup(k Ticket, now time.Time) (Action, Answer, <-chan struct{}) {
	if k.Expired(now) {
		return Expired, Answer{}, nil
	}
	e, ok := t.entries[k.Serial]
	if !ok {
		return t.begin(k, now), Answer{}, nil
	}
	if !e.ended() {
		return Wait, Answer{}, e.done
	}
	if e.answer == nil {
		return Forgot, Answer{}, nil
	}
	return Replay, *e.answer, nil
}

func (t *Table) begin(k Ticket, now time.Time) Action {
	t.forgetExpired(now)
	if len(t.begun) >= t.capacity {
		return Busy
	}
	e := &entry{serial: k.Serial, beganAt: now, done: make(chan struct{})}
	t.entries[k.Serial] = e
	t.begun = append(t.begun, e)
	return Begin
}

// forgetExpired drops the oldest ended requests whose tickets cannot be used
// any more. No other entry is dropped: its ticket could then run again.
func (t *Table) forgetExpired(now time.Time) {
	for len(t.begun) > 0 {
		e := t.begun[0]
		if now.Sub(e.beganAt) < Lifetime || !e.ended() {
			return
		}
		delete(t.entries, e.serial)
		t.begun = t.begun[1:]
	}
}

func (e *entry) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Complete ends the attempt and keeps its answer for retries, unless the body
// is larger than MaxAnswer; a retry then learns that the outcome is unknown.
// An answer that says not-run is final too: an earlier attempt that was delayed
// on its way must not run after its caller was told that it did not.
func (t *Table) Complete(k Ticket, a Answer) {
	e, ok := t.entries[k.Serial]
	if !ok || e.ended() {
		return
	}
	if len(a.Body) <= MaxAnswer {
		t.keep(e, a)
	}
	close(e.done)
}

func (t *Table) keep(e *entry, a Answer) {
	e.answer = &a
	t.kept = append(t.kept, e)
	t.keptSize += len(a.Body) + answerOverhead
	for t.keptSize > maxKept {
		oldest := t.kept[0]
		t.kept = t.kept[1:]
		t.keptSize -= len(oldest.answer.Body) + answerOverhead
		oldest.answer = nil
	}
}
