package tunnel

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

func testCodec(t interface{ Fatal(...any) }, digit string) *Codec {
	ring, err := keyring.Parse("1:" + strings.Repeat(digit, 2*keyring.SecretSize))
	if err != nil {
		t.Fatal(err)
	}
	return NewCodec(ring)
}

func drawHeader(t *rapid.T) Header {
	addr := func(label string) netip.AddrPort {
		ip := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label)))
		return netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, label+" port"))
	}
	h := Header{
		Type:           Type(rapid.Uint8Range(uint8(Forward), uint8(HelloAck)).Draw(t, "type")),
		Hop:            rapid.Uint8Range(0, 3).Draw(t, "hop"),
		Caller:         addr("caller"),
		Service:        rapid.Uint32().Draw(t, "service"),
		Generation:     rapid.Uint64().Draw(t, "generation"),
		Load:           Load{rapid.Uint16().Draw(t, "in progress"), rapid.Uint16().Draw(t, "limit"), rapid.Uint16().Draw(t, "flows"), FlagCold},
		CandidateCount: rapid.Uint8Range(0, MaxCandidates).Draw(t, "count"),
	}
	for i := range int(h.CandidateCount) {
		h.Candidates[i] = addr("candidate")
	}
	return h
}

func encode(c *Codec, h *Header, payload []byte) []byte {
	buf := append(make([]byte, MaxSize), payload...)
	return buf[c.Prepend(buf, MaxSize, h):]
}

// Guards against a header whose fields change in encoding, or that is accepted
// after a change of any header bit, of the payload's length or of the key.
func TestOnlyTheExactHeaderVerifies(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		c := testCodec(t, "a")
		want := drawHeader(t)
		payload := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "payload")
		datagram := encode(c, &want, payload)
		var got Header
		gotPayload, kind := c.Parse(datagram, &got)
		if kind != 0 || got != want || !bytes.Equal(gotPayload, payload) {
			t.Fatalf("parsed %v %v, want %v", kind, got, want)
		}
		if _, kind := testCodec(t, "b").Parse(datagram, &got); kind != errkind.TunnelTag {
			t.Fatalf("kind %v with another key", kind)
		}
		if _, kind := c.Parse(append(datagram, 0), &got); kind == 0 {
			t.Fatal("accepted with a longer payload")
		}
		bit := rapid.IntRange(0, want.size()*8-1).Draw(t, "bit")
		datagram[bit/8] ^= 1 << (bit % 8)
		if _, kind := c.Parse(datagram, &got); kind == 0 {
			t.Fatalf("accepted with bit %d changed", bit)
		}
	})
}

// Guards against a panic, or a header longer than the datagram, on arbitrary
// input.
func FuzzParse(f *testing.F) {
	c := testCodec(f, "a")
	h := Header{Type: Forward, CandidateCount: 2}
	f.Add(encode(c, &h, []byte("payload")))
	f.Add([]byte{version, 1, 1, 0xff})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var h Header
		if _, kind := c.Parse(datagram, &h); kind == 0 && len(datagram) < h.size() {
			t.Fatal("accepted a truncated datagram")
		}
	})
}

// Guards against an allocation for each packet that is encoded or parsed.
func TestCodecDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	c := testCodec(t, "a")
	h := Header{Type: Forward, CandidateCount: 3, Caller: netip.MustParseAddrPort("127.0.0.1:5")}
	buf := make([]byte, MaxSize+1200)
	var got Header
	is.Equal(testing.AllocsPerRun(100, func() {
		start := c.Prepend(buf, MaxSize, &h)
		c.Parse(buf[start:], &got)
	}), 0.0)
}
