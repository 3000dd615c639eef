package panics

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
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
	var log bytes.Buffer
	logger, err := event.New(&log, "json")
	is.NoErr(err)
	panicked, err := Handle(logger, handleMalformed)
	is.True(panicked && errkind.Is(err, errkind.Internal))
	is.True(strings.Contains(log.String(), "handleMalformed"))
	plain := errors.New("plain")
	panicked, err = Handle(logger, func() error { return plain })
	is.True(!panicked && err == plain)
}
