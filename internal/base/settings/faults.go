package settings

import (
	"fmt"
	"strings"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Fault is a refused setting and the reason.
type Fault struct {
	Flag   string // name of the flag without the leading hyphens
	Reason string
}

// String names the flag, its environment variable and the reason.
func (f Fault) String() string {
	return fmt.Sprintf("--%s (%s): %s", f.Flag, envVariable(f.Flag), f.Reason)
}

// Faults is the error of a check: all refused settings in the order of the
// checks. A SettingInvalid error wraps it.
type Faults []Fault

// Error implements error.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

func (faults *Faults) add(flag, format string, args ...any) {
	*faults = append(*faults, Fault{flag, fmt.Sprintf(format, args...)})
}

// asError returns a SettingInvalid error that wraps faults, or nil if there are
// none.
func (faults Faults) asError() error {
	if len(faults) == 0 {
		return nil
	}
	return errkind.Wrap(faults, errkind.SettingInvalid, "check settings")
}

// envVariable returns the name of a flag's environment variable.
func envVariable(flag string) string {
	return "KNAPWEEDPIER_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
