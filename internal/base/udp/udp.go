// Package udp opens the UDP sockets of the data path. Of this module it imports
// only package errkind.
package udp

import (
	"net"
	"net/netip"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// socketBufferBytes is the size that is requested for the receive buffer and for
// the send buffer of a socket. It holds about 2,000 packets, a burst of a few
// milliseconds at full rate.
const socketBufferBytes = 4 << 20

// MaxDatagramBytes is the size in bytes of the largest datagram on the data
// path: an Ethernet payload and room for the tunnel header.
const MaxDatagramBytes = 2048

// Socket is the part of *net.UDPConn that the data path uses.
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// ListenFunc opens a socket, as Listen does. Tests and measurements replace it
// to observe the traffic.
type ListenFunc func(address netip.AddrPort) (Socket, error)

// Listen opens an IPv4 UDP socket. Errors have kind SettingInvalid, since the
// address comes from settings or from the configuration.
func Listen(address netip.AddrPort) (Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.SettingInvalid, "listen on UDP "+address.String())
	}
	// Errors are ignored, and the kernel may grant less: smaller buffers lose
	// packets only in bursts.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

// LocalAddress returns the address that s is bound to, as IPv4 if it is an
// IPv4-mapped IPv6 address.
func LocalAddress(s Socket) netip.AddrPort {
	a := s.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Unmap returns a with an IPv4-mapped IPv6 address converted to IPv4.
func Unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
