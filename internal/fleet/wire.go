package fleet

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/quickstart"
	"github.com/knapweedpier/knapweedpier/internal/udp"
)

// resolution is the precision of packet times; it bounds the ledger's memory.
const resolution = time.Millisecond

// wire records when packets passed the tunnel sockets of each failure domain.
type wire struct {
	mu    sync.Mutex
	times map[string][]time.Time // in order, one for each millisecond with packets
}

func newWire() *wire { return &wire{times: map[string][]time.Time{}} }

// open returns a ListenFunc whose sockets report to the wire.
func (w *wire) open(domain string) udp.ListenFunc {
	return func(address netip.AddrPort) (udp.Socket, error) {
		s, err := udp.Listen(address)
		if err != nil {
			return nil, err
		}
		return &tappedSocket{Socket: s, wire: w, domain: domain}, nil
	}
}

func (w *wire) passed(domain string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	times := w.times[domain]
	if n := len(times); n > 0 && now.Sub(times[n-1]) < resolution {
		return
	}
	w.times[domain] = append(times, now)
}

// last returns the last packet of a domain in the interval, or zero.
func (w *wire) last(domain string, during quickstart.Interval) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range slices.Backward(w.times[domain]) {
		if at.Before(during.From) {
			break
		}
		if during.To.IsZero() || at.Before(during.To) {
			return at
		}
	}
	return time.Time{}
}

// tappedSocket reports each packet that it reads or writes.
type tappedSocket struct {
	udp.Socket
	wire   *wire
	domain string
}

// ReadFromUDPAddrPort implements udp.Socket.
func (s *tappedSocket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	n, from, err := s.Socket.ReadFromUDPAddrPort(b)
	if err == nil {
		s.wire.passed(s.domain)
	}
	return n, from, err
}

// WriteToUDPAddrPort implements udp.Socket.
func (s *tappedSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	s.wire.passed(s.domain)
	return s.Socket.WriteToUDPAddrPort(b, to)
}
