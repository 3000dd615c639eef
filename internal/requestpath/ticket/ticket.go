// Package ticket implements idempotency tickets, which let a caller safely retry
// a request. An agent issues tickets; only the issuer runs or relays a ticketed
// request, at most once.
//
// The package does no I/O and reads no clock: callers pass the time in.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
)

// Lifetime is how long a ticket can be used after it was issued.
const Lifetime = 10 * time.Minute

// keyPurpose separates the keys derived for tickets from other keys derived
// from the key ring.
const keyPurpose = "ticket"

// Ticket identifies one request of one caller.
type Ticket struct {
	Issuer      netip.AddrPort // peer address of the agent; IPv4
	Incarnation uint64         // of the issuer
	Serial      uint64         // unique within the incarnation
	IssuedAt    time.Time      // by the issuer's clock, whole milliseconds
}

// Byte offsets and sizes of the encoded form: key ID, issuer address and port,
// incarnation, serial, issue time in milliseconds, authentication tag.
const (
	addressOffset     = 1
	portOffset        = addressOffset + 4
	incarnationOffset = portOffset + 2
	serialOffset      = incarnationOffset + 8
	issuedAtOffset    = serialOffset + 8
	tagOffset         = issuedAtOffset + 8
	tagSize           = 16
	encodedSize       = tagOffset + tagSize
)

// Expired reports whether the ticket's lifetime has passed at now.
func (t Ticket) Expired(now time.Time) bool { return now.Sub(t.IssuedAt) >= Lifetime }

// Encode returns the ticket's text form authenticated with key. The issuer must be
// an IPv4 address.
func (t Ticket) Encode(key keyring.Key) string {
	var b [encodedSize]byte
	b[0] = key.ID
	ip := t.Issuer.Addr().As4()
	copy(b[addressOffset:], ip[:])
	binary.BigEndian.PutUint16(b[portOffset:], t.Issuer.Port())
	binary.BigEndian.PutUint64(b[incarnationOffset:], t.Incarnation)
	binary.BigEndian.PutUint64(b[serialOffset:], t.Serial)
	binary.BigEndian.PutUint64(b[issuedAtOffset:], uint64(t.IssuedAt.UnixMilli()))
	copy(b[tagOffset:], computeTag(key, b[:tagOffset]))
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// Parse decodes a ticket's text form and verifies its authentication tag. Its
// errors have kind TicketInvalid.
func Parse(text string, ring *keyring.Ring) (Ticket, error) {
	if len(text) != base64.RawURLEncoding.EncodedLen(encodedSize) {
		return Ticket{}, errkind.New(errkind.TicketInvalid, "ticket has the wrong length")
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Ticket{}, errkind.Wrap(err, errkind.TicketInvalid, "decode ticket")
	}
	key, ok := ring.Lookup(b[0])
	if !ok || !hmac.Equal(computeTag(key, b[:tagOffset]), b[tagOffset:]) {
		return Ticket{}, errkind.New(errkind.TicketInvalid, "unknown signing key or wrong authentication tag")
	}
	return Ticket{
		Issuer:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[addressOffset:portOffset])), binary.BigEndian.Uint16(b[portOffset:])),
		Incarnation: binary.BigEndian.Uint64(b[incarnationOffset:]),
		Serial:      binary.BigEndian.Uint64(b[serialOffset:]),
		IssuedAt:    time.UnixMilli(int64(binary.BigEndian.Uint64(b[issuedAtOffset:]))),
	}, nil
}

func computeTag(key keyring.Key, data []byte) []byte {
	secret := key.Derive(keyPurpose)
	mac := hmac.New(sha256.New, secret[:])
	mac.Write(data)
	return mac.Sum(nil)[:tagSize]
}
