package fleet

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
)

// resolution is the precision of packet times; it bounds the ledger's memory.
const resolution = time.Millisecond

// packetLog records when packets passed the tunnel sockets of each failure domain.
type packetLog struct {
	mu    sync.Mutex
	times map[string][]time.Time // in order, one for each millisecond with packets
}

func newPacketLog() *packetLog { return &packetLog{times: map[string][]time.Time{}} }

// open returns a ListenFunc whose sockets report to it.
func (l *packetLog) open(domain string) udp.ListenFunc {
	return func(address netip.AddrPort) (udp.Socket, error) {
		s, err := udp.Listen(address)
		if err != nil {
			return nil, err
		}
		return &tappedSocket{Socket: s, packetLog: l, domain: domain}, nil
	}
}

func (l *packetLog) passed(domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	times := l.times[domain]
	if n := len(times); n > 0 && now.Sub(times[n-1]) < resolution {
		return
	}
	l.times[domain] = append(times, now)
}

// last returns the last packet of a domain in the interval, or zero.
func (l *packetLog) last(domain string, during quickstart.Interval) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range slices.Backward(l.times[domain]) {
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
	packetLog *packetLog
	domain    string
}

// ReadFromUDPAddrPort implements udp.Socket.
func (s *tappedSocket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	n, from, err := s.Socket.ReadFromUDPAddrPort(b)
	if err == nil {
		s.packetLog.passed(s.domain)
	}
	return n, from, err
}

// WriteToUDPAddrPort implements udp.Socket.
func (s *tappedSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	s.packetLog.passed(s.domain)
	return s.Socket.WriteToUDPAddrPort(b, to)
}
