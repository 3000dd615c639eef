package view

import (
	"slices"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/blackboard"
	"github.com/knapweedpier/knapweedpier/internal/base/suspension"
)

// maxRecentDeltas bounds the number of recent deltas of each section that are kept
// for peers with a slightly older view.
const maxRecentDeltas = 64

// Board holds the current view of a process, its recent deltas, the path by which changes
// reach it and the times at which its sections were known to be current. Subscribers are
// notified of changes. It is safe for concurrent use.
//
// A confirmation says that the view that the board holds when it is recorded was
// current at a time, so changes are applied before they are confirmed. A reader that
// needs both takes them in one call.
type Board struct {
	view blackboard.Entry[View]
	path blackboard.Entry[[]string]

	mu           sync.Mutex
	recentDeltas map[Section][]Delta
	confirmedAt  map[Section]confirmation
	retention    retention
	suspended    func() time.Duration // suspension.Total, but in tests
}

// confirmation is a time at which a section was known to be current, with the total
// suspension of the machine when that was recorded.
type confirmation struct {
	at        time.Time
	suspended time.Duration
}

// NewBoard returns a board with an empty view.
func NewBoard() *Board {
	return &Board{
		recentDeltas: map[Section][]Delta{}, confirmedAt: map[Section]confirmation{}, suspended: suspension.Total,
		retention: retention{until: map[Section]time.Time{}},
	}
}

// View returns the current snapshot.
func (b *Board) View() View { return b.view.Get() }

// Subscribe returns a channel that is notified of changes of the view, and a function
// that ends the subscription; see package blackboard.
func (b *Board) Subscribe() (<-chan struct{}, func()) { return b.view.Subscribe() }

// Apply applies a delta to the view, and reports whether it did; see View.Apply.
func (b *Board) Apply(d Delta) bool {
	// The lock also covers the update of the view, so that the recent deltas are in
	// the order in which they were applied.
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.apply(d) {
		return false
	}
	if d.Section == MembersSection {
		b.settleOldEra()
	}
	return true
}

// apply is Apply for a caller that holds the lock.
func (b *Board) apply(d Delta) bool {
	d.followsGap = d.Full && time.Since(b.confirmation(d.Section)) > maxListingGap
	known := b.view.Get().Revision(d.Section)
	applied := b.view.Update(func(v View) (View, bool) { return v.Apply(d) })
	if !applied {
		return false
	}
	if d.To.Era() > known.Era() {
		b.beginEra(d.Section, known == 0)
	}
	if d.Full {
		b.recentDeltas[d.Section] = nil
		return true
	}
	recent := append(b.recentDeltas[d.Section], d)
	if len(recent) > maxRecentDeltas {
		recent = append([]Delta(nil), recent[len(recent)-maxRecentDeltas:]...)
	}
	b.recentDeltas[d.Section] = recent
	return true
}

// Confirmations are the times at which sections of a view were last known to be current,
// the zero time for one that never was.
type Confirmations struct {
	Configuration time.Time
	// Members is when the members were last known to be current and complete. It stays the same
	// while they may lack some, because the store was restored from a copy.
	Members time.Time
	// StoredMembers is when the members were last known to be those in the store.
	StoredMembers time.Time
}

// Snapshot returns the current view and its confirmations.
func (b *Board) Snapshot() (View, Confirmations) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Get(), Confirmations{
		Configuration: b.confirmation(ConfigurationSection), Members: b.completeAt(), StoredMembers: b.confirmation(MembersSection),
	}
}

// Changes holds the deltas after some revisions, and the times at which the view to
// which they lead was known to be current.
type Changes struct {
	Deltas             []Delta
	ConfirmedAt        time.Time // all sections, the zero time if one never was
	MembersConfirmedAt time.Time // the zero time if they never were
	// MembersIncomplete is set while the members may lack some, because the store was restored
	// from a copy.
	MembersIncomplete bool
	Eras              map[Section]int64 // of the sections of an era above 0
}

// ChangesSince returns the changes after the known revisions.
func (b *Board) ChangesSince(known map[Section]Revision) Changes {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := Changes{ConfirmedAt: b.oldestConfirmation(), MembersConfirmedAt: b.confirmation(MembersSection), MembersIncomplete: b.retention.incomplete}
	v := b.view.Get()
	for _, s := range Sections() {
		if era := v.Revision(s).Era(); era > 0 {
			if c.Eras == nil {
				c.Eras = map[Section]int64{}
			}
			c.Eras[s] = era
		}
		c.Deltas = append(c.Deltas, b.deltasSince(s, known[s])...)
	}
	return c
}

// deltasSince returns the deltas that lead from revision known of a section to the
// current one: none if known is current, and a full delta if no recent one applies to
// known. The caller holds the lock.
func (b *Board) deltasSince(s Section, known Revision) []Delta {
	v := b.view.Get()
	if v.Revision(s) <= known {
		return nil
	}
	recent := b.recentDeltas[s]
	for i, d := range recent {
		if d.appliesTo(known) {
			return recent[i:]
		}
	}
	return []Delta{v.FullDelta(s)}
}

// Confirm records that a section of the view was known to be current at the given
// time.
func (b *Board) Confirm(s Section, at time.Time) { b.ConfirmInEra(s, b.View().Revision(s).Era(), at) }

// ConfirmInEra records that a section was known to be current at the given time. era is that of
// the response, of the store or a peer, that shows so. It does nothing if the section is of
// another era.
func (b *Board) ConfirmInEra(s Section, era int64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirm(s, era, at)
}

// confirm is ConfirmInEra for a caller that holds the lock.
func (b *Board) confirm(s Section, era int64, at time.Time) {
	if b.view.Get().Revision(s).Era() != era {
		return
	}
	b.retention.extend(s, at.Sub(b.confirmation(s)))
	if until, ok := b.retention.until[s]; ok && !time.Now().Before(until) {
		b.settle(s)
	}
	if at.After(b.confirmation(s)) {
		b.confirmedAt[s] = confirmation{at, b.suspended()}
	}
}

// confirmation returns when a section was last known to be current, earlier by the time
// for which the machine was suspended since, because the steady clock lacks it; the zero
// time if it never was. The caller holds the lock.
func (b *Board) confirmation(s Section) time.Time {
	return b.effectiveTime(b.confirmedAt[s])
}

// effectiveTime returns the time of a confirmation, corrected for suspensions as by
// Board.confirmation.
func (b *Board) effectiveTime(c confirmation) time.Time {
	if c.at.IsZero() {
		return time.Time{}
	}
	return c.at.Add(c.suspended - b.suspended())
}

// SetPath sets the names of the processes through which changes of the store reach this
// one: first the one that calls the store, last this one. The path is empty if no process
// that the store serves is known. SetPath reports whether that changed.
func (b *Board) SetPath(path ...string) bool {
	return b.path.Update(func(old []string) ([]string, bool) { return path, !slices.Equal(path, old) })
}

// Path returns the names of the processes through which changes reach this one; see
// SetPath.
func (b *Board) Path() []string { return b.path.Get() }

// Source returns the process whose calls of the store keep the view current, "" for
// none.
func (b *Board) Source() string {
	path := b.Path()
	if len(path) == 0 {
		return ""
	}
	return path[0]
}

// SubscribePath returns a channel that is notified of changes of the path, and a function
// that ends the subscription.
func (b *Board) SubscribePath() (<-chan struct{}, func()) { return b.path.Subscribe() }

// AgeMS returns the milliseconds since all sections were last known to be current,
// -1 if one never was.
func (b *Board) AgeMS() int64 {
	at := b.ConfirmedAt()
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// SectionConfirmedAt returns the time at which a section was last known to be current, the
// zero time if it never was.
func (b *Board) SectionConfirmedAt(s Section) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirmation(s)
}

// ConfirmedAt returns the time at which all sections were last known to be current,
// the zero time if one never was.
func (b *Board) ConfirmedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.oldestConfirmation()
}

// oldestConfirmation is ConfirmedAt for a caller that holds the lock.
func (b *Board) oldestConfirmation() time.Time {
	var oldest time.Time
	for i, s := range Sections() {
		at := b.confirmation(s)
		if at.IsZero() {
			return time.Time{}
		}
		if i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}
