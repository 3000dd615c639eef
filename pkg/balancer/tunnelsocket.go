package balancer

import (
	"net/netip"
	"sync/atomic"

	"github.com/knapweedpier/knapweedpier/internal/base/udp"
)

// tunnelSocket sends to agents. A second socket with another source port takes
// over sending when something on the path has lost the first one's flows.
type tunnelSocket struct {
	address netip.AddrPort
	first   udp.Socket
	sender  atomic.Pointer[udp.Socket]
}

func newTunnelSocket(first udp.Socket) *tunnelSocket {
	t := &tunnelSocket{address: udp.LocalAddress(first), first: first}
	t.sender.Store(&first)
	return t
}

// send loses the packet if the kernel refuses it, like any network may.
func (t *tunnelSocket) send(datagram []byte, agent netip.AddrPort) {
	_, _ = (*t.sender.Load()).WriteToUDPAddrPort(datagram, agent)
}

// replaceSender makes s the sending socket and closes the one it replaces,
// unless that is the first, which stays open for agents' packets.
func (t *tunnelSocket) replaceSender(s udp.Socket) {
	old := *t.sender.Swap(&s)
	if old != t.first {
		old.Close()
	}
}

func (t *tunnelSocket) close() {
	if sender := *t.sender.Load(); sender != t.first {
		sender.Close()
	}
	t.first.Close()
}
