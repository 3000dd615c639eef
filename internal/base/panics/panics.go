// Package panics confines a panic to the message or call whose handling caused it.
//
// The caller must know what the handler may have left half changed, and must replace it
// before the next message is handled; docs/platform.md says where that is done.
package panics

import (
	"fmt"
	"runtime/debug"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

// Handle calls handle and returns its error. If handle panics, Handle logs the panic
// with its stack as event HandlerPanicked and returns panicked as true with an error of
// kind Internal.
func Handle(logger *event.Logger, handle func() error) (panicked bool, err error) {
	defer func() {
		if value := recover(); value != nil {
			panicked, err = true, errkind.New(errkind.Internal, fmt.Sprintf("panic: %v", value))
			logger.EmitError(event.HandlerPanicked, err, event.Fields{"stack": string(debug.Stack())})
		}
	}()
	return false, handle()
}
