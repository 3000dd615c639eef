//go:build linux

package processtest

import (
	"os"
	"testing"

	"github.com/knapweedpier/knapweedpier/internal/event"
)

// Guards against a key rotation that cuts flows: every process changes from
// key A to key B, with A still accepted, while a feed runs.
func TestKeyRotation(t *testing.T) {
	t.Parallel()
	s := newSite(t, gelDesk, 2, 3)
	load := s.load(s.service(0), 20)
	f := s.open(s.service(1))
	long := f.feed()
	long.moves(s, 3)

	s.rotate("2:" + newSecret() + "," + s.ring())
	long.moves(s, 10)
	f.catalogue(1)
	s.open(s.service(1)).catalogue(2)
	s.goesOn(load, 10)
	s.finish(load)
}

// rotate replaces the key ring and waits until every process uses it.
func (s *site) rotate(ring string) {
	s.t.Helper()
	s.write("keys", ring)
	eventually(s.t, patience, "every process has the new key ring", func() bool {
		for _, p := range s.daemons() {
			if p.events(event.KeyRingReloaded) == 0 {
				return false
			}
		}
		return true
	})
}

func (s *site) daemons() []*process {
	all := append([]*process(nil), s.agents...)
	for _, b := range s.balancers {
		all = append(all, b)
	}
	return all
}

// ring returns the content of the key ring file.
func (s *site) ring() string {
	s.t.Helper()
	text, err := os.ReadFile(s.keys)
	s.is.NoErr(err)
	return string(text)
}
