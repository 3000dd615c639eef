package view

import (
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/blackboard"
)

// keptDeltas is the number of recent changes of each section that are kept for
// peers that are a little behind.
const keptDeltas = 64

// Board is the entry of the blackboard that holds the view of a process. It is
// safe for concurrent use.
type Board struct {
	entry  blackboard.Entry[View]
	source blackboard.Entry[string]

	mu        sync.Mutex
	recent    map[Section][]Delta
	confirmed map[Section]time.Time
}

// NewBoard returns a board that knows nothing.
func NewBoard() *Board {
	return &Board{recent: map[Section][]Delta{}, confirmed: map[Section]time.Time{}}
}

// View returns the current snapshot.
func (b *Board) View() View { return b.entry.Get() }

// Subscribe returns a channel that is notified of changes; see blackboard.
func (b *Board) Subscribe() (<-chan struct{}, func()) { return b.entry.Subscribe() }

// Apply takes a change over if it is newer than what is known, and reports
// whether it was.
func (b *Board) Apply(d Delta) bool {
	// The lock covers the entry too, so that the kept deltas have its order.
	b.mu.Lock()
	defer b.mu.Unlock()
	applied := b.entry.Update(func(v View) (View, bool) { return v.Apply(d) })
	if !applied {
		return false
	}
	if d.Full {
		b.recent[d.Section] = nil
		return true
	}
	kept := append(b.recent[d.Section], d)
	if len(kept) > keptDeltas {
		kept = append([]Delta(nil), kept[len(kept)-keptDeltas:]...)
	}
	b.recent[d.Section] = kept
	return true
}

// Since returns the deltas that lead from revision known of a section to the
// present, none if there is nothing newer.
func (b *Board) Since(s Section, known Revision) []Delta {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.entry.Get()
	if v.Revision(s) <= known {
		return nil
	}
	kept := b.recent[s]
	for i, d := range kept {
		if d.From <= known && known > 0 && d.To > known {
			return kept[i:]
		}
	}
	return []Delta{v.Full(s)}
}

// Confirm records that a section was known to be current at a moment.
func (b *Board) Confirm(s Section, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at.After(b.confirmed[s]) {
		b.confirmed[s] = at
	}
}

// SetSource names the process whose calls of the store keep the view current,
// "" if there is none. It reports whether that is a change.
func (b *Board) SetSource(process string) bool {
	return b.source.Update(func(old string) (string, bool) { return process, process != old })
}

// Source returns what SetSource has set.
func (b *Board) Source() string { return b.source.Get() }

// SubscribeSource returns a channel that is notified of changes of the source.
func (b *Board) SubscribeSource() (<-chan struct{}, func()) { return b.source.Subscribe() }

// AgeMS returns the milliseconds since all sections were known to be current,
// -1 if they never were.
func (b *Board) AgeMS() int64 {
	at := b.ConfirmedAt()
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// ConfirmedAt returns the moment at which all sections were last known to be
// current, the zero time if one never was.
func (b *Board) ConfirmedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var oldest time.Time
	for i, s := range Sections() {
		at := b.confirmed[s]
		if at.IsZero() {
			return time.Time{}
		}
		if i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}
