package agent

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

// silentSocket discards what is sent and receives nothing.
type silentSocket struct{ closed chan struct{} }

func (s silentSocket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	<-s.closed
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (s silentSocket) WriteToUDPAddrPort(p []byte, _ netip.AddrPort) (int, error) { return len(p), nil }
func (s silentSocket) LocalAddr() net.Addr {
	return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7000}
}
func (s silentSocket) Close() error { close(s.closed); return nil }

func benchMembers(balancers, siblings, others int) membership.Snapshot {
	var s membership.Snapshot
	add := func(role membership.Role, service string, n int) {
		for range n {
			i := len(s.Members)
			s.Members = append(s.Members, membership.Member{Record: membership.Record{
				ID: fmt.Sprintf("process-%04d", i), Role: role, Service: service, State: membership.StateServing,
				Tunnel: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 32, byte(i >> 8), byte(i)}), 4100),
			}})
		}
	}
	add(membership.RoleBalancer, "", balancers)
	add(membership.RoleAgent, "comptoir", siblings)
	add(membership.RoleAgent, "nuancier", others)
	return s
}

func benchEndpoint(b *testing.B) (*Endpoint, []byte) {
	keyRing, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	if err != nil {
		b.Fatal(err)
	}
	service := netip.MustParseAddrPort("127.9.0.1:7443")
	e, err := NewEndpoint(EndpointOptions{
		Service: service, KeyRing: keyRing, Logger: event.Discard(),
		LocalState: func() LocalState { return LocalState{} },
		Paused:     func() bool { return false },
		ListenUDP:  func(netip.AddrPort) (udp.Socket, error) { return silentSocket{make(chan struct{})}, nil },
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(e.Close)
	var buf [tunnel.MaxSize]byte
	header := tunnel.Header{Type: tunnel.Hello, Service: tunnel.ServiceID(service)}
	return e, buf[tunnel.NewCodec(keyRing).Prepend(buf[:], tunnel.MaxSize, &header):]
}

// BenchmarkRound measures the agent's regular work without system calls: load
// reports to up to ten agents of the service (each 100 ms), the choice of
// balancers (each 400 ms) and one load report received.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ balancers, siblings, others int }{{3, 7, 3}, {100, 10, 0}, {630, 10, 0}, {630, 1000, 0}, {630, 10, 3290}} {
		a := New(Options{ID: "process-0000", Service: "comptoir", Metrics: metrics.New()})
		a.node.Board.Members.Set(benchMembers(size.balancers, size.siblings, size.others))
		e, hello := benchEndpoint(b)
		in := &incarnation{endpoint: e}
		name := fmt.Sprintf("balancers=%d/siblings=%d/others=%d", size.balancers, size.siblings, size.others)
		b.Run("siblings/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				a.sendSiblingHellos(in)
			}
		})
		b.Run("balancers/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				a.sendBalancerHellos(in)
			}
		})
		b.Run("receive/"+name, func(b *testing.B) {
			members := a.node.Board.Members.Get().Members
			for i := 0; b.Loop(); i++ {
				e.receive(hello, members[size.balancers+i%size.siblings].Tunnel)
			}
		})
	}
}
