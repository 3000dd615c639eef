// Package udp opens the UDP sockets of the data path.
package udp

import (
	"net"
	"net/netip"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// bufferSize is asked of the kernel for each direction of a socket. It holds
// about 2,000 packets, a burst of a few milliseconds at full rate.
const bufferSize = 4 << 20

// MaxDatagram is the largest datagram in bytes that the data path carries: an
// Ethernet payload with room for the tunnel header.
const MaxDatagram = 2048

// Socket is what the data path needs of a UDP socket.
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// ListenFunc opens a socket. Tests and measurements replace it to observe the
// traffic.
type ListenFunc func(address netip.AddrPort) (Socket, error)

// Listen opens an IPv4 UDP socket. Errors have kind SettingInvalid, since the
// address comes from settings or from the configuration.
func Listen(address netip.AddrPort) (Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.SettingInvalid, "listen on UDP "+address.String())
	}
	// The kernel may grant less, which costs packets in bursts only.
	_ = conn.SetReadBuffer(bufferSize)
	_ = conn.SetWriteBuffer(bufferSize)
	return conn, nil
}

// LocalAddress returns the address that s is bound to.
func LocalAddress(s Socket) netip.AddrPort {
	a := s.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Unmap returns a with an IPv4-mapped IPv6 address turned into IPv4.
func Unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
