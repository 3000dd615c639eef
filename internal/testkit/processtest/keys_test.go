//go:build linux

package processtest

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
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

// newFlows is how many flows are opened to see where they end.
const newFlows = 20

// Guards against a process that takes part without the key ring: an agent with
// another one must be refused by the others, counted, and get no flow, even
// though it can announce itself to the platform.
func TestProcessWithoutKey(t *testing.T) {
	t.Parallel()
	s := newSite(t, gelDesk, 2, 2)
	own := s.keys
	s.keys = s.write("other-keys", "1:"+newSecret())
	s.startBackend(2)
	s.startAgent(2)
	s.keys = own

	eventually(t, patience, "the others refuse the agent", func() bool {
		return s.balancers[0].events(event.PeerRefused)+s.balancers[1].events(event.PeerRefused) > 0
	})
	eventually(t, patience, "the refusals are counted", func() bool {
		return s.metric(firstBalancerHost, "control.peer_unauthorized") > 0 || s.metric(firstBalancerHost+1, "control.peer_unauthorized") > 0
	})
	s.sendForeignHello(firstBalancerHost)
	eventually(t, patience, "foreign tunnel headers are counted", func() bool {
		return s.metric(firstBalancerHost, "balancer.drops.tunnel-tag") > 0
	})
	for n := range newFlows {
		f := s.open(s.service(2))
		a := f.catalogue(n)
		s.is.True(a.header.Get(backendHeader) != s.backendID(2))
	}
	s.is.Equal(len(s.ledger(2).Starts), 0)
}

// sendForeignHello sends a balancer a tunnel header of another key ring.
func (s *site) sendForeignHello(host int) {
	s.t.Helper()
	ring, err := keyring.Parse("1:" + newSecret())
	s.is.NoErr(err)
	var buf [tunnel.MaxSize]byte
	start := tunnel.NewCodec(ring).Prepend(buf[:], tunnel.MaxSize, &tunnel.Header{Type: tunnel.Hello})
	conn, err := net.Dial("udp4", s.at(host, tunnelPort))
	s.is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write(buf[start:])
	s.is.NoErr(err)
}

// announcementTime is longer than a balancer needs to read an announcement
// from the platform.
const announcementTime = 15 * time.Second

// Guards against a candidate that only the platform vouches for: an agent with
// another key ring announces itself there, and openings that are sent to it
// are lost until their callers send them again.
func TestAnnouncementWithoutKey(t *testing.T) {
	t.Parallel()
	s := newSite(t, gelDesk, 2, 2)
	own := s.keys
	s.keys = s.write("other-keys", "1:"+newSecret())
	s.startBackend(2)
	s.startAgent(2)
	s.keys = own
	for end := time.Now().Add(announcementTime); time.Now().Before(end); time.Sleep(pollInterval) {
		s.is.True(s.candidates(0) <= 2)
		s.is.True(s.candidates(1) <= 2)
	}
}
