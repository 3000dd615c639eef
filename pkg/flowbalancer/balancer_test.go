package flowbalancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/platform"
)

// Guards against a stopping balancer that ends while the fabric still sends it
// packets, and against one that outlasts its grace period.
func TestStopsWhenCallersPacketsCease(t *testing.T) {
	is := is.New(t)
	b := New(platform.Settings{Grace: 6 * time.Second}, nil, event.Discard())
	began := time.Unix(1_790_000_000, 0)
	after := func(d time.Duration) time.Time { return began.Add(d) }
	b.lastPacket = after(-time.Minute)
	is.True(!b.drained(began, after(time.Second))) // the fabric hasn't noticed yet
	is.True(b.drained(began, after(1200*time.Millisecond)))
	b.lastPacket = after(1800 * time.Millisecond)
	is.True(!b.drained(began, after(2*time.Second))) // still in use
	is.True(b.drained(began, after(2200*time.Millisecond)))
	b.lastPacket = after(5 * time.Second)
	is.True(b.drained(began, after(5*time.Second)))
}
