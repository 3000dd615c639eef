package agent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against return traffic through a balancer that forwards packets here
// but that packets from here do not reach.
func TestReturnsFollowAnsweredHellos(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	broken, answering := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:1")
	s := newHeardSet()
	s.forwarded(now, broken)
	got, ok := s.pick(now, netip.AddrPort{})
	is.True(ok)
	is.Equal(got, broken) // nobody has answered yet
	s.answered(now, answering)
	for port := range uint16(50) {
		s.forwarded(now, broken)
		got, _ := s.pick(now, netip.AddrPortFrom(netip.IPv4Unspecified(), port))
		is.Equal(got, answering)
	}
	later := now.Add(2 * heardWithin)
	s.forwarded(later, broken)
	got, _ = s.pick(later, netip.AddrPort{})
	is.Equal(got, broken) // the answer is too old to be better
	s.forget(later)
	_, ok = s.pick(later, netip.AddrPort{})
	is.True(!ok)
}
