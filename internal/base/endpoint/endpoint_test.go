package endpoint

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against a change of the encoding, after which processes of different
// versions would decode each other's addresses wrongly.
func TestBytesAreFixed(t *testing.T) {
	is := is.New(t)
	a := netip.MustParseAddrPort("10.1.2.3:258")
	want := []byte{0xff, 10, 1, 2, 3, 1, 2}
	got := Append([]byte{0xff}, a)
	is.Equal(got, want)
	is.Equal(Get(got[1:]), a)
	is.Equal(Append(nil, netip.AddrPort{}), make([]byte, Size))
	is.Equal(Append(nil, netip.MustParseAddrPort("[::1]:80")), make([]byte, Size))
}
