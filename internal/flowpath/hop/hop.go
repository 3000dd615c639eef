// Package hop encodes the messages that balancers and agents exchange: forwarded
// packets with the list of candidate agents to try in order, the answer of the
// agent that holds a flow, and hellos. It only encodes and decodes, and must not
// depend on sockets or on the format of the forwarded packets.
package hop

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/endpoint"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

// Type is the type of a message.
type Type uint8

// The message types.
const (
	Forward  Type = iota + 1 // carries a caller's packet to the candidates, one after the other
	Placed                   // the sender holds the flow, or has delivered its opening
	Declined                 // no candidate holds the flow or accepts it; returns the packet to the balancer
	Hello                    // asks a node whether it is reachable
	HelloAck                 // answers a hello; an agent adds its load
)

// MaxCandidates is the maximum number of agents that one message lists.
const MaxCandidates = 8

const (
	magic            = 0x6b
	reportHolderFlag = 1
	lastRoundFlag    = 2
	knownOnlyFlag    = 4
	openingFlag      = 8
	offeredFlag      = 16
	queryFlag        = 32
	fixedHeaderLen   = 20
	loadLen          = 8
	keyLen           = 2 * endpoint.Size
	placedLen        = fixedHeaderLen + keyLen + endpoint.Size + loadLen
	helloAckLen      = fixedHeaderLen + endpoint.Size + loadLen
)

// DatagramOverhead is the length of the IP and UDP headers of a datagram.
const DatagramOverhead = 28

// OfferWindow is the time in which balancers limit how many agents offer packets of a flow to
// their backend servers, and for which an agent reports an offer. It leaves time for one that
// is delivered late.
const OfferWindow = 2500 * time.Millisecond

// MaxHeader is the maximum length in bytes of the header before a forwarded
// packet.
const MaxHeader = fixedHeaderLen + MaxCandidates*endpoint.Size

// Load is the current load of an agent.
type Load struct {
	Flows      uint16 // open flows
	InProgress uint16 // requests whose answer has not started
	Slots      uint16 // maximum number of requests that the backend server processes concurrently
	Refusing   bool   // currently accepts no new flows, or only a few
	Stopping   bool   // the process ends soon, and the backend server runs on
}

// Message is one datagram between a balancer and an agent, or between two
// agents. Fields that a message type doesn't use are zero.
type Message struct {
	Type         Type
	ReportHolder bool   // the agent that holds the flow is to answer with Placed
	LastRound    bool   // all candidates were tried: the agent at Position accepts the flow even if it is busy
	KnownOnly    bool   // agents don't offer the packet of an unknown flow to their backend server; see Unsure
	Opening      bool   // Placed: the flow's opening was delivered, which other agents may have done too
	Offered      bool   // the packet, or an earlier one of its flow, was offered to backend servers that may not hold the flow
	Query        bool   // Forward, Declined: Packet is only the header of the caller's packet, and no agent delivers it
	Unsure       uint8  // bit i is set if the agent at index i of Candidates may hold the flow without knowing it
	Position     uint8  // index in Candidates of the agent that gets the message
	LeastLoaded  uint8  // 1 + the index of the least loaded agent that passed the flow on, 0 if none did
	LeastLoad    uint16 // the load of that agent, in units of flowgate's loadScale
	Service      uint32 // hash of the service that the flow belongs to
	Balancer     netip.AddrPort
	Candidates   []netip.AddrPort
	Key          flow.Key       // Placed
	Agent        netip.AddrPort // Placed, HelloAck: the sender
	Load         Load           // Placed, HelloAck
	Packet       []byte         // Forward, Declined: the caller's packet; aliases the datagram
}

// Append appends the encoding of m to b.
func (m *Message) Append(b []byte) []byte {
	flags := byte(0)
	if m.ReportHolder {
		flags |= reportHolderFlag
	}
	if m.LastRound {
		flags |= lastRoundFlag
	}
	if m.KnownOnly {
		flags |= knownOnlyFlag
	}
	if m.Opening {
		flags |= openingFlag
	}
	if m.Offered {
		flags |= offeredFlag
	}
	if m.Query {
		flags |= queryFlag
	}
	b = append(b, magic, byte(m.Type), flags, m.Position, byte(len(m.Candidates)), m.LeastLoaded, m.Unsure, 0)
	b = binary.BigEndian.AppendUint32(b, m.Service)
	b = endpoint.Append(b, m.Balancer)
	b = binary.BigEndian.AppendUint16(b, m.LeastLoad)
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

// Decode decodes a datagram into m, whose Packet then aliases b. Errors have kind
// TunnelMalformed.
func Decode(b []byte, m *Message) error {
	if len(b) < fixedHeaderLen || b[0] != magic {
		return errkind.New(errkind.TunnelMalformed, "datagram is too short or is not a message between nodes")
	}
	count := int(b[4])
	*m = Message{
		Type:         Type(b[1]),
		ReportHolder: b[2]&reportHolderFlag != 0,
		LastRound:    b[2]&lastRoundFlag != 0,
		KnownOnly:    b[2]&knownOnlyFlag != 0,
		Opening:      b[2]&openingFlag != 0,
		Offered:      b[2]&offeredFlag != 0,
		Query:        b[2]&queryFlag != 0,
		Unsure:       b[6],
		Position:     b[3],
		LeastLoaded:  b[5],
		Service:      binary.BigEndian.Uint32(b[8:]),
		Balancer:     endpoint.Get(b[12:]),
		LeastLoad:    binary.BigEndian.Uint16(b[18:]),
		Candidates:   m.Candidates[:0],
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
	return errkind.Errorf(errkind.TunnelMalformed, "unknown message type %d", b[1])
}

func (m *Message) decodePlaced(b []byte) error {
	if len(b) < placedLen {
		return errkind.New(errkind.TunnelMalformed, "placed message is too short")
	}
	rest := b[fixedHeaderLen:]
	m.Key = flow.Key{Caller: endpoint.Get(rest), Service: endpoint.Get(rest[endpoint.Size:])}
	m.Agent = endpoint.Get(rest[keyLen:])
	m.Load = decodeLoad(rest[keyLen+endpoint.Size:])
	return nil
}

func (m *Message) decodeHelloAck(b []byte) error {
	if len(b) < helloAckLen {
		return errkind.New(errkind.TunnelMalformed, "hello answer is too short")
	}
	m.Agent = endpoint.Get(b[fixedHeaderLen:])
	m.Load = decodeLoad(b[fixedHeaderLen+endpoint.Size:])
	return nil
}

func (m *Message) decodePacket(b []byte, count int) error {
	end := fixedHeaderLen + count*endpoint.Size
	if count > MaxCandidates || len(b) < end || int(m.Position) >= max(count, 1) || int(m.LeastLoaded) > count {
		return errkind.New(errkind.TunnelMalformed, "candidate list, position and datagram length are inconsistent")
	}
	if m.Query && !(m.ReportHolder && m.KnownOnly) {
		return errkind.New(errkind.TunnelMalformed, "query without the flags that request the holder and exclude offers")
	}
	for i := range count {
		m.Candidates = append(m.Candidates, endpoint.Get(b[fixedHeaderLen+i*endpoint.Size:]))
	}
	m.Packet = b[end:]
	return nil
}

// ForwardSize returns the length on the link of a Forward with a number of candidates and a
// packet of the given length.
func ForwardSize(candidates, packetLen int) int {
	return DatagramOverhead + fixedHeaderLen + candidates*endpoint.Size + packetLen
}

func appendLoad(b []byte, l Load) []byte {
	b = binary.BigEndian.AppendUint16(b, l.Flows)
	b = binary.BigEndian.AppendUint16(b, l.InProgress)
	b = binary.BigEndian.AppendUint16(b, l.Slots)
	return append(b, flagByte(l.Refusing), flagByte(l.Stopping))
}

func flagByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func decodeLoad(b []byte) Load {
	return Load{
		Flows:      binary.BigEndian.Uint16(b),
		InProgress: binary.BigEndian.Uint16(b[2:]),
		Slots:      binary.BigEndian.Uint16(b[4:]),
		Refusing:   b[6] == 1,
		Stopping:   b[7] == 1,
	}
}
