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

// handleMalformed reads beyond the end of a message.
func handleMalformed(message []byte) error {
	if message[len(message)] == 0 {
		return nil
	}
	return errors.New("not empty")
}

// Guards against a panic that ends the process, and against one whose place in the code
// can't be found afterwards.
func TestPanicBecomesError(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	logger, err := event.New(&log, "json")
	is.NoErr(err)
	panicked, err := Handle(logger, func() error { return handleMalformed([]byte("x")) })
	is.True(panicked && errkind.Is(err, errkind.Internal))
	is.True(strings.Contains(log.String(), "handleMalformed"))
	plain := errors.New("plain")
	panicked, err = Handle(logger, func() error { return plain })
	is.True(!panicked && err == plain)
}
