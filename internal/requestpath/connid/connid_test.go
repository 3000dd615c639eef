package connid

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

var (
	oldKey   = "3:" + strings.Repeat("a1", keyring.SecretSize)
	newKey   = "4:" + strings.Repeat("b2", keyring.SecretSize)
	serviceA = netip.MustParseAddrPort("127.0.0.1:7001")
	serviceB = netip.MustParseAddrPort("127.0.0.1:7002")
)

func testCodec(t interface{ Fatal(...any) }, keys string) *Codec {
	ring, err := keyring.Parse(keys)
	if err != nil {
		t.Fatal(err)
	}
	return NewCodec(ring)
}

func drawFields(t *rapid.T) Fields {
	ip := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip")))
	return Fields{
		Agent:       netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port")),
		Domain:      rapid.Uint8().Draw(t, "domain"),
		Incarnation: IncarnationTag(rapid.Uint64().Draw(t, "incarnation")),
		Nonce:       rapid.Uint32().Draw(t, "nonce"),
	}
}

// Guards against an ID whose fields change in encoding, or that verifies for
// another service or after any of its bits was changed.
func TestOnlyTheExactIDVerifies(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		c := testCodec(t, oldKey)
		f := drawFields(t)
		id := c.Encode(f, serviceA)
		got, ok := c.Decode(id[:], serviceA)
		if !ok || got != f {
			t.Fatalf("decoded %v %v, want %v", got, ok, f)
		}
		if _, ok := c.Decode(id[:], serviceB); ok {
			t.Fatal("verified for another service")
		}
		bit := rapid.IntRange(0, Size*8-1).Draw(t, "bit")
		id[bit/8] ^= 1 << (bit % 8)
		if _, ok := c.Decode(id[:], serviceA); ok {
			t.Fatalf("verified with bit %d changed", bit)
		}
	})
}

// Guards against a key rotation that breaks established flows because IDs that
// were signed with the old key no longer verify.
func TestKeyRotationKeepsOldIDsValid(t *testing.T) {
	is := is.New(t)
	f := Fields{Agent: serviceA}
	id := testCodec(t, oldKey).Encode(f, serviceA)
	_, ok := testCodec(t, newKey+","+oldKey).Decode(id[:], serviceA)
	is.True(ok)
	_, ok = testCodec(t, newKey).Decode(id[:], serviceA)
	is.True(!ok)
}

// Guards against allocations in Decode, which runs for each packet.
func TestDecodeDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	c := testCodec(t, oldKey)
	id := c.Encode(Fields{Agent: serviceA}, serviceA)
	is.Equal(testing.AllocsPerRun(100, func() { c.Decode(id[:], serviceA) }), 0.0)
}
