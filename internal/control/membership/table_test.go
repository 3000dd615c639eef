package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const changesLimit = 1000

func newRecord(id string) Record {
	return Record{ID: id, Role: RoleBalancer, Domain: "d", Region: "r", Incarnation: 1, Sequence: 1, State: StateServing}
}

// pullChanges merges the changes of from since cursor into to.
func pullChanges(from, to *Table, cursor Cursor, now time.Time) Cursor {
	changes, next := from.Changes(cursor, changesLimit, now)
	to.Merge(changes, now)
	return next
}

// Guards against tables that stay different after lost, repeated and reordered
// exchanges, and against a cursor that skips a change.
func TestTablesConverge(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "tables")
		now := start
		tables, cursors := make([]*Table, n), map[[2]int]Cursor{}
		for i := range tables {
			tables[i] = NewTable(newRecord(fmt.Sprint(i)), uint64(i+1), now)
		}
		exchange := func(from, to int, keep bool) {
			next := pullChanges(tables[from], tables[to], cursors[[2]int{from, to}], now)
			if keep {
				cursors[[2]int{from, to}] = next
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			from, to := rapid.IntRange(0, n-1).Draw(t, "from"), rapid.IntRange(0, n-1).Draw(t, "to")
			now = now.Add(10 * time.Millisecond)
			switch rapid.SampledFrom([]string{"change", "lost", "again", "pull", "suspect"}).Draw(t, "step") {
			case "change":
				tables[from].SetSelf(func(r *Record) { r.Flows++ }, now)
			case "lost": // the answer never arrives
				tables[from].Changes(cursors[[2]int{from, to}], changesLimit, now)
			case "again": // the answer arrives, the cursor is lost
				exchange(from, to, false)
			case "pull":
				exchange(from, to, true)
			case "suspect":
				tables[from].RecordPull(fmt.Sprint(to), now.Add(-SuspectAfter))
				tables[from].Tick(now)
			}
		}
		for range 2 * n {
			for from := range n {
				for to := range n {
					exchange(from, to, true)
				}
			}
		}
		want := describeMembers(tables[0], now)
		for i := range tables {
			if got := describeMembers(tables[i], now); got != want {
				t.Fatalf("table %d holds %s, table 0 holds %s", i, got, want)
			}
			if tables[0].IsSuspected(fmt.Sprint(i)) {
				t.Fatalf("live member %d is still suspected", i)
			}
		}
	})
}

func describeMembers(t *Table, now time.Time) string {
	out := ""
	for _, m := range t.Snapshot(now).Members {
		out += fmt.Sprintf("%s:%d.%d.%d.%v ", m.ID, m.Incarnation, m.Sequence, m.Flows, t.IsSuspected(m.ID))
	}
	return out
}

// Guards against an older record that replaces a newer one, whatever their order
// of arrival.
func TestNewestRecordWins(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		table := NewTable(newRecord("self"), 1, start)
		newest := Record{}
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			r := newRecord("a")
			r.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			r.Sequence = rapid.Uint64Range(1, 5).Draw(t, "sequence")
			if r.Newer(newest) {
				newest = r
			}
			table.Merge([]Change{{Record: r}}, start)
			if got, _ := table.Lookup("a"); got != newest {
				t.Fatalf("table holds %+v, want the newest record %+v", got, newest)
			}
		}
	})
}

// Guards against a process that is suspected although it never pulled, is not
// suspected after 3 s of silence, or is still a member after another 30 s.
func TestSuspicionAndExclusion(t *testing.T) {
	is := is.New(t)
	table, now := NewTable(newRecord("self"), 1, start), start
	table.Merge([]Change{{Record: newRecord("puller")}, {Record: newRecord("stranger")}}, now)
	table.RecordPull("puller", now)
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			table.Tick(now)
		}
	}
	pass(SuspectAfter - 100*time.Millisecond)
	is.True(!table.IsSuspected("puller"))
	pass(100 * time.Millisecond)
	is.True(table.IsSuspected("puller"))
	is.True(!table.IsSuspected("stranger"))

	table.RecordContact("puller", now) // own evidence overrides the suspicion without ending it
	is.True(!table.Snapshot(now).Members[0].IsSuspected())
	is.True(table.Snapshot(now.Add(2 * EvidenceWindow)).Members[0].IsSuspected())
	pass(ExcludeAfter)
	is.Equal(len(table.Snapshot(now).Members), 2)
	table.Merge([]Change{{Record: newRecord("puller")}}, now) // from a table that has not excluded it
	is.Equal(len(table.Snapshot(now).Members), 2)

	back := newRecord("puller")
	back.Sequence++
	table.Merge([]Change{{Record: back}}, now)
	is.Equal(len(table.Snapshot(now).Members), 3)
}

// Guards against suspecting all others after this process was paused: it heard
// nothing from them meanwhile.
func TestOwnPauseCausesNoSuspicion(t *testing.T) {
	is := is.New(t)
	table := NewTable(newRecord("self"), 1, start)
	table.Merge([]Change{{Record: newRecord("a")}}, start)
	table.RecordPull("a", start)
	table.Tick(start.Add(time.Minute))
	is.True(!table.IsSuspected("a"))
}

// Guards against a stopped or expired process that becomes a member again when a
// table is merged that still holds its old record.
func TestRemovedMembersStayRemoved(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		a, b := NewTable(newRecord("a"), 1, start), NewTable(newRecord("b"), 2, start)
		for _, table := range []*Table{a, b} {
			table.Merge([]Change{{Record: newRecord("x")}}, start)
		}
		if rapid.Bool().Draw(t, "on purpose") {
			gone := newRecord("x")
			gone.Sequence, gone.State = 2, StateGone
			a.Merge([]Change{{Record: gone}}, start)
		}
		now, removed := start, false
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
			a.Tick(now)
			b.Tick(now)
			if rapid.Bool().Draw(t, "fresh host") { // it has no tombstone, and passes on what it learns
				fresh := NewTable(newRecord("fresh"), 3, now)
				pullChanges(b, fresh, Cursor{}, now)
				pullChanges(fresh, a, Cursor{}, now)
			}
			pullChanges(b, a, Cursor{}, now)
			present := contains(a.Snapshot(now), "x")
			if removed && present {
				t.Fatalf("removed member x is a member again after %v", now.Sub(start))
			}
			removed = removed || !present
			if now.Sub(start) > Lease+time.Second && present {
				t.Fatalf("x has not expired after %v", now.Sub(start))
			}
		}
	})
}

func contains(s Snapshot, id string) bool {
	for _, m := range s.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// Guards against records hidden by a cursor of an earlier table, and against
// sending changes again that precede the cursor.
func TestCursors(t *testing.T) {
	is := is.New(t)
	table := NewTable(newRecord("self"), 2, start)
	table.Merge([]Change{{Record: newRecord("a")}, {Record: newRecord("b")}}, start)
	all, cursor := table.Changes(Cursor{Instance: 1, Position: 99}, changesLimit, start)
	is.Equal(len(all), 3)
	none, _ := table.Changes(cursor, changesLimit, start)
	is.Equal(len(none), 0)
	first, cursor := table.Changes(Cursor{}, 2, start)
	rest, _ := table.Changes(cursor, 2, start)
	is.Equal(len(first)+len(rest), 3)
}

// Guards against a process that restarts after its clock went back, and whose
// records all others would ignore as older than its predecessor's.
func TestIncarnationExceedsPredecessor(t *testing.T) {
	is := is.New(t)
	table := NewTable(newRecord("self"), 1, start)
	old := newRecord("self")
	old.Incarnation = 7
	is.True(table.Merge([]Change{{Record: old}}, start))
	is.True(table.Self().Newer(old))
}
