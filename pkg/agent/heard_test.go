package agent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against return traffic that is lost because the agent sends it through
// a balancer whose packets arrive but which the agent's packets do not reach.
func TestReturnTrafficPrefersAcknowledgedBalancer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	broken, answering := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:1")
	s := newContactTable()
	s.recordForward(now, broken)
	got, ok := s.pick(now, netip.AddrPort{})
	is.True(ok)
	is.Equal(got, broken) // no balancer has answered yet
	s.recordHelloAck(now, answering)
	for port := range uint16(50) {
		s.recordForward(now, broken)
		got, _ := s.pick(now, netip.AddrPortFrom(netip.IPv4Unspecified(), port))
		is.Equal(got, answering)
	}
	later := now.Add(2 * contactTimeout)
	s.recordForward(later, broken)
	got, _ = s.pick(later, netip.AddrPort{})
	is.Equal(got, broken) // the answer is older than contactTimeout
	s.removeOlder(later)
	_, ok = s.pick(later, netip.AddrPort{})
	is.True(!ok)
}
