package fabric

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// startEchoBalancer returns a balancer that answers each packet with its ID
// followed by the packet.
func startEchoBalancer(t *testing.T, id, health string) Balancer {
	t.Helper()
	conn := listen(t)
	go func() {
		buf := make([]byte, maxDatagramBytes)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort(append([]byte(id+" "), buf[:n]...), from)
		}
	}()
	addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return Balancer{ID: id, HealthURL: health, Addr: func(netip.AddrPort) netip.AddrPort { return addr }}
}

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func start(t *testing.T, opts Options) (*Fabric, netip.AddrPort) {
	t.Helper()
	opts.Services = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:0")}
	f, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, f.listeners[0].conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// exchange sends n packets one by one and returns the number of answers by their
// first letter, the balancer's ID. A packet not answered within 50 ms is lost.
func exchange(conn *net.UDPConn, service netip.AddrPort, n int) map[string]int {
	got, buf := map[string]int{}, make([]byte, maxDatagramBytes)
	for range n {
		_, _ = conn.WriteToUDPAddrPort([]byte("hello"), service)
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		m, from, err := conn.ReadFromUDPAddrPort(buf)
		if err == nil && from.Port() == service.Port() && string(buf[1:m]) == " hello" {
			got[string(buf[:1])]++
		}
	}
	return got
}

// Guards against flow affinity, since the balancer must be chosen for each packet
// independently, and against sending to a removed balancer.
func TestSpraysEachPacket(t *testing.T) {
	is := is.New(t)
	f, service := start(t, Options{Seed: 7, Balancers: []Balancer{startEchoBalancer(t, "a", ""), startEchoBalancer(t, "b", "")}})
	conn := listen(t)
	got := exchange(conn, service, 200)
	is.Equal(got["a"]+got["b"], 200)
	is.True(got["a"] > 70 && got["b"] > 70)
	f.Remove("a")
	is.Equal(exchange(conn, service, 20), map[string]int{"b": 20})
	l := f.Ledger()
	is.Equal(l.Balancers[0].Returned, uint64(got["a"]))
	is.Equal(l.Balancers[1].Forwarded, uint64(got["b"]+20))
	is.Equal(l.Callers, 1)
}

// Guards against answers that reach the wrong caller, against more than MaxCallers
// caller sockets, and against idle sockets that stay open.
func TestCallerSocketsAreSeparateAndBounded(t *testing.T) {
	is := is.New(t)
	f, service := start(t, Options{MaxCallers: 2, IdleTimeout: 2 * time.Second, Balancers: []Balancer{startEchoBalancer(t, "a", "")}})
	for i := range 3 {
		want := 3
		if i == 2 {
			want = 0
		}
		is.Equal(exchange(listen(t), service, 3)["a"], want)
	}
	is.Equal(f.Ledger().RefusedCallers, uint64(3))
	for end := time.Now().Add(20 * time.Second); f.Ledger().Callers > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(f.Ledger().Callers, 0)
	is.Equal(exchange(listen(t), service, 1)["a"], 1)
}

// Guards against packets to a balancer that reports itself unhealthy, and against
// a balancer that gets no packets after it has recovered.
func TestHealthProbe(t *testing.T) {
	is := is.New(t)
	var down atomic.Bool
	health := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer health.Close()
	f, service := start(t, Options{Balancers: []Balancer{startEchoBalancer(t, "a", health.URL)}})
	conn := listen(t)
	is.Equal(exchange(conn, service, 3)["a"], 3)
	down.Store(true)
	time.Sleep(2 * probeInterval)
	is.Equal(exchange(conn, service, 3)["a"], 0)
	is.Equal(f.Ledger().NoBalancer, uint64(3))
	down.Store(false)
	time.Sleep(2 * probeInterval)
	is.Equal(exchange(conn, service, 3)["a"], 3)
}

// startHangingHealth returns the URL of a health endpoint that never answers while
// hangs is set, and answers 200 otherwise.
func startHangingHealth(t *testing.T, hangs *atomic.Bool) string {
	t.Helper()
	health := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if hangs.Load() {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(health.Close)
	return health.URL
}

// Guards against the loss of every packet while the probes of all balancers time
// out, and against packets to a balancer whose probes time out while another one
// answers.
func TestUnansweredProbes(t *testing.T) {
	is := is.New(t)
	var aHangs, bHangs atomic.Bool
	f, service := start(t, Options{Seed: 7, Balancers: []Balancer{
		startEchoBalancer(t, "a", startHangingHealth(t, &aHangs)),
		startEchoBalancer(t, "b", startHangingHealth(t, &bHangs)),
	}})
	conn := listen(t)
	aHangs.Store(true)
	time.Sleep(2*probeInterval + probeTimeout)
	is.Equal(exchange(conn, service, 20), map[string]int{"b": 20})

	bHangs.Store(true)
	time.Sleep(2*probeInterval + probeTimeout)
	got := exchange(conn, service, 40)
	is.Equal(got["a"]+got["b"], 40)
	is.True(got["a"] > 8 && got["b"] > 8)
	l := f.Ledger()
	is.Equal(l.NoBalancer, uint64(0))
	is.Equal(l.FailedOpen, uint64(40))
	is.True(!l.Balancers[0].Live && !l.Balancers[1].Live)

	f.Remove("a")
	is.Equal(exchange(conn, service, 20), map[string]int{"b": 20})
}

// Guards against packets to a balancer that reports itself unhealthy, or refuses
// connections, because no other balancer answers its probe.
func TestFailedProbeExcludesBalancer(t *testing.T) {
	is := is.New(t)
	var hangs atomic.Bool
	hangs.Store(true)
	unhealthy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer unhealthy.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	_, service := start(t, Options{Seed: 7, Balancers: []Balancer{
		startEchoBalancer(t, "a", startHangingHealth(t, &hangs)),
		startEchoBalancer(t, "b", unhealthy.URL),
		startEchoBalancer(t, "c", closed.URL),
	}})
	time.Sleep(2*probeInterval + probeTimeout)
	is.Equal(exchange(listen(t), service, 20), map[string]int{"a": 20})
}

// Guards against a delay or loss in the options that is not applied, in either
// direction.
func TestDelayAndLoss(t *testing.T) {
	is := is.New(t)
	f, service := start(t, Options{Seed: 3, Delay: 5 * time.Millisecond, Loss: 0.2, Balancers: []Balancer{startEchoBalancer(t, "a", "")}})
	begin := time.Now()
	got := exchange(listen(t), service, 30)["a"]
	is.True(time.Since(begin) >= time.Duration(got)*10*time.Millisecond)
	is.True(got > 8 && got < 30)
	is.Equal(f.Ledger().Lost, uint64(30-got))
}

// Guards against listening outside the loopback network, and against options
// without a service address or with a loss of every packet.
func TestInvalidOptionsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, opts := range []Options{
		{},
		{Services: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:1")}},
		{Services: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Loss: 1},
	} {
		_, err := New(opts)
		is.True(errkind.Is(err, errkind.SettingInvalid))
	}
}
