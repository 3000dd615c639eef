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

const limit = 1000

func record(id string) Record {
	return Record{ID: id, Role: RoleBalancer, Domain: "d", Region: "r", Incarnation: 1, Sequence: 1, State: StateServing}
}

// pull lets to take the changes of from since cursor.
func pull(from, to *Table, cursor Cursor, now time.Time) Cursor {
	changes, next := from.Changes(cursor, limit, now)
	to.Merge(changes, now)
	return next
}

// Guards against tables that disagree for good after lost, repeated and
// reordered exchanges, and against a cursor that skips a change.
func TestTablesConverge(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "tables")
		now := start
		tables, cursors := make([]*Table, n), map[[2]int]Cursor{}
		for i := range tables {
			tables[i] = NewTable(record(fmt.Sprint(i)), uint64(i+1), now)
		}
		exchange := func(from, to int, keep bool) {
			next := pull(tables[from], tables[to], cursors[[2]int{from, to}], now)
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
				tables[from].Changes(cursors[[2]int{from, to}], limit, now)
			case "again": // the answer arrives, the cursor is lost
				exchange(from, to, false)
			case "pull":
				exchange(from, to, true)
			case "suspect":
				tables[from].Pulled(fmt.Sprint(to), now.Add(-SuspectAfter))
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
		want := view(tables[0], now)
		for i := range tables {
			if got := view(tables[i], now); got != want {
				t.Fatalf("table %d holds %s, table 0 holds %s", i, got, want)
			}
			if tables[0].Suspected(fmt.Sprint(i)) {
				t.Fatalf("live member %d is still suspected", i)
			}
		}
	})
}

func view(t *Table, now time.Time) string {
	out := ""
	for _, m := range t.Snapshot(now).Members {
		out += fmt.Sprintf("%s:%d.%d.%d.%v ", m.ID, m.Incarnation, m.Sequence, m.Flows, t.Suspected(m.ID))
	}
	return out
}

// Guards against an older record that replaces a newer one, in any order of
// arrival.
func TestNewestRecordWins(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		table := NewTable(record("self"), 1, start)
		newest := Record{}
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			r := record("a")
			r.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			r.Sequence = rapid.Uint64Range(1, 5).Draw(t, "sequence")
			if r.Newer(newest) {
				newest = r
			}
			table.Merge([]Change{{Record: r}}, start)
			if got, _ := table.Lookup("a"); got != newest {
				t.Fatalf("holds %+v, newest is %+v", got, newest)
			}
		}
	})
}

// Guards against a process that is suspected without having pulled, is not
// suspected after 3 s of silence, or stays a member after 30 s more.
func TestSuspicionAndExclusion(t *testing.T) {
	is := is.New(t)
	table, now := NewTable(record("self"), 1, start), start
	table.Merge([]Change{{Record: record("puller")}, {Record: record("stranger")}}, now)
	table.Pulled("puller", now)
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			table.Tick(now)
		}
	}
	pass(SuspectAfter - 100*time.Millisecond)
	is.True(!table.Suspected("puller"))
	pass(100 * time.Millisecond)
	is.True(table.Suspected("puller"))
	is.True(!table.Suspected("stranger"))

	table.Heard("puller", now) // own evidence overrides, without ending the suspicion
	is.True(!table.Snapshot(now).Members[0].Suspect())
	is.True(table.Snapshot(now.Add(2 * EvidenceWindow)).Members[0].Suspect())
	pass(ExcludeAfter)
	is.Equal(len(table.Snapshot(now).Members), 2)
	table.Merge([]Change{{Record: record("puller")}}, now) // a table that has not noticed
	is.Equal(len(table.Snapshot(now).Members), 2)

	back := record("puller")
	back.Sequence++
	table.Merge([]Change{{Record: back}}, now)
	is.Equal(len(table.Snapshot(now).Members), 3)
}

// Guards against suspecting everybody after this process itself was paused.
func TestOwnPauseSuspectsNobody(t *testing.T) {
	is := is.New(t)
	table := NewTable(record("self"), 1, start)
	table.Merge([]Change{{Record: record("a")}}, start)
	table.Pulled("a", start)
	table.Tick(start.Add(time.Minute))
	is.True(!table.Suspected("a"))
}

// Guards against a stopped or expired process that comes back through a table
// that still holds its old record.
func TestRemovalDoesNotResurrect(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		a, b := NewTable(record("a"), 1, start), NewTable(record("b"), 2, start)
		for _, table := range []*Table{a, b} {
			table.Merge([]Change{{Record: record("x")}}, start)
		}
		if rapid.Bool().Draw(t, "on purpose") {
			gone := record("x")
			gone.Sequence, gone.State = 2, StateGone
			a.Merge([]Change{{Record: gone}}, start)
		}
		now, removed := start, false
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
			a.Tick(now)
			b.Tick(now)
			if rapid.Bool().Draw(t, "fresh host") { // it has no tombstone, and passes on what it learns
				fresh := NewTable(record("fresh"), 3, now)
				pull(b, fresh, Cursor{}, now)
				pull(fresh, a, Cursor{}, now)
			}
			pull(b, a, Cursor{}, now)
			present := contains(a.Snapshot(now), "x")
			if removed && present {
				t.Fatalf("x is back after %v", now.Sub(start))
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

// Guards against a cursor of an earlier table that hides records, and against
// sending again what the cursor's holder has.
func TestCursors(t *testing.T) {
	is := is.New(t)
	table := NewTable(record("self"), 2, start)
	table.Merge([]Change{{Record: record("a")}, {Record: record("b")}}, start)
	all, cursor := table.Changes(Cursor{Instance: 1, Position: 99}, limit, start)
	is.Equal(len(all), 3)
	none, _ := table.Changes(cursor, limit, start)
	is.Equal(len(none), 0)
	first, cursor := table.Changes(Cursor{}, 2, start)
	rest, _ := table.Changes(cursor, 2, start)
	is.Equal(len(first)+len(rest), 3)
}

// Guards against a restarted process whose clock went back and whose records
// everybody would ignore.
func TestPredecessorIsOutranked(t *testing.T) {
	is := is.New(t)
	table := NewTable(record("self"), 1, start)
	old := record("self")
	old.Incarnation = 7
	is.True(table.Merge([]Change{{Record: old}}, start))
	is.True(table.Self().Newer(old))
}
