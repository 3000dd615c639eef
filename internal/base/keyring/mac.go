package keyring

import (
	"encoding/binary"

	"github.com/dchest/siphash"
)

// MACs computes SipHash-2-4 tags for one purpose with any accepted key. It is
// immutable and safe for concurrent use; its methods do not allocate.
type MACs struct {
	signing uint8
	keys    [slots]macKey
}

type macKey struct {
	k0, k1 uint64
	valid  bool
}

// MACs derives the keys for purpose.
func (r *Ring) MACs(purpose string) MACs {
	m := MACs{signing: r.Signing().ID}
	for _, key := range r.keys {
		secret := key.Derive(purpose)
		m.keys[key.ID] = macKey{
			k0:    binary.LittleEndian.Uint64(secret[0:8]),
			k1:    binary.LittleEndian.Uint64(secret[8:16]),
			valid: true,
		}
	}
	return m
}

// SigningID returns the ID of the key that signs.
func (m *MACs) SigningID() uint8 { return m.signing }

// Sum returns the tag of data under the key with the given ID. It reports
// false for a key that is not accepted.
func (m *MACs) Sum(id uint8, data []byte) (uint64, bool) {
	if id >= slots || !m.keys[id].valid {
		return 0, false
	}
	return siphash.Hash(m.keys[id].k0, m.keys[id].k1, data), true
}
