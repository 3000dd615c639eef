// Package connid encodes and verifies the connection IDs that agents issue and
// that balancers steer packets by. It must not depend on sockets or on state
// of flows.
//
// An ID holds the agent's tunnel address, its failure domain and incarnation,
// a nonce and a keyed tag that also covers the service's address. A balancer
// therefore needs no flow table to steer a packet, and the tag of an ID that was
// forged or is used with another service doesn't verify.
package connid

import (
	"crypto/subtle"
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"

	"github.com/knapweedpier/knapweedpier/internal/base/endpoint"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
)

// Size is the length of a connection ID in bytes, the maximum in QUIC version 1.
const Size = 20

const (
	version   = 1
	keyIDMask = 0x0f
	tagOffset = 15
	tagSize   = Size - tagOffset
	// incarnationMask selects the 24 bits that fit into an ID.
	incarnationMask = 1<<24 - 1
)

// Fields are the contents of a connection ID.
type Fields struct {
	Agent       netip.AddrPort // IPv4 tunnel address
	Domain      uint8          // index of the failure domain
	Incarnation uint32         // IncarnationTag of the agent
	Nonce       uint32
}

// IncarnationTag hashes an incarnation to the 24 bits that an ID holds. The tags
// of two incarnations at one address differ with a probability of 1 - 2^-24.
func IncarnationTag(incarnation uint64) uint32 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], incarnation)
	return uint32(siphash.Hash(0, 0, b[:])) & incarnationMask
}

// Codec encodes and verifies IDs with the keys of one key ring. It is immutable
// and safe for concurrent use.
type Codec struct {
	macs keyring.MACs
}

// NewCodec derives the keys for connection IDs from ring.
func NewCodec(ring *keyring.Ring) *Codec {
	return &Codec{macs: ring.MACs("connection ID")}
}

// Encode returns the ID for f on a flow to service.
func (c *Codec) Encode(f Fields, service netip.AddrPort) [Size]byte {
	var id [Size]byte
	id[0] = version<<4 | c.macs.SigningID()
	endpoint.Put(id[1:7], f.Agent)
	id[7] = f.Domain
	id[8] = byte(f.Incarnation >> 16)
	id[9] = byte(f.Incarnation >> 8)
	id[10] = byte(f.Incarnation)
	binary.BigEndian.PutUint32(id[11:15], f.Nonce)
	tag, _ := c.computeTag(id[:tagOffset], service)
	copy(id[tagOffset:], tag[:])
	return id
}

// Decode verifies id for a flow to service and returns its contents. It
// reports false if the length, version, key or service doesn't match.
func (c *Codec) Decode(id []byte, service netip.AddrPort) (Fields, bool) {
	if len(id) != Size || id[0]>>4 != version {
		return Fields{}, false
	}
	tag, ok := c.computeTag(id[:tagOffset], service)
	if !ok || subtle.ConstantTimeCompare(tag[:], id[tagOffset:]) != 1 {
		return Fields{}, false
	}
	return Fields{
		Agent:       endpoint.Get(id[1:7]),
		Domain:      id[7],
		Incarnation: uint32(id[8])<<16 | uint32(id[9])<<8 | uint32(id[10]),
		Nonce:       binary.BigEndian.Uint32(id[11:15]),
	}, true
}

// computeTag returns the keyed tag over the encoded fields and the service's
// address. It uses the key whose ID is in the fields, and reports false if that
// key is not in the ring.
func (c *Codec) computeTag(fields []byte, service netip.AddrPort) ([tagSize]byte, bool) {
	var input [tagOffset + endpoint.Size]byte
	copy(input[:], fields)
	endpoint.Put(input[tagOffset:], service)
	var sum [8]byte
	mac, ok := c.macs.Sum(fields[0]&keyIDMask, input[:])
	binary.BigEndian.PutUint64(sum[:], mac)
	return [tagSize]byte(sum[:tagSize]), ok
}
