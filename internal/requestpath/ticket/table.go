package ticket

import (
	"net/http"
	"time"
)

// MaxAnswerBytes is the largest answer body that is stored for replay.
const MaxAnswerBytes = 64 << 10

// DefaultCapacity is the number of requests that a table records: those of one
// ticket lifetime at 500 ticketed requests a second.
const DefaultCapacity = 300_000

// maxStoredBytes limits the total size of the stored answers. Above it the
// oldest answers are dropped; the record that their requests ran stays.
const maxStoredBytes = 32 << 20

// answerOverheadBytes is the estimated size of a stored answer without its
// body.
const answerOverheadBytes = 512

// Answer is a stored answer to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Action tells the caller of Lookup how to handle a ticketed request.
type Action uint8

// The actions.
const (
	Run           Action = iota + 1 // run the request: this is the first attempt
	Wait                            // another attempt is in progress
	Replay                          // send the stored answer
	AnswerDropped                   // an attempt has ended, but its answer is not stored
	Expired                         // the ticket's lifetime has passed
	TableFull                       // the table is full of requests that may not be removed yet
)

// Table records the ticketed requests of one incarnation of an agent. It is
// not safe for concurrent use.
type Table struct {
	capacity    int
	lastSerial  uint64
	entries     map[uint64]*entry
	byStart     []*entry // in order of their first attempt
	withAnswer  []*entry // with a stored answer, oldest first
	storedBytes int      // total size of the stored answers
}

type entry struct {
	serial    uint64
	startedAt time.Time
	done      chan struct{} // closed when the attempt has ended
	answer    *Answer       // nil while in progress, or if not stored
}

// NewTable returns an empty table that records up to capacity requests.
func NewTable(capacity int) *Table {
	return &Table{capacity: capacity, entries: map[uint64]*entry{}}
}

// NextSerial returns the serial of a new ticket.
func (t *Table) NextSerial() uint64 {
	t.lastSerial++
	return t.lastSerial
}

// Lookup decides what happens with an attempt. After Run, the caller must call
// Complete. With Wait, the channel is closed when the attempt in progress has
// ended; the caller then calls Lookup again.
func (t *Table) Lookup(tk Ticket, now time.Time) (Action, Answer, <-chan struct{}) {
	if tk.Expired(now) {
		return Expired, Answer{}, nil
	}
	e, ok := t.entries[tk.Serial]
	if !ok {
		return t.start(tk, now), Answer{}, nil
	}
	if !e.isDone() {
		return Wait, Answer{}, e.done
	}
	if e.answer == nil {
		return AnswerDropped, Answer{}, nil
	}
	return Replay, *e.answer, nil
}

func (t *Table) start(tk Ticket, now time.Time) Action {
	t.removeExpired(now)
	if len(t.byStart) >= t.capacity {
		return TableFull
	}
	e := &entry{serial: tk.Serial, startedAt: now, done: make(chan struct{})}
	t.entries[tk.Serial] = e
	t.byStart = append(t.byStart, e)
	return Run
}

// removeExpired removes the oldest ended requests whose tickets have expired.
// No other entry is removed, since its ticket could then run again.
func (t *Table) removeExpired(now time.Time) {
	for len(t.byStart) > 0 {
		e := t.byStart[0]
		if now.Sub(e.startedAt) < Lifetime || !e.isDone() {
			return
		}
		delete(t.entries, e.serial)
		t.byStart = t.byStart[1:]
	}
}

func (e *entry) isDone() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Complete ends the attempt and stores its answer for retries, unless the body
// is larger than MaxAnswerBytes; a retry is then told that the outcome is
// unknown. A not-run answer is final too: an earlier attempt that was delayed in
// the network must not run after the caller was told that it did not.
func (t *Table) Complete(tk Ticket, a Answer) {
	e, ok := t.entries[tk.Serial]
	if !ok || e.isDone() {
		return
	}
	if len(a.Body) <= MaxAnswerBytes {
		t.storeAnswer(e, a)
	}
	close(e.done)
}

func (t *Table) storeAnswer(e *entry, a Answer) {
	e.answer = &a
	t.withAnswer = append(t.withAnswer, e)
	t.storedBytes += len(a.Body) + answerOverheadBytes
	for t.storedBytes > maxStoredBytes {
		oldest := t.withAnswer[0]
		t.withAnswer = t.withAnswer[1:]
		t.storedBytes -= len(oldest.answer.Body) + answerOverheadBytes
		oldest.answer = nil
	}
}
