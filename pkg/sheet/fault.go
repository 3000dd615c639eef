package sheet

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Fault is an error at one place of a sheet.
type Fault struct {
	Line     int    // line of the text, from 1
	Column   int    // number of the cell in the line, from 1
	Name     string // name of the column, empty if the header has none
	Reason   string
	Expected string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	name := ""
	if f.Name != "" {
		name = " (" + f.Name + ")"
	}
	return fmt.Sprintf("line %d, column %d%s: %s; expected %s", f.Line, f.Column, name, f.Reason, f.Expected)
}

// Faults holds all faults of a sheet, in the order of the text.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// sortedError sorts the faults by line and column and returns them as an error
// of kind SheetInvalid.
func (f Faults) sortedError() error {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
	return errkind.Wrap(f, errkind.SheetInvalid, fmt.Sprintf("%d faults", len(f)))
}

// FaultsOf returns the faults that err wraps, or nil.
func FaultsOf(err error) Faults {
	var f Faults
	errors.As(err, &f)
	return f
}
