package clockoffset

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against one peer with a wrong clock that makes everybody else appear
// wrong, and against a wrong sign.
func TestMedian(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for _, tc := range []struct {
		theirs []time.Duration // peers' clocks against the local one
		want   time.Duration
		off    bool
	}{
		{nil, 0, false},
		{[]time.Duration{time.Hour, time.Millisecond, 0}, -time.Millisecond, false},
		{[]time.Duration{-2 * time.Second, -2 * time.Second, 0}, 2 * time.Second, true},
		{[]time.Duration{2 * time.Second, 4 * time.Second}, -3 * time.Second, true},
		{[]time.Duration{time.Second}, -time.Second, false},
	} {
		is := is.New(t)
		var e Estimator
		for i, d := range tc.theirs {
			e.Sample(fmt.Sprint(i), now.Add(d), now)
		}
		is.Equal(e.Offset(now), tc.want)
		is.Equal(Off(e.Offset(now)), tc.off)
		is.Equal(e.Offset(now.Add(2*maxAge)), time.Duration(0)) // samples expire
	}
}
