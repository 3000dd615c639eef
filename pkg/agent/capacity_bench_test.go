package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/embedded/testcert"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
	"github.com/knapweedpier/knapweedpier/pkg/balancer"
)

// The idle flow benchmarks run as two processes, so that the agent's memory and
// processor time are not mixed with those of the callers and the balancer.
// CAPACITY.md says how to run them.

const (
	flowsSetting  = "KNAPWEEDPIER_CAPACITY_FLOWS" // set to anything to run these benchmarks
	flowsService  = "127.9.0.1:7443"
	flowsTunnel   = "127.9.0.2:7000"
	flowsBalancer = "127.9.0.3:7001"
	flowsSettle   = 8 * time.Second  // from the last opening to the measurement
	flowsMeasure  = 20 * time.Second // four keep-alive periods
	flowsWait     = 90 * time.Second
)

var flowSizes = []int64{100, 300, 1000, 2212}

func flowsRing(b *testing.B) *keyring.Ring {
	if os.Getenv(flowsSetting) == "" {
		b.Skip(flowsSetting + " is not set")
	}
	ring, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	if err != nil {
		b.Fatal(err)
	}
	return ring
}

// countedSocket counts the datagrams and bytes of both directions.
type countedSocket struct {
	udp.Socket
	datagrams, bytes *atomic.Int64
}

func (s countedSocket) ReadFromUDPAddrPort(p []byte) (int, netip.AddrPort, error) {
	n, from, err := s.Socket.ReadFromUDPAddrPort(p)
	s.count(n)
	return n, from, err
}

func (s countedSocket) WriteToUDPAddrPort(p []byte, to netip.AddrPort) (int, error) {
	s.count(len(p))
	return s.Socket.WriteToUDPAddrPort(p, to)
}

func (s countedSocket) count(n int) {
	s.datagrams.Add(1)
	s.bytes.Add(int64(n))
}

// flowsAgent is the tunnel and the flow server of an agent.
type flowsAgent struct {
	open             atomic.Int64
	datagrams, bytes atomic.Int64
	endpoint         *Endpoint
	flows            *flowServer
}

func newFlowsAgent(b *testing.B, ring *keyring.Ring) *flowsAgent {
	a := &flowsAgent{}
	cert, err := testcert.New("service.test")
	if err != nil {
		b.Fatal(err)
	}
	a.endpoint, err = NewEndpoint(EndpointOptions{
		Listen: netip.MustParseAddrPort(flowsTunnel), Service: netip.MustParseAddrPort(flowsService), Ring: ring,
		Self:   func() Self { return Self{Load: tunnel.Load{Limit: 9, Flows: uint16(a.open.Load())}} },
		Paused: func() bool { return false },
		Open: func(address netip.AddrPort) (udp.Socket, error) {
			s, err := udp.Listen(address)
			return countedSocket{s, &a.datagrams, &a.bytes}, err
		},
		Logger: event.Discard(),
	})
	if err != nil {
		b.Fatal(err)
	}
	a.flows, err = newFlowServer(flowOptions{
		endpoint: a.endpoint, ring: ring, incarnation: uint64(time.Now().UnixNano()),
		tls:     &tls.Config{Certificates: []tls.Certificate{cert.Certificate}},
		handler: http.NotFoundHandler(),
		openFlow: func() (func(), error) {
			a.open.Add(1)
			return func() { a.open.Add(-1) }, nil
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { a.flows.close(0); a.endpoint.Close() })
	return a
}

// liveFlows returns live heap and stacks in bytes, and goroutines.
func liveFlows() (heap, stacks, goroutines float64) {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the first only empties pools halfway
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse), float64(runtime.NumGoroutine())
}

func usedTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdleFlows measures an agent while BenchmarkIdleCallers, in another
// process, opens flows and keeps them.
func BenchmarkIdleFlows(b *testing.B) {
	ring := flowsRing(b)
	a := newFlowsAgent(b, ring)
	heap, stacks, goroutines := liveFlows()
	for _, size := range flowSizes {
		b.Run(fmt.Sprint("flows=", size), func(b *testing.B) {
			for b.Loop() {
				a.awaitFlows(b, size)
				time.Sleep(flowsSettle)
				a.measure(b)
				h, s, g := liveFlows()
				b.ReportMetric((h-heap)/float64(size), "heap-B/flow")
				b.ReportMetric((s-stacks)/float64(size), "stack-B/flow")
				b.ReportMetric((g-goroutines)/float64(size), "goroutines/flow")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (a *flowsAgent) awaitFlows(b *testing.B, size int64) {
	for end := time.Now().Add(flowsWait); a.open.Load() < size; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatalf("%d flows are open, want %d", a.open.Load(), size)
		}
	}
}

func (a *flowsAgent) measure(b *testing.B) {
	open := float64(a.open.Load())
	used, datagrams, bytes := usedTime(b), a.datagrams.Load(), a.bytes.Load()
	time.Sleep(flowsMeasure)
	per := open * flowsMeasure.Seconds()
	b.ReportMetric(float64(a.datagrams.Load()-datagrams)/per, "datagrams/flow/s")
	b.ReportMetric(float64(a.bytes.Load()-bytes)/per, "B/flow/s")
	b.ReportMetric(float64((usedTime(b)-used).Microseconds())/per, "cpu-µs/flow/s")
	b.ReportMetric(open, "open")
}

// BenchmarkIdleCallers opens flows through a balancer to the agent of
// BenchmarkIdleFlows and keeps each number of them while the agent measures.
func BenchmarkIdleCallers(b *testing.B) {
	ring := flowsRing(b)
	f, err := balancer.NewForwarder(balancer.ForwarderOptions{
		TunnelListen: netip.MustParseAddrPort(flowsBalancer), Listen: udp.Listen,
		Logger: event.Discard(), Metrics: metrics.NewBalancer(metrics.New()),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	if err := f.Apply(balancer.Plan{Ring: ring, Generation: 1, Services: []balancer.ServicePlan{{
		Address:    netip.MustParseAddrPort(flowsService),
		Candidates: []balancer.Candidate{{ID: "a-0", Tunnel: netip.MustParseAddrPort(flowsTunnel), Weight: 9, Openings: true}},
	}}}); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var conns []*quic.Conn
		for _, size := range flowSizes {
			for int64(len(conns)) < size {
				conns = append(conns, dialFlow(b))
			}
			time.Sleep(flowsSettle + flowsMeasure + 2*time.Second)
		}
		for _, conn := range conns {
			_ = conn.CloseWithError(0, "")
		}
	}
}

// dialFlow opens a flow like an HTTP/3 caller, from a socket of its own.
func dialFlow(b *testing.B) *quic.Conn {
	ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, flowsService, &tls.Config{
		InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}, // the certificate is of the other process
	}, &quic.Config{KeepAlivePeriod: keepAlive, MaxIdleTimeout: idleTimeout})
	if err != nil {
		b.Fatal(err)
	}
	(&http3.Transport{}).NewClientConn(conn)
	return conn
}
