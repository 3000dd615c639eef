// Package ticket makes a caller's own retry of a request safe. An agent issues
// tickets; only the issuer runs or relays a ticketed request, at most once.
//
// The package is pure: the time comes in.
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

// purpose separates the ticket keys from other keys of the ring.
const purpose = "ticket"

// Ticket names one request of one caller.
type Ticket struct {
	Issuer      netip.AddrPort // peer address of the agent; IPv4
	Incarnation uint64         // of the issuer
	Serial      uint64         // unique in the incarnation
	IssuedAt    time.Time      // by the issuer's clock, whole milliseconds
}

// Layout of the encoded form: key ID, issuer address and port, incarnation,
// serial, issue time in milliseconds, tag.
const (
	addressAt     = 1
	portAt        = addressAt + 4
	incarnationAt = portAt + 2
	serialAt      = incarnationAt + 8
	issuedAt      = serialAt + 8
	tagAt         = issuedAt + 8
	tagSize       = 16
	size          = tagAt + tagSize
)

// Expired reports whether the ticket is too old at now.
func (t Ticket) Expired(now time.Time) bool { return now.Sub(t.IssuedAt) >= Lifetime }

// Encode returns the ticket's text form with a tag by key. The issuer must be
// an IPv4 address.
func (t Ticket) Encode(key keyring.Key) string {
	var b [size]byte
	b[0] = key.ID
	ip := t.Issuer.Addr().As4()
	copy(b[addressAt:], ip[:])
	binary.BigEndian.PutUint16(b[portAt:], t.Issuer.Port())
	binary.BigEndian.PutUint64(b[incarnationAt:], t.Incarnation)
	binary.BigEndian.PutUint64(b[serialAt:], t.Serial)
	binary.BigEndian.PutUint64(b[issuedAt:], uint64(t.IssuedAt.UnixMilli()))
	copy(b[tagAt:], tag(key, b[:tagAt]))
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// Parse verifies a ticket's text form. Its error has kind TicketInvalid.
func Parse(text string, ring *keyring.Ring) (Ticket, error) {
	if len(text) != base64.RawURLEncoding.EncodedLen(size) {
		return Ticket{}, errkind.New(errkind.TicketInvalid, "wrong length")
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Ticket{}, errkind.Wrap(err, errkind.TicketInvalid, "decode")
	}
	key, ok := ring.Lookup(b[0])
	if !ok || !hmac.Equal(tag(key, b[:tagAt]), b[tagAt:]) {
		return Ticket{}, errkind.New(errkind.TicketInvalid, "wrong tag")
	}
	return Ticket{
		Issuer:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[addressAt:portAt])), binary.BigEndian.Uint16(b[portAt:])),
		Incarnation: binary.BigEndian.Uint64(b[incarnationAt:]),
		Serial:      binary.BigEndian.Uint64(b[serialAt:]),
		IssuedAt:    time.UnixMilli(int64(binary.BigEndian.Uint64(b[issuedAt:]))),
	}, nil
}

func tag(key keyring.Key, data []byte) []byte {
	secret := key.Derive(purpose)
	mac := hmac.New(sha256.New, secret[:])
	mac.Write(data)
	return mac.Sum(nil)[:tagSize]
}
