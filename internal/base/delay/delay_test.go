package delay

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against a timer that is already due when it is created: inside a bubble of synctest,
// several goroutines that do so at once crash the race detector. A pause that has passed must
// not hide that the context has ended.
func TestSleepWithoutAPauseReturnsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		is.True(Sleep(ctx, 0))
		is.True(Sleep(ctx, -1))
		cancel()
		for range 100 { // without the check, one of two ready cases is chosen at random
			is.True(!Sleep(ctx, 0))
		}
	})
}
