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

// freezeDuration is how long a balancer stays stopped by SIGSTOP.
const freezeDuration = 5 * time.Second

// Guards against flows that depend on state in a balancer, and against a
// balancer that can't start without the platform: a balancer is killed during a
// platform outage, its successor starts with an empty table, and after the
// other balancer is killed too it carries all flows alone.
func TestKilledBalancer(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, gelDesk, 2, 3)
	load := d.startLoad(d.serviceAt(0), 20)
	f := d.open(d.serviceAt(1))
	longFeed := f.openFeed()
	d.setOutage(true)

	d.balancers[0].kill()
	d.awaitAnswers(load, 10)
	longFeed.awaitLines(d, 3)
	f.getCatalogue(1)

	d.startBalancer(0)
	eventually(t, waitLimit, "the successor knows every agent", func() bool { return d.hasConverged(3) })
	d.awaitLive(0, true)
	d.balancers[1].kill()
	delete(d.balancers, 1)
	d.awaitAnswers(load, 10)
	longFeed.awaitLines(d, 3)
	f.getCatalogue(2)
	d.open(d.serviceAt(0)).getCatalogue(3)
	d.finishLoad(load)
}

// Guards against flows that depend on one balancer, and against a fabric that
// keeps sending to a balancer whose health check times out: a balancer is
// stopped with SIGSTOP, and continues later.
func TestFrozenBalancer(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, gelDesk, 2, 3)
	load := d.startLoad(d.serviceAt(0), 20)
	f := d.open(d.serviceAt(1))
	longFeed := f.openFeed()

	d.balancers[0].freeze()
	resume := time.After(freezeDuration)
	d.awaitLive(0, false)
	for n := 0; !expired(resume); n++ {
		f.getCatalogue(n)
		d.awaitAnswers(load, 1)
		longFeed.awaitLines(d, 1)
	}
	d.balancers[0].signal(syscall.SIGCONT)
	d.awaitLive(0, true)
	longFeed.awaitLines(d, 3)
	f.getCatalogue(1)
	d.awaitAnswers(load, 10)
	d.finishLoad(load)
}

// expired reports whether the timer has fired. It takes the value from the
// channel.
func expired(timer <-chan time.Time) bool {
	select {
	case <-timer:
		return true
	default:
		return false
	}
}

// awaitLive waits until the fabric considers balancer i live, or not live.
func (d *deployment) awaitLive(i int, live bool) {
	d.t.Helper()
	eventually(d.t, waitLimit, "the fabric sees the balancer's state", func() bool {
		for _, b := range d.fabricLedger().Balancers {
			if b.ID == d.host(firstBalancerHost+i).String() {
				return b.Live == live
			}
		}
		return false
	})
}

// fabricLedger makes the fabric print its ledger and returns it.
func (d *deployment) fabricLedger() fabric.Ledger {
	d.t.Helper()
	before := countOutput(d.fabric, "\n")
	d.fabric.signal(syscall.SIGUSR1)
	eventually(d.t, waitLimit, "the fabric prints its ledger", func() bool { return countOutput(d.fabric, "\n") > before })
	lines := strings.Split(strings.TrimSpace(d.fabric.out.String()), "\n")
	var l fabric.Ledger
	d.is.NoErr(json.Unmarshal([]byte(lines[len(lines)-1]), &l))
	return l
}

// countOutput returns how often a text occurs in the standard output of a
// process.
func countOutput(p *process, text string) int { return strings.Count(p.out.String(), text) }
