package distribution

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
)

// Guards against accepting an announcement that was changed or that was written
// by a process without a key of the ring, and against rejecting one that is
// signed with the old key during a key rotation.
func TestAnnouncementSignatures(t *testing.T) {
	is := is.New(t)
	ring := func(text string) *keyring.Ring {
		r, err := keyring.Parse(text)
		is.NoErr(err)
		return r
	}
	oldKey, newKey := "1:"+strings.Repeat("a1", keyring.SecretSize), "2:"+strings.Repeat("b2", keyring.SecretSize)
	a := announcement{
		Record:      membership.Record{ID: "comptoir-1", Role: membership.RoleAgent, Tunnel: netip.MustParseAddrPort("127.0.0.1:9000"), Incarnation: 7},
		AnnouncedAt: time.Now(),
	}
	value, err := a.encode(ring(oldKey))
	is.NoErr(err)
	got, err := decodeAnnouncement(value, ring(newKey+","+oldKey))
	is.NoErr(err)
	is.Equal(got.Record, a.Record)

	_, err = decodeAnnouncement(value, ring(newKey))
	is.True(errkind.Is(err, errkind.PeerUnauthorized))
	changed := strings.Replace(string(value), "127.0.0.1:9000", "127.0.0.1:9001", 1)
	_, err = decodeAnnouncement([]byte(changed), ring(oldKey))
	is.True(errkind.Is(err, errkind.PeerUnauthorized))
	_, err = decodeAnnouncement([]byte(`{"id":"comptoir-1"}`), ring(oldKey))
	is.True(errkind.Is(err, errkind.PeerUnauthorized))
	_, err = decodeAnnouncement([]byte(`{`), ring(oldKey))
	is.True(errkind.Is(err, errkind.PeerMalformed))
}
