//go:build linux

package processtest

import (
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

const (
	// inForceBound is the design's bound for an accepted configuration to be in
	// force everywhere, and for the end of traffic to a failure domain that
	// goes out.
	inForceBound = 5 * time.Second
	// leadTime is the time until the planned change is due. The outage begins,
	// and a balancer starts, within it.
	leadTime = 10 * time.Second
	// outDomainIndex is the index of the failure domain that goes out. It holds
	// no balancer of the test.
	outDomainIndex = 2
	// freshBalancerIndex is the index of the balancer that starts during the
	// outage. It is in the failure domain of balancer 0.
	freshBalancerIndex = 3
)

// Guards against a fleet that can't serve without the platform: during an
// outage requests must be answered, a fresh balancer must learn the
// configuration from its seeds, and a planned change must come into force at
// its time. After the outage new changes must be accepted.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, gelDesk, 2, 3)
	load := d.startLoad(d.serviceAt(0), 20)
	name := d.domainAt(outDomainIndex).Name
	due := time.Now().Add(leadTime).Truncate(time.Second)
	d.mustRunCommand("domain", "out", name, "--at", due.Format(time.RFC3339))
	d.setOutage(true)

	d.startBalancer(freshBalancerIndex)
	eventually(t, waitLimit, "the fresh balancer knows every agent", func() bool { return d.hasConverged(3) })
	d.awaitLive(freshBalancerIndex, true)
	d.is.True(time.Now().Before(due)) // the fresh balancer started before the change
	d.awaitAnswers(load, 5)

	d.checkDomainOut(due)
	d.is.True(d.startCommand("domain", "back", name).waitExit(waitLimit) != 0)
	d.awaitAnswers(load, 10)
	d.setOutage(false)
	d.mustRunCommand("domain", "back", name)
	eventually(t, inForceBound, "the domain is back", func() bool { return d.hasConverged(3) })
	d.awaitAnswers(load, 10)
	d.finishLoadExcept(load, name)
}

// checkDomainOut checks that every balancer and the agent of the failure domain
// put the change in force within inForceBound of due, no balancer before due,
// and that no request starts at the domain's backend server after the bound.
func (d *deployment) checkDomainOut(due time.Time) {
	d.t.Helper()
	limit := time.Until(due) + inForceBound
	eventually(d.t, limit, "the change is in force at every balancer", func() bool { return d.hasConverged(2) })
	d.is.True(!time.Now().Before(due)) // not early
	eventually(d.t, time.Until(due)+inForceBound, "the change is in force at the agent", func() bool {
		return d.agents[outDomainIndex].eventCount(event.DomainOutActive) == 1
	})
	time.Sleep(time.Until(due.Add(inForceBound + time.Second)))
	last := d.backendLedger(outDomainIndex).LastStart
	d.is.True(!last.IsZero())
	d.is.True(last.Before(due.Add(inForceBound)))
}
