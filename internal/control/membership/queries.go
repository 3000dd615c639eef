package membership

import (
	"sort"
	"time"
)

// IsSuspected reports whether the process is suspected in this table.
func (t *Table) IsSuspected(id string) bool {
	e, ok := t.entries[id]
	return ok && !e.suspectSince.IsZero()
}

// Lookup returns the newest known record of a process, including one that is
// gone, excluded or expired.
func (t *Table) Lookup(id string) (Record, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Record{}, false
	}
	return e.record, true
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
	m := Member{Record: e.record, SuspectSince: e.suspectSince, Heard: e.lastHeard}
	alive := !e.lastHeard.IsZero() && now.Sub(e.lastHeard) <= EvidenceWindow
	if alive {
		m.SuspectSince = time.Time{}
	}
	excluded := !e.removedAt.IsZero() && !alive
	return m, e.record.State != StateGone && !excluded
}

// Domains returns, sorted, the failure domains of region that have a process that
// is not gone. Excluded and expired processes count, too.
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

// CountOthers returns the number of other processes of a failure domain that are
// not gone. Excluded and expired processes count, too.
func (t *Table) CountOthers(domain string) int {
	n := 0
	for id, e := range t.entries {
		if id != t.self && e.record.Domain == domain && e.record.State != StateGone {
			n++
		}
	}
	return n
}

// ExcludedRecords returns, ordered by ID, the records of members that were
// excluded or have expired. They may have been cut off rather than have failed.
func (t *Table) ExcludedRecords() []Record {
	var records []Record
	for _, e := range t.entries {
		if !e.removedAt.IsZero() && e.record.State != StateGone {
			records = append(records, e.record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].ID < records[j].ID })
	return records
}

// HasSuspects reports whether any member that has not been removed is suspected.
func (t *Table) HasSuspects() bool {
	for _, e := range t.entries {
		if !e.suspectSince.IsZero() && e.removedAt.IsZero() {
			return true
		}
	}
	return false
}

// Len returns the number of records held, including those of removed members.
func (t *Table) Len() int { return len(t.entries) }
