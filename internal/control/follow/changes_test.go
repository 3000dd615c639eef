package follow

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// Guards against a member that stays in the view after it was written and deleted
// between two watches.
func TestLastChangeOfAMemberCounts(t *testing.T) {
	member := view.Member{Name: "agent-1"}
	written, deleted := Change{Name: member.Name, Member: &member}, Change{Name: member.Name, Deleted: true}
	for _, c := range []struct {
		name    string
		changes []Change
		present bool
	}{
		{"written and deleted", []Change{written, deleted}, false},
		{"deleted and written", []Change{deleted, written}, true},
		{"written, deleted and written", []Change{written, deleted, written}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			board := view.NewBoard()
			board.Apply(view.Delta{Section: view.MembersSection, To: 1, Full: true})
			f := New(Options{Board: board, Logger: event.Discard()})
			f.applyChanges(view.MembersSection, c.changes, 2)
			_, present := board.View().Members.ByName[member.Name]
			is.Equal(present, c.present)
		})
	}
}
