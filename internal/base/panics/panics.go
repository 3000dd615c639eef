// Package panics confines a panic to the message or call whose handling caused it.
//
// A caller of Catch must know what the handler may have left half changed, and must
// replace it before the next message is handled; docs/platform.md says where that is done.
package panics

import (
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Error is a panic that Catch has stopped.
type Error struct {
	Value any    // what panic was called with
	Stack string // of the goroutine, at the panic
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Catch calls f and returns its error. If f panics, it returns an error of kind
// Internal that wraps an *Error.
func Catch(f func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = errkind.Wrap(&Error{Value: value, Stack: string(debug.Stack())}, errkind.Internal, "handler")
		}
	}()
	return f()
}

// Stack returns the stack of the panic that err wraps, and false if err is not from a
// panic.
func Stack(err error) (stack string, ok bool) {
	caught, ok := errors.AsType[*Error](err)
	if !ok {
		return "", false
	}
	return caught.Stack, true
}
