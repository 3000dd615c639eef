package ticket

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// BenchmarkTable measures time and memory by the number of requests that the
// table records, for docs/CAPACITY.md. Each has a stored answer of 256 bytes.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint("requests=", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				start := time.Now()
				t := filledTable(n)
				elapsed := time.Since(start)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(t)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/request")
				b.ReportMetric(float64(elapsed.Nanoseconds())/float64(n), "ns/request")
			}
		})
	}
}

func filledTable(n int) *Table {
	t, now := NewTable(DefaultCapacity), time.Now()
	for i := range n {
		tk := Ticket{Serial: uint64(i), IssuedAt: now}
		t.Lookup(tk, now)
		t.Complete(tk, Answer{Status: http.StatusOK, Body: make([]byte, 256)})
	}
	return t
}
