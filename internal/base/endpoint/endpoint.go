// Package endpoint encodes an IPv4 address with its port for packets between
// processes, and for what is hashed or signed.
package endpoint

import (
	"encoding/binary"
	"net/netip"
)

// Size is the length of an encoded address in bytes: the IPv4 address and the
// port, big-endian.
const Size = 6

// Put writes a to the first Size bytes of b. An address that is not IPv4 is
// written as zeros.
func Put(b []byte, a netip.AddrPort) {
	if !a.Addr().Is4() {
		clear(b[:Size])
		return
	}
	ip := a.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

// Append appends a to b as Put writes it.
func Append(b []byte, a netip.AddrPort) []byte {
	var encoded [Size]byte
	Put(encoded[:], a)
	return append(b, encoded[:]...)
}

// Get reads an address from the first Size bytes of b.
func Get(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}
