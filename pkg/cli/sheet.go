package cli

import (
	"os"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
)

// SheetCmd groups the commands for the morning sheet.
type SheetCmd struct {
	Check SheetCheckCmd `cmd:"" help:"Report every fault of a sheet."`
	Diff  SheetDiffCmd  `cmd:"" help:"Show what a sheet would change."`
	Apply SheetApplyCmd `cmd:"" help:"Make a sheet the accepted configuration."`
}

// readSheet reads and parses a sheet. If it has faults, it prints them and
// returns a SheetInvalid error.
func (e *Env) readSheet(file string) (*sheet.Sheet, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.SettingInvalid, "sheet")
	}
	s, err := sheet.Parse(text)
	if err == nil {
		return s, nil
	}
	faults := sheet.FaultsOf(err)
	for _, fault := range faults {
		e.Printf("%s\n", fault)
	}
	return nil, errkind.Errorf(errkind.SheetInvalid, "%s: %d faults", file, len(faults))
}
