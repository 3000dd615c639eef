// Package flow names packet flows and the fields of a packet that decisions
// need. It knows no wire format: platform/ decodes packets into these types.
package flow

import (
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/endpoint"
	"github.com/knapweedpier/knapweedpier/internal/base/rendezvous"
)

// Key identifies a flow in both directions.
type Key struct {
	Caller  netip.AddrPort
	Service netip.AddrPort // the address that the caller asked for
}

// Hash returns the hash by which agents are ranked for the flow.
func (k Key) Hash() uint64 {
	var b [2 * endpoint.Size]byte
	endpoint.Put(b[:], k.Caller)
	endpoint.Put(b[endpoint.Size:], k.Service)
	return rendezvous.HashBytes(b[:])
}

// Flags says what a packet does in its flow.
type Flags uint8

// The flags of a packet.
const (
	Open    Flags = 1 << iota // opens the flow, in both directions
	Ack                       // the acknowledgement field is valid
	Close                     // the sender's direction ends
	Reset                     // the flow is broken off
	Bounced                   // the backend server returned the packet
)

// Packet is one packet of a flow, without its data.
type Packet struct {
	From, To netip.AddrPort
	Flags    Flags
	Mark     uint32 // free for the system between an agent and its backend server
	Length   int    // bytes of data
	Seq      uint32
	Ack      uint32
	// Status is the status of the answer that the packet starts, 0 if it shows
	// none.
	Status int
	// Age is how long ago the caller sent the first copy of an opening.
	Age time.Duration
}

// Has reports whether all of flags are set.
func (p Packet) Has(flags Flags) bool { return p.Flags&flags == flags }

// Opening reports whether the caller opens a flow with p.
func (p Packet) Opening() bool { return p.Has(Open) && !p.Has(Ack) }

// CallerKey returns the flow of a packet that a caller sent.
func (p Packet) CallerKey() Key { return Key{Caller: p.From, Service: p.To} }

// BackendKey returns the flow of a packet that a backend server sent.
func (p Packet) BackendKey() Key { return Key{Caller: p.To, Service: p.From} }
