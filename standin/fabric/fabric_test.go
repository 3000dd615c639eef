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

// echo is a balancer that answers each packet with its ID.
func echo(t *testing.T, id, health string) Balancer {
	t.Helper()
	conn := listen(t)
	go func() {
		buf := make([]byte, maxDatagram)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort(append([]byte(id+" "), buf[:n]...), from)
		}
	}()
	addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return Balancer{ID: id, Health: health, Addr: func(netip.AddrPort) netip.AddrPort { return addr }}
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

func start(t *testing.T, opt Options) (*Fabric, netip.AddrPort) {
	t.Helper()
	opt.Services = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:0")}
	f, err := New(opt)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, f.ports[0].conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// exchange sends n packets one by one and returns the answers by first letter.
func exchange(conn *net.UDPConn, service netip.AddrPort, n int) map[string]int {
	got, buf := map[string]int{}, make([]byte, maxDatagram)
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

// Guards against flow affinity: each packet must be sprayed on its own. Also
// guards against sending to a removed balancer.
func TestSpraysEachPacket(t *testing.T) {
	is := is.New(t)
	f, service := start(t, Options{Seed: 7, Balancers: []Balancer{echo(t, "a", ""), echo(t, "b", "")}})
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

// Guards against answers that reach another caller, and against an unbounded
// number of sockets.
func TestCallersAreKeptApartAndBounded(t *testing.T) {
	is := is.New(t)
	f, service := start(t, Options{MaxCallers: 2, IdleTimeout: 2 * time.Second, Balancers: []Balancer{echo(t, "a", "")}})
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

// Guards against packets to a balancer that reports itself unhealthy, and
// against never taking it back.
func TestHealthProbe(t *testing.T) {
	is := is.New(t)
	var down atomic.Bool
	health := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer health.Close()
	f, service := start(t, Options{Balancers: []Balancer{echo(t, "a", health.URL)}})
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

// Guards against a delay or loss that is accepted and not applied.
func TestDelayAndLoss(t *testing.T) {
	is := is.New(t)
	f, service := start(t, Options{Seed: 3, Delay: 5 * time.Millisecond, Loss: 0.2, Balancers: []Balancer{echo(t, "a", "")}})
	begin := time.Now()
	got := exchange(listen(t), service, 30)["a"]
	is.True(time.Since(begin) >= time.Duration(got)*10*time.Millisecond)
	is.True(got > 8 && got < 30)
	is.Equal(f.Ledger().Lost, uint64(30-got))
}

// Guards against listening outside the loopback network.
func TestRefusesBadOptions(t *testing.T) {
	is := is.New(t)
	for _, opt := range []Options{
		{},
		{Services: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:1")}},
		{Services: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Loss: 1},
	} {
		_, err := New(opt)
		is.True(errkind.Is(err, errkind.SettingInvalid))
	}
}
