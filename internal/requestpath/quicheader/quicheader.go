// Package quicheader parses the version-independent part of QUIC packet headers
// (RFC 8999), and recognises handshake packets of QUIC version 1. That is all
// that a balancer needs to steer a packet. It must not depend on a QUIC
// implementation.
package quicheader

import "encoding/binary"

const (
	longHeaderBit   = 0x80
	typeMask        = 0x30
	handshakeTypeV1 = 0x20
	version1        = 1

	longPrefixSize      = 6 // bytes: first byte, version, length of the destination connection ID
	maxConnectionIDSize = 20

	// MinOpeningSize is the smallest datagram in bytes that may open a flow.
	// RFC 9000, section 14.1, requires servers to discard smaller ones.
	MinOpeningSize = 1200
)

// Header holds the fields of a packet header that steering depends on.
type Header struct {
	Long      bool   // long header form
	Handshake bool   // a handshake packet of QUIC version 1
	DCID      []byte // destination connection ID; aliases the packet
}

// Parse reads the header of the first packet in a datagram. shortIDSize is
// the length in bytes of the connection IDs in short headers, which don't state
// it. Parse reports false if the datagram is too short for its header or has a
// connection ID longer than 20 bytes.
func Parse(datagram []byte, shortIDSize int) (Header, bool) {
	if len(datagram) == 0 {
		return Header{}, false
	}
	if datagram[0]&longHeaderBit == 0 {
		return parseShort(datagram, shortIDSize)
	}
	return parseLong(datagram)
}

func parseShort(datagram []byte, shortIDSize int) (Header, bool) {
	if len(datagram) < 1+shortIDSize {
		return Header{}, false
	}
	return Header{DCID: datagram[1 : 1+shortIDSize]}, true
}

func parseLong(datagram []byte) (Header, bool) {
	if len(datagram) < longPrefixSize {
		return Header{}, false
	}
	size := int(datagram[5])
	if size > maxConnectionIDSize || len(datagram) < longPrefixSize+size {
		return Header{}, false
	}
	isV1 := binary.BigEndian.Uint32(datagram[1:5]) == version1
	return Header{
		Long:      true,
		Handshake: isV1 && datagram[0]&typeMask == handshakeTypeV1,
		DCID:      datagram[longPrefixSize : longPrefixSize+size],
	}, true
}
