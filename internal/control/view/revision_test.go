package view

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against revisions of two eras or two positions that are ordered wrongly, that can't
// be split again, or that differ from the store's number without eras.
func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, position := rapid.Int64Range(0, MaxEra).Draw(t, "era"), rapid.Int64Range(0, MaxPosition).Draw(t, "position")
		r := NewRevision(era, position)
		if r.Era() != era || r.Position() != position || r < 0 || era == 0 && int64(r) != position {
			t.Fatalf("%d is split into %d and %d", r, r.Era(), r.Position())
		}
		if era > 0 && (r >= r.settled() || r.settled().Position() != position || r.settled().Era() != era) {
			t.Fatalf("%d is settled at %d", r, r.settled())
		}
		if position < MaxPosition && (NewRevision(era, position+1) <= r || era > 0 && NewRevision(era, position+1) <= r.settled()) {
			t.Fatalf("%d is not before the next position", r)
		}
		if era < MaxEra && NewRevision(era+1, 0) <= r {
			t.Fatalf("%d is not before the next era", r)
		}
	})
}
