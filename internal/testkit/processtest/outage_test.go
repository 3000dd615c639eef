//go:build linux

package processtest

import (
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

const (
	// inForceBound is the design's bound for an accepted configuration, a
	// failure domain that goes out, and the end of its traffic.
	inForceBound = 5 * time.Second
	// leadTime leaves time to begin the outage, and to start a balancer during
	// it, before the change is due.
	leadTime = 10 * time.Second
	// outDomain holds no balancer of the test.
	outDomain = 2
	// freshBalancer is in the failure domain of balancer 0.
	freshBalancer = 3
)

// Guards against a fleet that needs the platform to go on: during an outage
// requests are answered, a fresh balancer learns the configuration from its
// seeds, and a planned change comes into force by the clock. Afterwards new
// changes are accepted.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	s := newSite(t, gelDesk, 2, 3)
	load := s.load(s.service(0), 20)
	name := s.domain(outDomain).Name
	due := time.Now().Add(leadTime).Truncate(time.Second)
	s.operate("domain", "out", name, "--at", due.Format(time.RFC3339))
	s.outage(true)

	s.startBalancer(freshBalancer)
	eventually(t, patience, "the fresh balancer knows every agent", func() bool { return s.known(3) })
	s.awaitLive(freshBalancer, true)
	s.is.True(time.Now().Before(due)) // the fresh balancer started before the change
	s.goesOn(load, 5)

	s.awaitOut(due)
	s.is.True(s.command("domain", "back", name).exit(patience) != 0)
	s.goesOn(load, 10)
	s.outage(false)
	s.operate("domain", "back", name)
	eventually(t, inForceBound, "the domain is back", func() bool { return s.known(3) })
	s.goesOn(load, 10)
	s.finishBut(load, name)
}

// awaitOut waits until the out domain takes no part any more, and checks that
// this was within the bound and that its backend server got nothing later.
func (s *site) awaitOut(due time.Time) {
	s.t.Helper()
	limit := time.Until(due) + inForceBound
	eventually(s.t, limit, "every balancer has the domain out", func() bool { return s.known(2) })
	s.is.True(!time.Now().Before(due)) // not early
	eventually(s.t, time.Until(due)+inForceBound, "the agent has its domain out", func() bool {
		return s.agents[outDomain].events(event.DomainOutActive) == 1
	})
	time.Sleep(time.Until(due.Add(inForceBound + time.Second)))
	last := s.ledger(outDomain).LastStart
	s.is.True(!last.IsZero())
	s.is.True(last.Before(due.Add(inForceBound)))
}
