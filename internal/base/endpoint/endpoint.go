// Package endpoint encodes an IPv4 address and port as fixed-length bytes, for
// packets between processes and as input to hashes and MACs. Processes of
// different versions exchange these bytes, so the encoding must not change. The
// package imports no other package of this module.
package endpoint

import (
	"encoding/binary"
	"net/netip"
)

// Size is the length of an encoded address in bytes: the IPv4 address and the
// port, big-endian.
const Size = 6

// Put encodes a into the first Size bytes of b. An address that is not IPv4 is
// encoded as zeros. b must have at least Size bytes.
func Put(b []byte, a netip.AddrPort) {
	if !a.Addr().Is4() {
		clear(b[:Size])
		return
	}
	ip := a.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

// Append appends the encoding of a (see Put) to b.
func Append(b []byte, a netip.AddrPort) []byte {
	var encoded [Size]byte
	Put(encoded[:], a)
	return append(b, encoded[:]...)
}

// Get decodes an address from the first Size bytes of b. b must have at
// least Size bytes.
func Get(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}
