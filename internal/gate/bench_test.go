package gate

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// BenchmarkRequest measures one request through the gate to a backend server
// on loopback, with as many in progress as there are slots at most.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b, 1, Adaptive, backend.Options{Slots: 64, ColdSlots: 64, WorkMean: time.Nanosecond})
	f.service.Limits.Slots, f.service.Limits.ColdSlots = 64, 64
	m := f.members[0]
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			w := httptest.NewRecorder()
			m.ServeHTTP(w, httptest.NewRequest("GET", "/catalogue", nil))
		}
	})
}
