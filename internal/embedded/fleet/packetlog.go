package fleet

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
)

// packetTimeResolution is the shortest time between two recorded packets of one
// failure domain. It bounds the memory of the log.
const packetTimeResolution = time.Millisecond

// packetLog records when the agents of each failure domain sent or received
// packets on their tunnel sockets.
type packetLog struct {
	mu    sync.Mutex
	times map[string][]time.Time // by failure domain, in ascending order, at least packetTimeResolution apart
}

func newPacketLog() *packetLog { return &packetLog{times: map[string][]time.Time{}} }

// listenFunc returns a ListenFunc whose sockets record the failure domain's
// packets in l.
func (l *packetLog) listenFunc(domain string) udp.ListenFunc {
	return func(address netip.AddrPort) (udp.Socket, error) {
		s, err := udp.Listen(address)
		if err != nil {
			return nil, err
		}
		return &recordingSocket{Socket: s, packetLog: l, domain: domain}, nil
	}
}

func (l *packetLog) record(domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	times := l.times[domain]
	if n := len(times); n > 0 && now.Sub(times[n-1]) < packetTimeResolution {
		return
	}
	l.times[domain] = append(times, now)
}

// lastPacket returns the time of the last recorded packet of a failure domain in
// the interval, or zero if there is none.
func (l *packetLog) lastPacket(domain string, during quickstart.Interval) time.Time {
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

// recordingSocket records in its packetLog each packet that it reads or writes.
type recordingSocket struct {
	udp.Socket
	packetLog *packetLog
	domain    string
}

// ReadFromUDPAddrPort implements udp.Socket.
func (s *recordingSocket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	n, from, err := s.Socket.ReadFromUDPAddrPort(b)
	if err == nil {
		s.packetLog.record(s.domain)
	}
	return n, from, err
}

// WriteToUDPAddrPort implements udp.Socket.
func (s *recordingSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	s.packetLog.record(s.domain)
	return s.Socket.WriteToUDPAddrPort(b, to)
}
