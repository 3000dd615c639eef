package gate

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// discardWriter is a response writer that drops the body.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

// BenchmarkGate measures one request through the gate to a stand-in backend
// server with a work time of 1 ns. BenchmarkDirect is the same without the gate.
func BenchmarkGate(b *testing.B) {
	f := newFleet(b, 1, PolicyAdaptive, backend.Options{WorkMean: time.Nanosecond})
	r := httptest.NewRequest("GET", "/catalogue?caller=a&n=1", nil)
	b.ReportAllocs()
	for b.Loop() {
		f.members[0].ServeHTTP(discardWriter{http.Header{}}, r)
	}
}

// BenchmarkDirect is the baseline of BenchmarkGate.
func BenchmarkDirect(b *testing.B) {
	f := newFleet(b, 1, PolicyAdaptive, backend.Options{WorkMean: time.Nanosecond})
	addr := f.members[0].opts.BackendAddress.String()
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext}
	b.Cleanup(transport.CloseIdleConnections)
	b.ReportAllocs()
	for b.Loop() {
		r, _ := http.NewRequest("GET", "http://"+addr+"/catalogue?caller=a&n=1", nil)
		resp, err := transport.RoundTrip(r)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// BenchmarkRequest measures one request through the gate to a backend server
// on loopback, with at most as many in progress as there are slots.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b, 1, PolicyAdaptive, backend.Options{Slots: 64, ColdSlots: 64, WorkMean: time.Nanosecond})
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
