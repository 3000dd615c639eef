// Package keyring parses the shared secrets of the fleet and derives from them
// the keys for connection IDs, tunnel headers, tickets, stateless resets and
// peer TLS. It opens no files: package settings reads and re-reads them. Of this
// module it imports only package errkind.
package keyring

import (
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// SecretSize is the length of a secret in bytes.
const SecretSize = 32

// keyIDCount is the number of possible key IDs: a connection ID has four bits
// for the key ID.
const keyIDCount = 16

// maxKeys is the number of keys accepted at once: the signing key and, during a
// rotation, its predecessor or successor.
const maxKeys = 2

// Key is one shared secret.
type Key struct {
	ID     uint8 // 0 to 15
	Secret [SecretSize]byte
}

// Ring is a key ring: the accepted keys, the signing key first. It is immutable.
type Ring struct {
	keys []Key
}

// Parse reads "id:hex" pairs separated by commas; the first is the signing key.
// IDs are 0 to 15, secrets 32 bytes in hexadecimal. Errors have kind
// KeyRingInvalid and never contain a secret.
func Parse(s string) (*Ring, error) {
	parts := strings.Split(strings.TrimSpace(s), ",")
	if len(parts) > maxKeys {
		return nil, errkind.Errorf(errkind.KeyRingInvalid, "%d keys, at most %d are accepted at once", len(parts), maxKeys)
	}
	ring := &Ring{}
	for i, part := range parts {
		key, err := parseKey(strings.TrimSpace(part))
		if err != nil {
			return nil, errkind.Wrap(err, errkind.KeyRingInvalid, "key "+strconv.Itoa(i+1))
		}
		if _, ok := ring.Lookup(key.ID); ok {
			return nil, errkind.Errorf(errkind.KeyRingInvalid, "key ID %d is listed twice", key.ID)
		}
		ring.keys = append(ring.keys, key)
	}
	return ring, nil
}

func parseKey(s string) (Key, error) {
	idText, secretText, ok := strings.Cut(s, ":")
	if !ok {
		return Key{}, errkind.New(errkind.KeyRingInvalid, "expected id:hex")
	}
	id, err := strconv.ParseUint(idText, 10, 8)
	if err != nil || id >= keyIDCount {
		return Key{}, errkind.Errorf(errkind.KeyRingInvalid, "key ID must be 0 to %d", keyIDCount-1)
	}
	secret, err := hex.DecodeString(secretText)
	if err != nil || len(secret) != SecretSize {
		return Key{}, errkind.Errorf(errkind.KeyRingInvalid, "secret must be %d bytes in hexadecimal", SecretSize)
	}
	key := Key{ID: uint8(id)}
	copy(key.Secret[:], secret)
	return key, nil
}

// SigningKey returns the key that signs new tags.
func (r *Ring) SigningKey() Key { return r.keys[0] }

// Keys returns the accepted keys, the signing one first.
func (r *Ring) Keys() []Key { return append([]Key(nil), r.keys...) }

// Lookup returns the accepted key whose ID equals id modulo 16.
func (r *Ring) Lookup(id uint8) (Key, bool) {
	for _, key := range r.keys {
		if key.ID == id%keyIDCount {
			return key, true
		}
	}
	return Key{}, false
}

// Derive derives a 32-byte key for purpose with HKDF-SHA256. Keys for different
// purposes are independent.
func (k Key) Derive(purpose string) [SecretSize]byte {
	out, err := hkdf.Key(sha256.New, k.Secret[:], nil, "knapweedpier "+purpose, SecretSize)
	if err != nil {
		panic("keyring: " + err.Error()) // only possible for an output longer than HKDF allows
	}
	return [SecretSize]byte(out)
}
