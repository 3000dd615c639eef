package retry

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

// Guards against retries that multiply the load of a failing service: whatever
// the order of requests and retries, at most one retry per ten requests is
// allowed.
func TestAttemptsStayWithinTenPercent(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		var b Budget
		requests, retries := 0, 0
		for range rapid.IntRange(0, 2000).Draw(rt, "events") {
			if rapid.Bool().Draw(rt, "request") {
				b.RecordRequest()
				requests++
			} else if b.TryRetry() {
				retries++
			}
			if retries*10 > requests {
				rt.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}
