package panics

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

func handleMalformed() error {
	var table map[string]int
	table["x"]++
	return nil
}

// Guards against a panic that ends the process, and against one whose place in the code
// can't be found afterwards.
func TestPanicBecomesError(t *testing.T) {
	is := is.New(t)
	err := Catch(handleMalformed)
	is.True(errkind.Is(err, errkind.Internal))
	stack, ok := Stack(err)
	is.True(ok && strings.Contains(stack, "handleMalformed"))
	plain := errors.New("plain")
	is.Equal(Catch(func() error { return plain }), plain)
	_, ok = Stack(plain)
	is.True(!ok)
}
