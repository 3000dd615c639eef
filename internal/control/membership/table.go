package membership

import (
	"container/list"
	"sort"
	"time"
)

// Times of suspicion, exclusion and expiry.
const (
	SuspectAfter   = 3 * time.Second  // silence of a process that pulled from this one
	ExcludeAfter   = 30 * time.Second // of suspicion
	EvidenceWindow = time.Second      // own evidence of life overrides a suspicion for this long
	Lease          = 25 * time.Minute // two missed announcements and a margin
	// TombstoneAfter exceeds Lease: until then another table may still hold
	// the record as live, and would bring it back if it had been forgotten.
	TombstoneAfter = time.Hour
	// pauseGap between two calls of Tick means that this process did not run.
	// Silence during the gap is no evidence against others.
	pauseGap = time.Second
)

// Table holds the newest known record of each process and a log of changes.
// It is not safe for concurrent use.
type Table struct {
	self     string
	instance uint64
	position uint64
	entries  map[string]*entry
	log      *list.List // of *entry, by position; each entry occurs once
	ticked   time.Time
}

type entry struct {
	record       Record
	position     uint64
	element      *list.Element
	suspectSince time.Time // zero: not suspected
	heard        time.Time // own evidence
	pulled       time.Time // last pull by this process, zero: it does not pull from here
	renewed      time.Time // last evidence of life anywhere
	closed       time.Time // when it became gone, excluded or expired; zero: live
}

// NewTable returns a table that holds only self. Instance distinguishes its
// change log from that of any earlier table of this process and must not be 0.
func NewTable(self Record, instance uint64, now time.Time) *Table {
	t := &Table{
		self:     self.ID,
		instance: instance,
		entries:  map[string]*entry{},
		log:      list.New(),
		ticked:   now,
	}
	t.insert(self, now)
	return t
}

// Self returns this process's own record.
func (t *Table) Self() Record { return t.entries[t.self].record }

// SetSelf changes the own record and raises its sequence. The ID cannot be
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

// Merge takes changes from another table and reports whether any of them was
// news. A change that contradicts the own record is refuted.
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
	if renewed.After(e.renewed) {
		e.renewed = renewed
	}
	if c.Suspected && e.suspectSince.IsZero() {
		t.suspect(e, now.Add(-max(c.SuspectedFor, 0)))
	}
	t.close(e, now)
}

// refute answers a suspicion of this process by raising its sequence. A newer
// record of the own ID is left over from a predecessor whose clock was ahead;
// the incarnation is raised above it.
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
	e := &entry{record: r, renewed: renewed}
	t.entries[r.ID] = e
	t.touch(e)
	return e
}

func (t *Table) replace(e *entry, r Record, renewed, now time.Time) {
	e.record = r
	e.renewed = renewed
	e.suspectSince = time.Time{}
	e.closed = time.Time{}
	t.touch(e)
	t.close(e, now)
}

// touch moves e to the end of the change log.
func (t *Table) touch(e *entry) {
	t.position++
	e.position = t.position
	if e.element != nil {
		t.log.Remove(e.element)
	}
	e.element = t.log.PushBack(e)
}

func (t *Table) suspect(e *entry, since time.Time) {
	e.suspectSince = since
	t.touch(e)
}

// close ends e if it is gone, has been suspect for too long or has expired.
func (t *Table) close(e *entry, now time.Time) {
	if !e.closed.IsZero() || e.record.ID == t.self {
		return
	}
	excluded := !e.suspectSince.IsZero() && now.Sub(e.suspectSince) >= ExcludeAfter
	expired := now.Sub(e.renewed) > Lease
	if e.record.State == StateGone || excluded || expired {
		e.closed = now
	}
}

// Heard notes own evidence, at now, that a process is alive.
func (t *Table) Heard(id string, now time.Time) {
	if e, ok := t.entries[id]; ok {
		e.heard = now
	}
}

// Pulled notes that a process pulls from this one. From then on its silence
// makes it suspect.
func (t *Table) Pulled(id string, now time.Time) {
	if e, ok := t.entries[id]; ok {
		e.pulled, e.heard = now, now
	}
}

// Released notes that a process no longer pulls from this one.
func (t *Table) Released(id string) {
	if e, ok := t.entries[id]; ok {
		e.pulled = time.Time{}
	}
}

// Tick applies the passing of time. It reports whether the members or what is
// believed of them changed. It is to be called several times a second.
func (t *Table) Tick(now time.Time) bool {
	paused := now.Sub(t.ticked) > pauseGap
	t.ticked = now
	changed := false
	for _, e := range t.entries {
		if paused && !e.pulled.IsZero() {
			e.pulled = now
		}
		changed = t.age(e, now) || changed
	}
	return changed
}

func (t *Table) age(e *entry, now time.Time) bool {
	if !e.closed.IsZero() && now.Sub(e.closed) > TombstoneAfter {
		t.log.Remove(e.element)
		delete(t.entries, e.record.ID)
		return false
	}
	before, wasClosed := e.position, e.closed
	if !e.pulled.IsZero() && now.Sub(e.pulled) >= SuspectAfter {
		e.pulled = time.Time{}
		if e.suspectSince.IsZero() && e.closed.IsZero() {
			t.suspect(e, now)
		}
	}
	t.close(e, now)
	return e.position != before || e.closed != wasClosed
}

// Suspected reports whether the process is suspected here, so that it can be
// told.
func (t *Table) Suspected(id string) bool {
	e, ok := t.entries[id]
	return ok && !e.suspectSince.IsZero()
}

// Lookup returns the newest known record of a process, also of one that is
// gone.
func (t *Table) Lookup(id string) (Record, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// Cursor returns the end of the change log.
func (t *Table) Cursor() Cursor { return Cursor{t.instance, t.position} }

// Changes returns the records that changed after since, oldest change first
// and at most limit of them, and the cursor to continue from. A cursor of
// another table gives the full state.
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
		changes = append(changes, t.change(e, now))
		after = e.position
	}
	return changes, Cursor{t.instance, after}
}

func (t *Table) change(e *entry, now time.Time) Change {
	c := Change{Record: e.record, Suspected: !e.suspectSince.IsZero()}
	if c.Suspected {
		c.SuspectedFor = max(now.Sub(e.suspectSince), 0)
	}
	if e.record.ID != t.self {
		c.Age = max(now.Sub(e.renewed).Truncate(time.Second), 0)
	}
	return c
}

// Snapshot returns the members that are neither gone nor excluded, ordered by
// ID, including this process.
func (t *Table) Snapshot(now time.Time) Snapshot {
	members := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		if m, ok := e.member(now); ok {
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return Snapshot{Members: members}
}

func (e *entry) member(now time.Time) (Member, bool) {
	m := Member{Record: e.record, SuspectSince: e.suspectSince, Heard: e.heard}
	alive := !e.heard.IsZero() && now.Sub(e.heard) <= EvidenceWindow
	if alive {
		m.SuspectSince = time.Time{}
	}
	excluded := !e.closed.IsZero() && !alive
	return m, e.record.State != StateGone && !excluded
}

// Domains returns the failure domains of region that have a process that did
// not stop on purpose, sorted, including those whose processes are excluded.
func (t *Table) Domains(region string) []string {
	seen := map[string]bool{}
	for _, e := range t.entries {
		if e.record.Region == region && e.record.State != StateGone {
			seen[e.record.Domain] = true
		}
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Others counts the other processes of a failure domain that did not stop on
// purpose, including those that are excluded.
func (t *Table) Others(domain string) int {
	n := 0
	for id, e := range t.entries {
		if id != t.self && e.record.Domain == domain && e.record.State != StateGone {
			n++
		}
	}
	return n
}

// Excluded returns the records of members that were excluded because of
// silence and may have been cut off rather than have failed, ordered by ID.
func (t *Table) Excluded() []Record {
	var records []Record
	for _, e := range t.entries {
		if !e.closed.IsZero() && e.record.State != StateGone {
			records = append(records, e.record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].ID < records[j].ID })
	return records
}

// AnySuspect reports whether any member that is not excluded is suspected.
func (t *Table) AnySuspect() bool {
	for _, e := range t.entries {
		if !e.suspectSince.IsZero() && e.closed.IsZero() {
			return true
		}
	}
	return false
}

// Len returns the number of records held, including those of members that are
// gone.
func (t *Table) Len() int { return len(t.entries) }
