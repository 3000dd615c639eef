package balancer

import (
	"net/netip"
	"sync/atomic"

	"github.com/knapweedpier/knapweedpier/internal/base/udp"
)

// tunnelSocket sends to agents. A second socket with another source port takes
// over sending when a device on the path has lost the UDP flows of the first.
type tunnelSocket struct {
	address netip.AddrPort
	primary udp.Socket
	sender  atomic.Pointer[udp.Socket]
}

func newTunnelSocket(primary udp.Socket) *tunnelSocket {
	t := &tunnelSocket{address: udp.LocalAddress(primary), primary: primary}
	t.sender.Store(&primary)
	return t
}

// send drops the packet without an error if the kernel refuses it, since any
// network may lose packets.
func (t *tunnelSocket) send(datagram []byte, agent netip.AddrPort) {
	_, _ = (*t.sender.Load()).WriteToUDPAddrPort(datagram, agent)
}

// replaceSender makes s the sending socket and closes the one it replaces,
// unless that is the primary one, which stays open for agents' packets.
func (t *tunnelSocket) replaceSender(s udp.Socket) {
	old := *t.sender.Swap(&s)
	if old != t.primary {
		old.Close()
	}
}

func (t *tunnelSocket) close() {
	if sender := *t.sender.Load(); sender != t.primary {
		sender.Close()
	}
	t.primary.Close()
}
