package flowbalancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/platform"
)

// Guards against a stopping balancer that ends while the fabric still sends it
// packets, and against one that runs longer than its grace period.
func TestDrainEndsWhenCallerPacketsStop(t *testing.T) {
	is := is.New(t)
	b := New(platform.Settings{GracePeriod: 6 * time.Second}, nil, event.Discard())
	began := time.Unix(1_790_000_000, 0)
	after := func(d time.Duration) time.Time { return began.Add(d) }
	b.lastCallerPacket = after(-time.Minute)
	is.True(!b.isDrained(began, after(time.Second))) // minDrainTime has not passed: the fabric may not have noticed
	is.True(b.isDrained(began, after(1200*time.Millisecond)))
	b.lastCallerPacket = after(1800 * time.Millisecond)
	is.True(!b.isDrained(began, after(2*time.Second))) // a packet came within quietPeriod
	is.True(b.isDrained(began, after(2200*time.Millisecond)))
	b.lastCallerPacket = after(5 * time.Second)
	is.True(b.isDrained(began, after(5*time.Second)))
}
