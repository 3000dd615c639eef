package balancer

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/steering"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// The benchmarks measure the costs per agent and service in docs/CAPACITY.md.

var agentCounts = []int{10, 100, 1000, 3300}

const agentsPerService = 3300.0 / 340

// idleSocket is a socket without packets and without a kernel socket. At large
// sizes, kernel sockets would dominate the cost of the plan.
type idleSocket struct {
	closed chan struct{}
	once   sync.Once
}

func openIdleSocket(netip.AddrPort) (udp.Socket, error) {
	return &idleSocket{closed: make(chan struct{})}, nil
}

func (s *idleSocket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	<-s.closed
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (s *idleSocket) WriteToUDPAddrPort(b []byte, _ netip.AddrPort) (int, error) { return len(b), nil }
func (s *idleSocket) LocalAddr() net.Addr                                        { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (s *idleSocket) Close() error                                               { s.once.Do(func() { close(s.closed) }); return nil }

func benchKeyRing(b *testing.B) *keyring.Ring {
	keyRing, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	if err != nil {
		b.Fatal(err)
	}
	return keyRing
}

func benchForwarder(b *testing.B, open udp.ListenFunc) *Forwarder {
	f, err := NewForwarder(ForwarderOptions{
		TunnelListen: netip.MustParseAddrPort("127.0.0.1:0"), ListenUDP: open,
		Logger: event.Discard(), Metrics: metrics.NewBalancer(metrics.New()),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	return f
}

func serviceAddress(i, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 30, byte(i >> 8), byte(i)}), uint16(port))
}

// benchPlanInput returns input with the agents spread over the services, and 630
// balancers for 3300 agents.
func benchPlanInput(b *testing.B, agents, services int) PlanInput {
	c := &config.Config{Generation: 1, Domains: []config.FailureDomain{{Name: "shawi", Region: "mauricie"}}}
	for i := range services {
		c.Services = append(c.Services, config.Service{
			Name: fmt.Sprint("service-", i), Address: serviceAddress(i, 7001), Limits: config.Limits{Slots: 9},
		})
	}
	in := PlanInput{Now: time.Now(), KeyRing: benchKeyRing(b), View: c.View(time.Now())}
	for i := range agents {
		in.Members.Members = append(in.Members.Members, membership.Member{Record: membership.Record{
			ID: fmt.Sprintf("backend-%04d", i), Role: membership.RoleAgent, Service: fmt.Sprint("service-", i%services),
			Domain: "shawi", Tunnel: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 31, byte(i >> 8), byte(i)}), 4100),
		}})
	}
	for i := range agents * 630 / 3300 {
		in.Members.Members = append(in.Members.Members, membership.Member{Record: membership.Record{
			ID: fmt.Sprint("balancer-", i), Role: membership.RoleBalancer, Domain: "shawi",
		}})
	}
	return in
}

func serviceCount(agents int) int { return max(1, int(float64(agents)/agentsPerService)) }

func applyPlan(b *testing.B, f *Forwarder, in PlanInput) {
	if err := f.Apply(BuildPlan(in)); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkPlan measures the parts of a plan and one change of membership:
// "change" is fingerprint, BuildPlan and Apply after one agent has left or
// come back, "suspect" the same after a change of suspicion.
func BenchmarkPlan(b *testing.B) {
	for _, agents := range agentCounts {
		in := benchPlanInput(b, agents, serviceCount(agents))
		b.Run(fmt.Sprintf("fingerprint/agents=%d", agents), func(b *testing.B) {
			for b.Loop() {
				fingerprint(in)
			}
		})
		b.Run(fmt.Sprintf("build/agents=%d", agents), func(b *testing.B) {
			for b.Loop() {
				BuildPlan(in)
			}
		})
		b.Run(fmt.Sprintf("first/agents=%d", agents), func(b *testing.B) { benchFirstPlan(b, in) })
		b.Run(fmt.Sprintf("change/agents=%d", agents), func(b *testing.B) {
			benchChange(b, in, func(m *membership.Member, odd bool) {
				m.State = []membership.State{membership.StateServing, membership.StateLeaving}[boolIndex(odd)]
			})
		})
		b.Run(fmt.Sprintf("suspect/agents=%d", agents), func(b *testing.B) {
			benchChange(b, in, func(m *membership.Member, odd bool) {
				m.SuspectSince = []time.Time{{}, in.Now}[boolIndex(odd)]
			})
		})
	}
}

func boolIndex(odd bool) int {
	if odd {
		return 1
	}
	return 0
}

func benchChange(b *testing.B, in PlanInput, edit func(*membership.Member, bool)) {
	f := benchForwarder(b, openIdleSocket)
	applyPlan(b, f, in)
	odd := false
	b.ReportAllocs()
	for b.Loop() {
		odd = !odd
		edit(&in.Members.Members[0], odd)
		fingerprint(in)
		applyPlan(b, f, in)
	}
}

// benchFirstPlan measures the first plan, for which the tables of all services
// are built, and reports the memory that a plan in force holds: tables,
// candidates and observations.
func benchFirstPlan(b *testing.B, in PlanInput) {
	for b.Loop() {
		f := benchForwarder(b, openIdleSocket)
		before, began := liveMemory(), time.Now()
		applyPlan(b, f, in)
		took := time.Since(began)
		b.ReportMetric(float64(liveMemory()-before), "live-B")
		b.ReportMetric(float64(took.Microseconds()), "apply-µs")
		f.Close()
	}
}

// liveMemory returns the bytes of live heap and of stacks.
func liveMemory() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkServiceTable builds the table of one service of the given size.
func BenchmarkServiceTable(b *testing.B) {
	for _, n := range agentCounts {
		agents := make([]steering.Agent, n)
		for i := range agents {
			agents[i] = steering.Agent{ID: fmt.Sprintf("backend-%04d", i), Weight: 9, Observations: &steering.Observations{}}
		}
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				steering.NewService(serviceAddress(0, 7001), agents)
			}
		})
	}
}

// BenchmarkListeners opens service addresses with kernel sockets and reports the
// memory that their packet loops hold, without the kernel's buffers.
func BenchmarkListeners(b *testing.B) {
	for _, services := range []int{10, 100, 340} {
		b.Run(fmt.Sprint("addresses=", services), func(b *testing.B) {
			in := benchPlanInput(b, services*10, services)
			for b.Loop() {
				f := benchForwarder(b, udp.Listen)
				tables := liveMemory()
				idle := benchForwarder(b, openIdleSocket)
				applyPlan(b, idle, in)
				before := liveMemory()
				began := time.Now()
				applyPlan(b, f, in)
				took := time.Since(began)
				time.Sleep(50 * time.Millisecond) // until the loops have reached their first read
				own := liveMemory() - before
				f.Close()
				b.ReportMetric(float64(took.Microseconds())/float64(services), "apply-µs/address")
				b.ReportMetric(float64(own)/float64(services), "live-B/address")
				b.ReportMetric(float64(before-tables)/float64(services), "live-without-sockets-B/address")
			}
		})
	}
}

// BenchmarkHellos measures a hello from each agent in turn, with its answer, and
// the collection of last contacts.
func BenchmarkHellos(b *testing.B) {
	for _, agents := range agentCounts {
		in := benchPlanInput(b, agents, serviceCount(agents))
		f := benchForwarder(b, openIdleSocket)
		applyPlan(b, f, in)
		codec := tunnel.NewCodec(in.KeyRing)
		header := tunnel.Header{Type: tunnel.Hello, Service: tunnel.ServiceID(serviceAddress(0, 7001))}
		var buf [tunnel.MaxSize]byte
		hello := buf[codec.Prepend(buf[:], tunnel.MaxSize, &header):]
		b.Run(fmt.Sprintf("receive/agents=%d", agents), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f.handleAgentPacket(f.tunnel.primary, hello, in.Members.Members[i%agents].Tunnel, &header)
			}
			b.ReportMetric(float64(len(hello)), "payload-B")
		})
		b.Run(fmt.Sprintf("collect/agents=%d", agents), func(b *testing.B) {
			for b.Loop() {
				f.LastContacts()
			}
		})
	}
}
