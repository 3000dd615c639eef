// Package hop encodes what balancers and agents tell each other about a
// packet of a flow: the agents that may hold the flow, in the order in which
// they are to be asked, and the answer of the one that does.
package hop

import (
	"encoding/binary"
	"net/netip"

	"github.com/knapweedpier/knapweedpier/internal/base/endpoint"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

// Type says what a message is.
type Type uint8

// The messages between balancers and agents.
const (
	Forward  Type = iota + 1 // a caller's packet for the agents of its list
	Placed                   // the sender holds the flow
	Declined                 // no agent of the list holds or takes the flow; carries the packet
	Hello                    // asks an agent whether it is there
	HelloAck                 // answers a hello with the agent's load
)

// MaxCandidates is the number of agents that one message lists at most.
const MaxCandidates = 8

const (
	magic       = 0x6b
	askFlag     = 1
	finalFlag   = 2
	fixedLen    = 20
	loadLen     = 8
	keyLen      = 2 * endpoint.Size
	placedLen   = fixedLen + keyLen + endpoint.Size + loadLen
	helloAckLen = fixedLen + endpoint.Size + loadLen
)

// MaxHeader is the largest number of bytes before a forwarded packet.
const MaxHeader = fixedLen + MaxCandidates*endpoint.Size

// Load is what an agent bears at a moment.
type Load struct {
	Flows      uint16 // open flows
	InProgress uint16 // requests without the start of an answer
	Slots      uint16 // requests that the backend server works on at a time
	Refusing   bool   // takes no new flows now
}

// Message is one datagram between a balancer and an agent, or between two
// agents. Fields that a type doesn't use are zero.
type Message struct {
	Type       Type
	Ask        bool   // the balancer wants to be told who holds the flow
	Final      bool   // all candidates were asked: the one that is asked now takes the flow even if it is busy
	Position   uint8  // index in Candidates of the agent that is asked now
	Best       uint8  // 1 + the index of the least busy agent that passed the flow on, 0 if none did
	BestLoad   uint16 // the load of that agent; see flowgate
	Service    uint32 // hash of the service that the flow belongs to
	Balancer   netip.AddrPort
	Candidates []netip.AddrPort
	Key        flow.Key       // Placed
	Agent      netip.AddrPort // Placed, HelloAck: the sender
	Load       Load           // Placed, HelloAck
	Packet     []byte         // Forward, Declined: the caller's packet; aliases the datagram
}

// Append appends the encoding of m to b.
func (m *Message) Append(b []byte) []byte {
	flags := byte(0)
	if m.Ask {
		flags |= askFlag
	}
	if m.Final {
		flags |= finalFlag
	}
	b = append(b, magic, byte(m.Type), flags, m.Position, byte(len(m.Candidates)), m.Best)
	b = append(b, 0, 0)
	b = binary.BigEndian.AppendUint32(b, m.Service)
	b = endpoint.Append(b, m.Balancer)
	b = binary.BigEndian.AppendUint16(b, m.BestLoad)
	switch m.Type {
	case Placed:
		b = endpoint.Append(b, m.Key.Caller)
		b = endpoint.Append(b, m.Key.Service)
		b = endpoint.Append(b, m.Agent)
		return appendLoad(b, m.Load)
	case HelloAck:
		b = endpoint.Append(b, m.Agent)
		return appendLoad(b, m.Load)
	}
	for _, c := range m.Candidates {
		b = endpoint.Append(b, c)
	}
	return append(b, m.Packet...)
}

// Decode reads a datagram. The message aliases b. Errors have kind
// TunnelMalformed.
func Decode(b []byte, m *Message) error {
	if len(b) < fixedLen || b[0] != magic {
		return errkind.New(errkind.TunnelMalformed, "not a message between nodes")
	}
	count := int(b[4])
	*m = Message{
		Type:       Type(b[1]),
		Ask:        b[2]&askFlag != 0,
		Final:      b[2]&finalFlag != 0,
		Position:   b[3],
		Best:       b[5],
		Service:    binary.BigEndian.Uint32(b[8:]),
		Balancer:   endpoint.Get(b[12:]),
		BestLoad:   binary.BigEndian.Uint16(b[18:]),
		Candidates: m.Candidates[:0],
	}
	switch m.Type {
	case Placed:
		return m.decodePlaced(b)
	case HelloAck:
		return m.decodeHelloAck(b)
	case Hello:
		return nil
	case Forward, Declined:
		return m.decodePacket(b, count)
	}
	return errkind.Errorf(errkind.TunnelMalformed, "message type %d", b[1])
}

func (m *Message) decodePlaced(b []byte) error {
	if len(b) < placedLen {
		return errkind.New(errkind.TunnelMalformed, "short placement")
	}
	rest := b[fixedLen:]
	m.Key = flow.Key{Caller: endpoint.Get(rest), Service: endpoint.Get(rest[endpoint.Size:])}
	m.Agent = endpoint.Get(rest[keyLen:])
	m.Load = load(rest[keyLen+endpoint.Size:])
	return nil
}

func (m *Message) decodeHelloAck(b []byte) error {
	if len(b) < helloAckLen {
		return errkind.New(errkind.TunnelMalformed, "short hello answer")
	}
	m.Agent = endpoint.Get(b[fixedLen:])
	m.Load = load(b[fixedLen+endpoint.Size:])
	return nil
}

func (m *Message) decodePacket(b []byte, count int) error {
	end := fixedLen + count*endpoint.Size
	if count > MaxCandidates || len(b) < end || int(m.Position) >= max(count, 1) || int(m.Best) > count {
		return errkind.New(errkind.TunnelMalformed, "candidate list and length disagree")
	}
	for i := range count {
		m.Candidates = append(m.Candidates, endpoint.Get(b[fixedLen+i*endpoint.Size:]))
	}
	m.Packet = b[end:]
	return nil
}

func appendLoad(b []byte, l Load) []byte {
	b = binary.BigEndian.AppendUint16(b, l.Flows)
	b = binary.BigEndian.AppendUint16(b, l.InProgress)
	b = binary.BigEndian.AppendUint16(b, l.Slots)
	if l.Refusing {
		return append(b, 1, 0)
	}
	return append(b, 0, 0)
}

func load(b []byte) Load {
	return Load{
		Flows:      binary.BigEndian.Uint16(b),
		InProgress: binary.BigEndian.Uint16(b[2:]),
		Slots:      binary.BigEndian.Uint16(b[4:]),
		Refusing:   b[6] == 1,
	}
}
