package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/control/peertls"
)

// benchPeer returns a dialer and the address of a server that responds to pulls
// without changes and to relayed requests with an empty response.
func benchPeer(b *testing.B) (*Dialer, netip.AddrPort) {
	ring, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	if err != nil {
		b.Fatal(err)
	}
	identity := peertls.New(func() *keyring.Ring { return ring }, time.Now)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := NewServer(ServerOptions{
		Identity: identity, Logger: event.Discard(), Registry: metrics.NewRegistry(),
		Pull:  func(context.Context, PullRequest) (PullResponse, error) { return PullResponse{ID: "server"}, nil },
		Relay: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
	})
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return &Dialer{Identity: identity, Registry: metrics.NewRegistry()}, netip.MustParseAddrPort(l.Addr().String())
}

// liveMemoryBytes returns the bytes of live heap objects and of stacks.
func liveMemoryBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // one collection clears a sync.Pool only partly
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkConnections measures the memory of open idle connections, the sum of
// both ends, for docs/CAPACITY.md.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{50, 150, 500} {
		b.Run(fmt.Sprint("pulls=", n), func(b *testing.B) {
			d, addr := benchPeer(b)
			measureConnections(b, n, func() (func(), error) {
				c := NewClient(d, addr)
				_, err := c.Pull(b.Context(), PullRequest{ID: "client"})
				return c.Close, err
			})
		})
		b.Run(fmt.Sprint("relays=", n), func(b *testing.B) {
			d, addr := benchPeer(b)
			measureConnections(b, n, func() (func(), error) {
				t := NewRelayTransport(d)
				r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://peer/", nil)
				if err == nil {
					_, err = t.Relay(b.Context(), addr, r)
				}
				return t.Close, err
			})
		})
	}
}

// measureConnections reports the memory and the time to open per connection, for n
// connections. The function open returns how to close the connection.
func measureConnections(b *testing.B, n int, open func() (func(), error)) {
	for b.Loop() {
		bytesBefore, start := liveMemoryBytes(), time.Now()
		var closeFuncs []func()
		for range n {
			closeConn, err := open()
			if err != nil {
				b.Fatal(err)
			}
			closeFuncs = append(closeFuncs, closeConn)
		}
		elapsed := time.Since(start)
		b.ReportMetric((liveMemoryBytes()-bytesBefore)/float64(n), "live-B/connection")
		b.ReportMetric(float64(elapsed.Microseconds())/float64(n), "µs/connection")
		for _, closeConn := range closeFuncs {
			closeConn()
		}
	}
}
