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

// Guards against a key rotation that breaks flows: every process changes its
// signing key from A to B, and still accepts A, while a feed is open.
func TestKeyRotation(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, gelDesk, 2, 3)
	load := d.startLoad(d.serviceAt(0), 20)
	f := d.open(d.serviceAt(1))
	longFeed := f.openFeed()
	longFeed.awaitLines(d, 3)

	d.rotateKeys("2:" + newSecret() + "," + d.readKeyRing())
	longFeed.awaitLines(d, 10)
	f.getCatalogue(1)
	d.open(d.serviceAt(1)).getCatalogue(2)
	d.awaitAnswers(load, 10)
	d.finishLoad(load)
}

// rotateKeys replaces the key ring and waits until every process has reloaded
// it.
func (d *deployment) rotateKeys(ring string) {
	d.t.Helper()
	d.writeFile("keys", ring)
	eventually(d.t, waitLimit, "every process has the new key ring", func() bool {
		for _, p := range d.daemons() {
			if p.eventCount(event.KeyRingReloaded) == 0 {
				return false
			}
		}
		return true
	})
}

// daemons returns the processes of all agents and balancers.
func (d *deployment) daemons() []*process {
	all := append([]*process(nil), d.agents...)
	for _, b := range d.balancers {
		all = append(all, b)
	}
	return all
}

// readKeyRing returns the content of the key ring file.
func (d *deployment) readKeyRing() string {
	d.t.Helper()
	text, err := os.ReadFile(d.keysFile)
	d.is.NoErr(err)
	return string(text)
}

// probeFlows is how many flows are opened to check which agents accept them.
const probeFlows = 20

// Guards against a process that joins the fleet without its key ring: the other
// processes must refuse an agent with another key ring, count the refusals and
// send it no flow, although it can announce itself to the platform.
func TestProcessWithoutKey(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, gelDesk, 2, 2)
	ownKeysFile := d.keysFile
	d.keysFile = d.writeFile("other-keys", "1:"+newSecret())
	d.startBackend(2)
	d.startAgent(2)
	d.keysFile = ownKeysFile

	eventually(t, waitLimit, "the others refuse the agent", func() bool {
		return d.balancers[0].eventCount(event.PeerRefused)+d.balancers[1].eventCount(event.PeerRefused) > 0
	})
	eventually(t, waitLimit, "the refusals are counted", func() bool {
		return d.metric(firstBalancerHost, "control.peer_unauthorized") > 0 || d.metric(firstBalancerHost+1, "control.peer_unauthorized") > 0
	})
	d.sendHelloWithOtherKey(firstBalancerHost)
	eventually(t, waitLimit, "tunnel headers of another key ring are counted", func() bool {
		return d.metric(firstBalancerHost, "balancer.drops.tunnel-tag") > 0
	})
	for n := range probeFlows {
		f := d.open(d.serviceAt(2))
		a := f.getCatalogue(n)
		d.is.True(a.header.Get(backendHeader) != d.backendID(2))
	}
	d.is.Equal(len(d.backendLedger(2).Starts), 0)
}

// sendHelloWithOtherKey sends a balancer a tunnel hello that is signed with a
// key of another key ring.
func (d *deployment) sendHelloWithOtherKey(host int) {
	d.t.Helper()
	ring, err := keyring.Parse("1:" + newSecret())
	d.is.NoErr(err)
	var buf [tunnel.MaxSize]byte
	start := tunnel.NewCodec(ring).Prepend(buf[:], tunnel.MaxSize, &tunnel.Header{Type: tunnel.Hello})
	conn, err := net.Dial("udp4", d.address(host, tunnelPort))
	d.is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write(buf[start:])
	d.is.NoErr(err)
}

// announcementWait is longer than a balancer needs to read an announcement
// from the platform.
const announcementWait = 15 * time.Second

// Guards against a candidate table that holds an agent known only from its
// announcement in the platform: an agent with another key ring can announce
// itself there, and openings sent to it are lost until their callers send them
// again.
func TestAnnouncementWithoutKey(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, gelDesk, 2, 2)
	ownKeysFile := d.keysFile
	d.keysFile = d.writeFile("other-keys", "1:"+newSecret())
	d.startBackend(2)
	d.startAgent(2)
	d.keysFile = ownKeysFile
	for deadline := time.Now().Add(announcementWait); time.Now().Before(deadline); time.Sleep(pollInterval) {
		d.is.True(d.candidateCount(0) <= 2)
		d.is.True(d.candidateCount(1) <= 2)
	}
}
