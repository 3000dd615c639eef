package clockoffset

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a peer with a wrong clock that makes a correct local clock
// appear wrong, against an offset with the wrong sign and against samples that
// never expire.
func TestMedian(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for _, tc := range []struct {
		peerOffsets []time.Duration // peers' clocks minus the local clock
		want        time.Duration
		off         bool
	}{
		{nil, 0, false},
		{[]time.Duration{time.Hour, time.Millisecond, 0}, -time.Millisecond, false},
		{[]time.Duration{-2 * time.Second, -2 * time.Second, 0}, 2 * time.Second, true},
		{[]time.Duration{2 * time.Second, 4 * time.Second}, -3 * time.Second, true},
		{[]time.Duration{time.Second}, -time.Second, false},
	} {
		is := is.New(t)
		var e Estimator
		for i, d := range tc.peerOffsets {
			e.AddSample(fmt.Sprint(i), now.Add(d), now)
		}
		is.Equal(e.Offset(now), tc.want)
		is.Equal(ExceedsLimit(e.Offset(now)), tc.off)
		is.Equal(e.Offset(now.Add(2*maxSampleAge)), time.Duration(0)) // samples expire
	}
}
