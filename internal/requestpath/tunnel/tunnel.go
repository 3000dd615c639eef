// Package tunnel encodes and verifies the header that precedes each packet
// which balancers and agents exchange over UDP. It must not depend on sockets.
//
// The header is authenticated by a keyed tag that also covers the length of
// the payload. The payload is a QUIC packet, which the endpoints of the flow
// authenticate themselves. Replayed headers are not detected: a replay can only
// repeat a packet, which QUIC discards, or a load report.
package tunnel

import (
	"crypto/subtle"
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"

	"github.com/knapweedpier/knapweedpier/internal/base/endpoint"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
)

// Type is the type of a datagram.
type Type uint8

// The datagram types.
const (
	Forward  Type = 1 // a caller's packet, towards an agent
	Return   Type = 2 // an agent's packet, towards a caller
	Hello    Type = 3 // an agent's heartbeat and load report, without payload
	HelloAck Type = 4 // a balancer's reply to Hello, without payload
)

// Flag is a set of bits that describe the sender's state.
type Flag uint8

// The flags.
const (
	FlagLeaving Flag = 1 << iota // the sender accepts no new work
	FlagCold                     // the sender's backend server is in a cold start
)

// Load is an agent's report on the load of its backend server.
type Load struct {
	InProgress uint16 // requests in progress
	Limit      uint16 // current limit of InProgress
	Flows      uint16 // open flows, capped at 65535
	Flags      Flag
}

// MaxCandidates is the maximum number of candidate agents in the header of a
// packet that opens a flow.
const MaxCandidates = 3

// Header precedes the payload of each datagram. Addresses are IPv4.
type Header struct {
	Type           Type
	Hop            uint8 // number of agents that have passed on a packet that opens a flow
	Caller         netip.AddrPort
	Service        uint32 // ServiceID of the service's address
	Generation     uint64 // of the configuration in force at the sender
	Load           Load
	Candidates     [MaxCandidates]netip.AddrPort // for a packet that opens a flow, in order of preference
	CandidateCount uint8                         // number of Candidates in use
}

const (
	version   = 1
	fixedSize = 29
	tagSize   = 8

	// MaxSize is the largest header in bytes.
	MaxSize = fixedSize + MaxCandidates*endpoint.Size + tagSize
)

// ServiceID hashes a service's address to 32 bits.
func ServiceID(service netip.AddrPort) uint32 {
	var b [endpoint.Size]byte
	endpoint.Put(b[:], service)
	return uint32(siphash.Hash(0, 0, b[:]))
}

// Codec encodes and verifies headers with the keys of one key ring. It is
// immutable and safe for concurrent use.
type Codec struct {
	macs keyring.MACs
}

// NewCodec derives the keys for tunnel headers from ring.
func NewCodec(ring *keyring.Ring) *Codec {
	return &Codec{macs: ring.MACs("tunnel")}
}

// size returns the encoded size in bytes.
func (h *Header) size() int {
	return fixedSize + int(h.CandidateCount)*endpoint.Size + tagSize
}

// Prepend writes h before buf[payloadStart:] and returns where the datagram
// starts. payloadStart must be at least MaxSize.
func (c *Codec) Prepend(buf []byte, payloadStart int, h *Header) int {
	start := payloadStart - h.size()
	b := buf[start:payloadStart]
	b[0] = version
	b[1] = c.macs.SigningID()
	b[2] = byte(h.Type)
	b[3] = h.Hop<<4 | h.CandidateCount
	endpoint.Put(b[4:10], h.Caller)
	binary.BigEndian.PutUint32(b[10:14], h.Service)
	binary.BigEndian.PutUint64(b[14:22], h.Generation)
	binary.BigEndian.PutUint16(b[22:24], h.Load.InProgress)
	binary.BigEndian.PutUint16(b[24:26], h.Load.Limit)
	binary.BigEndian.PutUint16(b[26:28], h.Load.Flows)
	b[28] = byte(h.Load.Flags)
	for i := range int(h.CandidateCount) {
		endpoint.Put(b[fixedSize+i*endpoint.Size:], h.Candidates[i])
	}
	signedSize := len(b) - tagSize
	tag, _ := c.computeTag(b[:signedSize], len(buf)-payloadStart)
	binary.BigEndian.PutUint64(b[signedSize:], tag)
	return start
}

// Parse verifies a datagram, fills h and returns the payload, which aliases
// the datagram. The kind is 0, TunnelMalformed or TunnelTag.
func (c *Codec) Parse(datagram []byte, h *Header) (payload []byte, kind errkind.Kind) {
	if len(datagram) < fixedSize+tagSize || datagram[0] != version {
		return nil, errkind.TunnelMalformed
	}
	h.Hop, h.CandidateCount = datagram[3]>>4, datagram[3]&0x0f
	h.Type = Type(datagram[2])
	if h.CandidateCount > MaxCandidates || len(datagram) < h.size() || h.Type < Forward || h.Type > HelloAck {
		return nil, errkind.TunnelMalformed
	}
	signedSize := h.size() - tagSize
	payload = datagram[h.size():]
	if !c.verify(datagram[:signedSize], len(payload), datagram[signedSize:h.size()]) {
		return nil, errkind.TunnelTag
	}
	h.Caller = endpoint.Get(datagram[4:10])
	h.Service = binary.BigEndian.Uint32(datagram[10:14])
	h.Generation = binary.BigEndian.Uint64(datagram[14:22])
	h.Load = Load{
		InProgress: binary.BigEndian.Uint16(datagram[22:24]),
		Limit:      binary.BigEndian.Uint16(datagram[24:26]),
		Flows:      binary.BigEndian.Uint16(datagram[26:28]),
		Flags:      Flag(datagram[28]),
	}
	for i := range int(h.CandidateCount) {
		h.Candidates[i] = endpoint.Get(datagram[fixedSize+i*endpoint.Size:])
	}
	return payload, 0
}

// computeTag returns the keyed tag over the header and the length of the payload.
// It uses the key whose ID is in the header, and reports false if that key is
// not in the ring.
func (c *Codec) computeTag(header []byte, payloadSize int) (uint64, bool) {
	var input [fixedSize + MaxCandidates*endpoint.Size + 2]byte
	n := copy(input[:], header)
	binary.BigEndian.PutUint16(input[n:], uint16(payloadSize))
	return c.macs.Sum(header[1], input[:n+2])
}

func (c *Codec) verify(header []byte, payloadSize int, tag []byte) bool {
	mac, ok := c.computeTag(header, payloadSize)
	var want [tagSize]byte
	binary.BigEndian.PutUint64(want[:], mac)
	return ok && subtle.ConstantTimeCompare(want[:], tag) == 1
}
