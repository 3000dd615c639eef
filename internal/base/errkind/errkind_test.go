package errkind

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against two rows for one kind or one name, where a lookup would depend
// on the order of the table, and against rows without a name, a meaning or an
// exit code.
func TestKindsAndNamesAreUnique(t *testing.T) {
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
// been executed: only a not-run response may carry Retry-After.
func TestRetryAdviceOnlyWhenNotRun(t *testing.T) {
	is := is.New(t)
	for _, row := range Table() {
		if row.Outcome != "" && row.RetryAfter > 0 {
			is.Equal(row.Outcome, OutcomeNotRun)
		}
	}
}

// Guards against losing the kind of an error that callers wrap or join.
func TestOfFindsKindInChain(t *testing.T) {
	is := is.New(t)
	lost := New(BackendLost, "connection reset")
	is.Equal(Of(errors.Join(errors.New("context"), lost)), BackendLost)
	is.Equal(Of(errors.New("plain")), Internal)
	is.Equal(ExitCode(nil), 0)
	is.Equal(Wrap(nil, Internal, "x"), nil)
}
