package steering

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkOpenings measures time and memory per opening, by the number of
// openings that are remembered. docs/CAPACITY.md quotes the results.
func BenchmarkOpenings(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, maxOpenings} {
		b.Run(fmt.Sprint("openings=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			o, now := NewOpenings(), time.Now()
			for i := range n {
				o.RecordAttempt(now, uint64(i)*0x9e3779b97f4a7c15)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for i := 0; b.Loop(); i++ {
				o.RecordAttempt(now, uint64(i%n)*0x9e3779b97f4a7c15)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/opening")
		})
	}
}
