//go:build linux

package processtest

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/standin/fabric"
)

// frozenTime is how long a balancer is stopped.
const frozenTime = 5 * time.Second

// Guards against flow state in balancers, and against a balancer that needs
// the platform to start: one is killed during an outage, its successor starts
// with an empty table, and then carries all flows alone.
func TestKilledBalancer(t *testing.T) {
	t.Parallel()
	s := newSite(t, gelDesk, 2, 3)
	load := s.load(s.service(0), 20)
	f := s.open(s.service(1))
	long := f.feed()
	s.outage(true)

	s.balancers[0].kill()
	s.goesOn(load, 10)
	long.moves(s, 3)
	f.catalogue(1)

	s.startBalancer(0)
	eventually(t, patience, "the successor knows every agent", func() bool { return s.known(3) })
	s.awaitLive(0, true)
	s.balancers[1].kill()
	delete(s.balancers, 1)
	s.goesOn(load, 10)
	long.moves(s, 3)
	f.catalogue(2)
	s.open(s.service(0)).catalogue(3)
	s.finish(load)
}

// Guards against flows that depend on one balancer, and against a fabric that
// goes on sending to a balancer whose health check does not answer.
func TestFrozenBalancer(t *testing.T) {
	t.Parallel()
	s := newSite(t, gelDesk, 2, 3)
	load := s.load(s.service(0), 20)
	f := s.open(s.service(1))
	long := f.feed()

	s.balancers[0].freeze()
	thaw := time.After(frozenTime)
	s.awaitLive(0, false)
	for n := 0; !passed(thaw); n++ {
		f.catalogue(n)
		s.goesOn(load, 1)
		long.moves(s, 1)
	}
	s.balancers[0].signal(syscall.SIGCONT)
	s.awaitLive(0, true)
	long.moves(s, 3)
	f.catalogue(1)
	s.goesOn(load, 10)
	s.finish(load)
}

func passed(timer <-chan time.Time) bool {
	select {
	case <-timer:
		return true
	default:
		return false
	}
}

// awaitLive waits until the fabric counts balancer i as live or not.
func (s *site) awaitLive(i int, live bool) {
	s.t.Helper()
	eventually(s.t, patience, "the fabric sees the balancer's state", func() bool {
		for _, b := range s.fabricLedger().Balancers {
			if b.ID == s.host(firstBalancerHost+i).String() {
				return b.Live == live
			}
		}
		return false
	})
}

// fabricLedger asks the fabric for its ledger.
func (s *site) fabricLedger() fabric.Ledger {
	s.t.Helper()
	before := count(s.fabric, "\n")
	s.fabric.signal(syscall.SIGUSR1)
	eventually(s.t, patience, "the fabric prints its ledger", func() bool { return count(s.fabric, "\n") > before })
	lines := strings.Split(strings.TrimSpace(s.fabric.out.String()), "\n")
	var l fabric.Ledger
	s.is.NoErr(json.Unmarshal([]byte(lines[len(lines)-1]), &l))
	return l
}

// count returns how often a text was printed by a process.
func count(p *process, text string) int { return strings.Count(p.out.String(), text) }
