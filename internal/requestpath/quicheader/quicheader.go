// Package quicheader reads the version-independent part of QUIC packet
// headers (RFC 8999), which is all that a balancer needs to steer a packet.
package quicheader

import "encoding/binary"

const (
	longHeaderBit = 0x80
	typeMask      = 0x30
	handshakeV1   = 0x20
	version1      = 1

	longPrefix      = 6 // first byte, version, length of the destination connection ID
	maxConnectionID = 20

	// MinOpeningSize is the smallest datagram that may open a flow. RFC 9000,
	// section 14.1, has servers discard smaller ones.
	MinOpeningSize = 1200
)

// Header is what the first bytes of a packet say.
type Header struct {
	Long      bool
	Handshake bool   // a handshake packet of QUIC version 1
	DCID      []byte // destination connection ID; aliases the packet
}

// Parse reads the header of the first packet in a datagram. shortIDSize is
// the length in bytes of the connection IDs in short headers. It reports false
// for a datagram that is not QUIC.
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
	if len(datagram) < longPrefix {
		return Header{}, false
	}
	size := int(datagram[5])
	if size > maxConnectionID || len(datagram) < longPrefix+size {
		return Header{}, false
	}
	isV1 := binary.BigEndian.Uint32(datagram[1:5]) == version1
	return Header{
		Long:      true,
		Handshake: isV1 && datagram[0]&typeMask == handshakeV1,
		DCID:      datagram[longPrefix : longPrefix+size],
	}, true
}
