// Package flow defines the key of a packet flow and the packet fields that
// balancers and agents decide by. It must not depend on a wire format: platform/
// decodes packets into these types.
package flow

import (
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/endpoint"
	"github.com/knapweedpier/knapweedpier/internal/base/rendezvous"
)

// OpeningCopyDelay is how long after an opening its caller sends the first copy.
const OpeningCopyDelay = 200 * time.Millisecond

// Key identifies a flow in both directions.
type Key struct {
	Caller  netip.AddrPort
	Service netip.AddrPort // the address that the caller asked for
}

// Hash returns the hash by which rendezvous hashing ranks agents for the flow.
func (k Key) Hash() uint64 {
	var b [2 * endpoint.Size]byte
	endpoint.Put(b[:], k.Caller)
	endpoint.Put(b[endpoint.Size:], k.Service)
	return rendezvous.HashBytes(b[:])
}

// Flags is the set of control flags of a packet.
type Flags uint8

// The flags of a packet.
const (
	Open    Flags = 1 << iota // opens the flow; set in the packets of both directions (SYN)
	Ack                       // the Ack field is valid (ACK)
	Close                     // the sender sends no more data (FIN)
	Reset                     // the flow is aborted (RST)
	Bounced                   // the backend server returned the packet undelivered
)

// Packet holds the header fields of one packet of a flow.
type Packet struct {
	From, To netip.AddrPort
	Flags    Flags
	Mark     uint32 // set by the agent; the backend server returns it in a bounced packet
	Length   int    // length of the data in bytes
	Seq      uint32
	Ack      uint32
	// Status is the HTTP status of the answer that starts in the packet, 0 if the
	// packet shows none.
	Status int
	// Age is the time since the caller sent the first copy of an opening packet.
	Age time.Duration
}

// Has reports whether all the given flags are set.
func (p Packet) Has(flags Flags) bool { return p.Flags&flags == flags }

// Opening reports whether p is an opening: the packet with which a caller opens
// a flow.
func (p Packet) Opening() bool { return p.Has(Open) && !p.Has(Ack) }

// CallerKey returns the key of the flow of a packet that a caller sent.
func (p Packet) CallerKey() Key { return Key{Caller: p.From, Service: p.To} }

// BackendKey returns the key of the flow of a packet that a backend server sent.
func (p Packet) BackendKey() Key { return Key{Caller: p.To, Service: p.From} }
