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

// The idle flow benchmarks run in two processes, so that the agent's memory and
// CPU time are measured apart from those of the callers and the balancer.
// docs/CAPACITY.md describes how to run them.

const (
	benchEnvVar         = "KNAPWEEDPIER_CAPACITY_FLOWS" // set to anything to run these benchmarks
	benchService        = "127.9.0.1:7443"
	benchTunnel         = "127.9.0.2:7000"
	benchBalancerTunnel = "127.9.0.3:7001"
	settleTime          = 8 * time.Second  // from the last opening to the measurement
	measureTime         = 20 * time.Second // four keep-alive periods
	openTimeout         = 90 * time.Second
)

var flowCounts = []int64{100, 300, 1000, 2212}

func benchKeyRing(b *testing.B) *keyring.Ring {
	if os.Getenv(benchEnvVar) == "" {
		b.Skip(benchEnvVar + " is not set")
	}
	keyRing, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	if err != nil {
		b.Fatal(err)
	}
	return keyRing
}

// countingSocket counts the datagrams and bytes of both directions.
type countingSocket struct {
	udp.Socket
	datagrams, bytes *atomic.Int64
}

func (s countingSocket) ReadFromUDPAddrPort(p []byte) (int, netip.AddrPort, error) {
	n, from, err := s.Socket.ReadFromUDPAddrPort(p)
	s.count(n)
	return n, from, err
}

func (s countingSocket) WriteToUDPAddrPort(p []byte, to netip.AddrPort) (int, error) {
	s.count(len(p))
	return s.Socket.WriteToUDPAddrPort(p, to)
}

func (s countingSocket) count(n int) {
	s.datagrams.Add(1)
	s.bytes.Add(int64(n))
}

// benchAgent is the tunnel endpoint and the flow server of an agent.
type benchAgent struct {
	open             atomic.Int64
	datagrams, bytes atomic.Int64
	endpoint         *Endpoint
	flows            *flowServer
}

func newBenchAgent(b *testing.B, keyRing *keyring.Ring) *benchAgent {
	a := &benchAgent{}
	cert, err := testcert.New("service.test")
	if err != nil {
		b.Fatal(err)
	}
	a.endpoint, err = NewEndpoint(EndpointOptions{
		Listen: netip.MustParseAddrPort(benchTunnel), Service: netip.MustParseAddrPort(benchService), KeyRing: keyRing,
		LocalState: func() LocalState { return LocalState{Load: tunnel.Load{Limit: 9, Flows: uint16(a.open.Load())}} },
		Paused:     func() bool { return false },
		ListenUDP: func(address netip.AddrPort) (udp.Socket, error) {
			s, err := udp.Listen(address)
			return countingSocket{s, &a.datagrams, &a.bytes}, err
		},
		Logger: event.Discard(),
	})
	if err != nil {
		b.Fatal(err)
	}
	a.flows, err = newFlowServer(flowServerOptions{
		endpoint: a.endpoint, keyRing: keyRing, incarnation: uint64(time.Now().UnixNano()),
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

// liveMemory returns the live heap and stacks in bytes, and the number of
// goroutines.
func liveMemory() (heap, stacks, goroutines float64) {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // sync.Pool releases its items only in the second collection
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse), float64(runtime.NumGoroutine())
}

// cpuTime returns the user and system CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdleFlows measures an agent while BenchmarkIdleCallers, in another
// process, opens flows and keeps them.
func BenchmarkIdleFlows(b *testing.B) {
	keyRing := benchKeyRing(b)
	a := newBenchAgent(b, keyRing)
	heap, stacks, goroutines := liveMemory()
	for _, size := range flowCounts {
		b.Run(fmt.Sprint("flows=", size), func(b *testing.B) {
			for b.Loop() {
				a.waitForFlows(b, size)
				time.Sleep(settleTime)
				a.measure(b)
				h, s, g := liveMemory()
				b.ReportMetric((h-heap)/float64(size), "heap-B/flow")
				b.ReportMetric((s-stacks)/float64(size), "stack-B/flow")
				b.ReportMetric((g-goroutines)/float64(size), "goroutines/flow")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (a *benchAgent) waitForFlows(b *testing.B, count int64) {
	for end := time.Now().Add(openTimeout); a.open.Load() < count; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatalf("%d flows are open, want %d", a.open.Load(), count)
		}
	}
}

func (a *benchAgent) measure(b *testing.B) {
	open := float64(a.open.Load())
	used, datagrams, bytes := cpuTime(b), a.datagrams.Load(), a.bytes.Load()
	time.Sleep(measureTime)
	flowSeconds := open * measureTime.Seconds()
	b.ReportMetric(float64(a.datagrams.Load()-datagrams)/flowSeconds, "datagrams/flow/s")
	b.ReportMetric(float64(a.bytes.Load()-bytes)/flowSeconds, "B/flow/s")
	b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/flowSeconds, "cpu-µs/flow/s")
	b.ReportMetric(open, "open")
}

// BenchmarkIdleCallers opens flows through a balancer to the agent of
// BenchmarkIdleFlows and keeps each number of them while the agent measures.
func BenchmarkIdleCallers(b *testing.B) {
	keyRing := benchKeyRing(b)
	f, err := balancer.NewForwarder(balancer.ForwarderOptions{
		TunnelListen: netip.MustParseAddrPort(benchBalancerTunnel), ListenUDP: udp.Listen,
		Logger: event.Discard(), Metrics: metrics.NewBalancer(metrics.New()),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	if err := f.Apply(balancer.Plan{KeyRing: keyRing, Generation: 1, Services: []balancer.ServicePlan{{
		Address:    netip.MustParseAddrPort(benchService),
		Candidates: []balancer.Candidate{{ID: "a-0", Tunnel: netip.MustParseAddrPort(benchTunnel), Weight: 9, AcceptsOpenings: true}},
	}}}); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var conns []*quic.Conn
		for _, size := range flowCounts {
			for int64(len(conns)) < size {
				conns = append(conns, dialFlow(b))
			}
			time.Sleep(settleTime + measureTime + 2*time.Second)
		}
		for _, conn := range conns {
			_ = conn.CloseWithError(0, "")
		}
	}
}

// dialFlow opens a flow as an HTTP/3 caller does, from its own socket.
func dialFlow(b *testing.B) *quic.Conn {
	ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, benchService, &tls.Config{
		InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}, // the other process creates the certificate
	}, &quic.Config{KeepAlivePeriod: keepAliveInterval, MaxIdleTimeout: idleTimeout})
	if err != nil {
		b.Fatal(err)
	}
	(&http3.Transport{}).NewClientConn(conn)
	return conn
}
