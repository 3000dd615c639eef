package errkind

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against two rows for one kind, which would make the answer depend on
// the order of the table, and against rows without a name.
func TestTableIsAFunction(t *testing.T) {
	is := is.New(t)
	kinds, names := map[Kind]bool{}, map[string]bool{}
	for _, row := range Table() {
		is.True(!kinds[row.Kind])
		is.True(!names[row.Name])
		is.True(row.Name != "" && row.Meaning != "")
		is.True(row.ExitCode != 0)
		kinds[row.Kind], names[row.Name] = true, true
	}
}

// Guards against a refusal that advises a retry although the request may have
// run: only a not-run answer may carry Retry-After towards callers.
func TestRetryAdviceOnlyWhenNotRun(t *testing.T) {
	is := is.New(t)
	for _, row := range Table() {
		if row.Outcome != "" && row.RetryAfter > 0 {
			is.Equal(row.Outcome, OutcomeNotRun)
		}
	}
}

// Guards against losing the kind when an error is wrapped on its way up.
func TestOfFindsKindInChain(t *testing.T) {
	is := is.New(t)
	base := New(BackendLost, "connection reset")
	is.Equal(Of(errors.Join(errors.New("context"), base)), BackendLost)
	is.Equal(Of(errors.New("plain")), Internal)
	is.Equal(ExitCode(nil), 0)
	is.Equal(Wrap(nil, Internal, "x"), nil)
}
