package quicheader

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

const idSize = 20

// Guards against a wrongly parsed header, which would send packets of a flow to
// the wrong agent.
func TestParse(t *testing.T) {
	id := bytes.Repeat([]byte{7}, idSize)
	long := append([]byte{0xc0, 0, 0, 0, 1, 8}, id[:8]...)
	handshake := append([]byte{0xe0, 0, 0, 0, 1, idSize}, id...)
	for name, tc := range map[string]struct {
		datagram []byte
		want     Header
		ok       bool
	}{
		"short header":      {append([]byte{0x40}, id...), Header{DCID: id}, true},
		"short, cut":        {append([]byte{0x40}, id[1:]...), Header{}, false},
		"initial":           {long, Header{Long: true, DCID: id[:8]}, true},
		"handshake":         {handshake, Header{Long: true, Handshake: true, DCID: id}, true},
		"long, cut in ID":   {long[:10], Header{}, false},
		"long, cut in head": {long[:5], Header{}, false},
		"ID too long":       {append([]byte{0xc0, 0, 0, 0, 1, 21}, make([]byte, 30)...), Header{}, false},
		"empty":             {nil, Header{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, ok := Parse(tc.datagram, idSize)
			is.Equal(ok, tc.ok)
			is.Equal(got, tc.want)
		})
	}
}

// Guards against a panic, or a connection ID outside of the datagram, on
// arbitrary input.
func FuzzParse(f *testing.F) {
	f.Add([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Add([]byte{0x40, 1, 2, 3})
	f.Add([]byte{0xff, 0, 0, 0, 0, 255})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		h, ok := Parse(datagram, idSize)
		if ok && !bytes.Contains(datagram, h.DCID) {
			t.Fatal("connection ID is not part of the datagram")
		}
		if ok && len(h.DCID) > maxConnectionIDSize {
			t.Fatal("connection ID is too long")
		}
	})
}
