package keyring

import (
	"encoding/binary"

	"github.com/dchest/siphash"
)

// MACs computes SipHash-2-4 tags for one purpose with any accepted key. It is
// immutable and safe for concurrent use. Its methods do not allocate.
type MACs struct {
	signingID uint8
	keys      [keyIDCount]macKey
}

type macKey struct {
	k0, k1   uint64
	accepted bool
}

// MACs returns the MACs for purpose, with keys derived from the accepted keys.
func (r *Ring) MACs(purpose string) MACs {
	m := MACs{signingID: r.SigningKey().ID}
	for _, key := range r.keys {
		secret := key.Derive(purpose)
		m.keys[key.ID] = macKey{
			k0:       binary.LittleEndian.Uint64(secret[0:8]),
			k1:       binary.LittleEndian.Uint64(secret[8:16]),
			accepted: true,
		}
	}
	return m
}

// SigningID returns the ID of the signing key.
func (m *MACs) SigningID() uint8 { return m.signingID }

// Sum returns the tag of data with the key whose ID is id, or false if no such
// key is accepted.
func (m *MACs) Sum(id uint8, data []byte) (uint64, bool) {
	if id >= keyIDCount || !m.keys[id].accepted {
		return 0, false
	}
	return siphash.Hash(m.keys[id].k0, m.keys[id].k1, data), true
}
