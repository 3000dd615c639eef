package membership

import (
	"container/list"
	"time"
)

// Time limits of suspicion, exclusion and expiry.
const (
	SuspectAfter   = 3 * time.Second  // silence after which a process that pulled from this one is suspected
	ExcludeAfter   = 30 * time.Second // duration of a suspicion after which the member is excluded
	EvidenceWindow = time.Second      // how long this process's own evidence of life overrides a suspicion
	Lease          = 25 * time.Minute // allows for two missed announcements and a margin
	// TombstoneRetention is how long the record of a removed member is kept. It
	// exceeds Lease: another table may hold the record as live that long, and
	// merging it would restore a member whose tombstone was deleted.
	TombstoneRetention = time.Hour
	// maxTickGap is the time between two calls of Tick above which this process
	// is taken to have been paused. Silence during the pause is no evidence
	// that others have failed.
	maxTickGap = time.Second
)

// Table holds the newest known record of each process and a log of changes.
// It is not safe for concurrent use.
type Table struct {
	self     string
	instance uint64
	position uint64
	entries  map[string]*entry
	log      *list.List // of *entry, ordered by position; each entry occurs once
	lastTick time.Time
}

type entry struct {
	record       Record
	position     uint64
	logElement   *list.Element
	suspectSince time.Time // zero: not suspected
	lastHeard    time.Time // when this process last had evidence of life, zero: never
	lastPull     time.Time // when the member last pulled from this process, zero: it does not
	renewedAt    time.Time // last evidence of life at any process
	removedAt    time.Time // when it was found gone, excluded or expired; zero: member
}

// NewTable returns a table that holds only self. Instance identifies its change
// log, must differ from that of any earlier table of this process and must not be
// 0.
func NewTable(self Record, instance uint64, now time.Time) *Table {
	t := &Table{
		self:     self.ID,
		instance: instance,
		entries:  map[string]*entry{},
		log:      list.New(),
		lastTick: now,
	}
	t.insert(self, now)
	return t
}

// Self returns this process's own record.
func (t *Table) Self() Record { return t.entries[t.self].record }

// SetSelf changes this process's record and raises its sequence. The ID cannot be
// changed.
func (t *Table) SetSelf(change func(*Record), now time.Time) Record {
	e := t.entries[t.self]
	next := e.record
	change(&next)
	next.ID = t.self
	if next.Incarnation <= e.record.Incarnation {
		next.Incarnation = e.record.Incarnation
		next.Sequence = e.record.Sequence + 1
	}
	t.replace(e, next, now, now)
	return next
}

// Merge applies changes from another table and reports whether any of them
// changed this one. A suspicion of this process itself is refuted.
func (t *Table) Merge(changes []Change, now time.Time) bool {
	before := t.position
	for _, c := range changes {
		t.merge(c, now)
	}
	return t.position != before
}

func (t *Table) merge(c Change, now time.Time) {
	if c.Record.ID == t.self {
		t.refute(c, now)
		return
	}
	e, ok := t.entries[c.Record.ID]
	renewed := now.Add(-max(c.Age, 0))
	switch {
	case !ok && now.Sub(renewed) > Lease:
		return
	case !ok:
		e = t.insert(c.Record, renewed)
	case c.Record.Newer(e.record):
		t.replace(e, c.Record, renewed, now)
	case e.record.Newer(c.Record):
		return
	}
	if renewed.After(e.renewedAt) {
		e.renewedAt = renewed
	}
	if c.Suspected && e.suspectSince.IsZero() {
		t.markSuspected(e, now.Add(-max(c.SuspectedFor, 0)))
	}
	t.markRemovedIfDue(e, now)
}

// refute answers a suspicion of this process by raising its sequence. A newer
// record with this process's ID comes from a predecessor whose clock was ahead; the
// incarnation is then raised above it.
func (t *Table) refute(c Change, now time.Time) {
	own := t.Self()
	if c.Record.Newer(own) {
		t.SetSelf(func(r *Record) { r.Incarnation = c.Record.Incarnation + 1 }, now)
		return
	}
	if c.Suspected && !own.Newer(c.Record) {
		t.SetSelf(func(*Record) {}, now)
	}
}

func (t *Table) insert(r Record, renewed time.Time) *entry {
	e := &entry{record: r, renewedAt: renewed}
	t.entries[r.ID] = e
	t.moveToLogEnd(e)
	return e
}

func (t *Table) replace(e *entry, r Record, renewed, now time.Time) {
	e.record = r
	e.renewedAt = renewed
	e.suspectSince = time.Time{}
	e.removedAt = time.Time{}
	t.moveToLogEnd(e)
	t.markRemovedIfDue(e, now)
}

// moveToLogEnd gives e the next position and moves it to the end of the change log.
func (t *Table) moveToLogEnd(e *entry) {
	t.position++
	e.position = t.position
	if e.logElement != nil {
		t.log.Remove(e.logElement)
	}
	e.logElement = t.log.PushBack(e)
}

func (t *Table) markSuspected(e *entry, since time.Time) {
	e.suspectSince = since
	t.moveToLogEnd(e)
}

// markRemovedIfDue marks e as removed if it is gone, has been suspected for
// ExcludeAfter or has outlived its lease.
func (t *Table) markRemovedIfDue(e *entry, now time.Time) {
	if !e.removedAt.IsZero() || e.record.ID == t.self {
		return
	}
	excluded := !e.suspectSince.IsZero() && now.Sub(e.suspectSince) >= ExcludeAfter
	expired := now.Sub(e.renewedAt) > Lease
	if e.record.State == StateGone || excluded || expired {
		e.removedAt = now
	}
}

// RecordContact notes that this process has evidence, at now, that another is alive.
func (t *Table) RecordContact(id string, now time.Time) {
	if e, ok := t.entries[id]; ok {
		e.lastHeard = now
	}
}

// RecordPull notes that a process pulls from this one. From then on it is
// suspected if it is silent for SuspectAfter.
func (t *Table) RecordPull(id string, now time.Time) {
	if e, ok := t.entries[id]; ok {
		e.lastPull, e.lastHeard = now, now
	}
}

// RecordPullEnd notes that a process no longer pulls from this one, so that its
// silence is not a sign of failure.
func (t *Table) RecordPullEnd(id string) {
	if e, ok := t.entries[id]; ok {
		e.lastPull = time.Time{}
	}
}

// Tick applies the time limits. It reports whether the members or their suspicion
// changed. It must be called several times a second, since longer gaps count as
// pauses of this process.
func (t *Table) Tick(now time.Time) bool {
	paused := now.Sub(t.lastTick) > maxTickGap
	t.lastTick = now
	changed := false
	for _, e := range t.entries {
		if paused && !e.lastPull.IsZero() {
			e.lastPull = now
		}
		changed = t.tickEntry(e, now) || changed
	}
	return changed
}

// tickEntry applies the time limits to e and reports whether it changed. An
// expired tombstone is deleted.
func (t *Table) tickEntry(e *entry, now time.Time) bool {
	if !e.removedAt.IsZero() && now.Sub(e.removedAt) > TombstoneRetention {
		t.log.Remove(e.logElement)
		delete(t.entries, e.record.ID)
		return false
	}
	oldPosition, oldRemovedAt := e.position, e.removedAt
	if !e.lastPull.IsZero() && now.Sub(e.lastPull) >= SuspectAfter {
		e.lastPull = time.Time{}
		if e.suspectSince.IsZero() && e.removedAt.IsZero() {
			t.markSuspected(e, now)
		}
	}
	t.markRemovedIfDue(e, now)
	return e.position != oldPosition || e.removedAt != oldRemovedAt
}

// Cursor returns the end of the change log.
func (t *Table) Cursor() Cursor { return Cursor{t.instance, t.position} }

// Changes returns the records that changed after the cursor since, oldest change
// first and at most limit of them, and the cursor to continue from. A cursor of
// another table starts from the first record.
func (t *Table) Changes(since Cursor, limit int, now time.Time) ([]Change, Cursor) {
	after := since.Position
	if since.Instance != t.instance {
		after = 0
	}
	first := t.log.Back()
	for first != nil && first.Value.(*entry).position > after {
		first = first.Prev()
	}
	if first == nil {
		first = t.log.Front()
	} else {
		first = first.Next()
	}
	var changes []Change
	for el := first; el != nil && len(changes) < limit; el = el.Next() {
		e := el.Value.(*entry)
		changes = append(changes, t.changeOf(e, now))
		after = e.position
	}
	return changes, Cursor{t.instance, after}
}

func (t *Table) changeOf(e *entry, now time.Time) Change {
	c := Change{Record: e.record, Suspected: !e.suspectSince.IsZero()}
	if c.Suspected {
		c.SuspectedFor = max(now.Sub(e.suspectSince), 0)
	}
	if e.record.ID != t.self {
		c.Age = max(now.Sub(e.renewedAt).Truncate(time.Second), 0)
	}
	return c
}
