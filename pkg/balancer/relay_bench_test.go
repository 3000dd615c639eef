package balancer

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/connid"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/steering"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

const (
	benchBatch   = 64   // packets queued in the socket before each timed part
	benchPayload = 1200 // bytes, a full QUIC packet
)

type benchSockets struct {
	sender, relay, receiver udp.Socket
}

func openBenchSockets(b *testing.B) benchSockets {
	open := func() udp.Socket {
		s, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { s.Close() })
		return s
	}
	return benchSockets{open(), open(), open()}
}

// timeBatch sends one batch of packets to the relay socket and returns the time
// that relay takes for all of them. The time of the sender and the receiver is
// not included.
func timeBatch(b *testing.B, s benchSockets, packet []byte, relayPacket func()) time.Duration {
	for range benchBatch {
		if _, err := s.sender.WriteToUDPAddrPort(packet, udp.LocalAddress(s.relay)); err != nil {
			b.Fatal(err)
		}
	}
	began := time.Now()
	for range benchBatch {
		relayPacket()
	}
	elapsed := time.Since(began)
	drain := make([]byte, 4096)
	for range benchBatch {
		if _, _, err := s.receiver.ReadFromUDPAddrPort(drain); err != nil {
			b.Fatal(err)
		}
	}
	return elapsed
}

// Guards against a balancer that costs much more than the two system calls
// that any relay needs: the ratio must be at least 0.9.
func BenchmarkForwardAgainstBareRelay(b *testing.B) {
	s := openBenchSockets(b)
	keyRing, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	if err != nil {
		b.Fatal(err)
	}
	service := udp.LocalAddress(s.relay)
	id := connid.NewCodec(keyRing).Encode(connid.Fields{Agent: udp.LocalAddress(s.receiver)}, service)
	packet := append([]byte{0x40}, id[:]...)
	packet = append(packet, make([]byte, benchPayload-len(packet))...)

	buf := make([]byte, tunnel.MaxSize+udp.MaxDatagramBytes)
	to := udp.LocalAddress(s.receiver)
	bare := func() {
		n, _, _ := s.relay.ReadFromUDPAddrPort(buf)
		_, _ = s.relay.WriteToUDPAddrPort(buf[:n], to)
	}

	f, err := NewForwarder(ForwarderOptions{
		TunnelListen: netip.MustParseAddrPort("127.0.0.1:0"),
		ListenUDP:    udp.Listen,
		Logger:       event.Discard(),
		Metrics:      metrics.NewBalancer(metrics.New()),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	if err := f.Apply(Plan{KeyRing: keyRing}); err != nil {
		b.Fatal(err)
	}
	l := &listener{socket: s.relay}
	l.service.Store(steering.NewService(service, nil))
	var header tunnel.Header
	forward := func() {
		n, caller, _ := s.relay.ReadFromUDPAddrPort(buf[tunnel.MaxSize:])
		f.forward(l, buf[:tunnel.MaxSize+n], udp.Unmap(caller), &header)
	}
	if allocs := testing.AllocsPerRun(100, func() {
		_, _ = s.sender.WriteToUDPAddrPort(packet, service)
		forward()
	}); allocs != 0 {
		b.Fatalf("%v allocations a packet", allocs)
	}
	drain := make([]byte, 4096)
	for range 101 { // AllocsPerRun makes one additional run to warm up
		_, _, _ = s.receiver.ReadFromUDPAddrPort(drain)
	}

	// The batches alternate, so that other load on the machine slows both alike.
	var bareTime, forwardTime time.Duration
	for range b.N {
		bareTime += timeBatch(b, s, packet, bare)
		forwardTime += timeBatch(b, s, packet, forward)
	}
	packets := float64(b.N * benchBatch)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(bareTime.Nanoseconds())/packets, "bare-ns/packet")
	b.ReportMetric(float64(forwardTime.Nanoseconds())/packets, "forward-ns/packet")
	b.ReportMetric(bareTime.Seconds()/forwardTime.Seconds(), "of-bare-relay")
}
