//go:build linux

package processtest

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// Guards against a graceful shutdown that cuts off requests, exits with an
// error or takes longer than the shutdown grace: a balancer and an agent get
// SIGTERM under load, the agent while requests are in progress at its backend
// server.
func TestGracefulStopCutsNothing(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, gelDesk, 2, 3)
	load := d.startLoad(d.serviceAt(0), 20)
	longFeed := d.open(d.serviceAt(1)).openFeed()
	d.awaitAnswers(load, 10)

	d.balancers[0].signal(syscall.SIGTERM)
	d.is.Equal(d.balancers[0].waitExit(shutdownGrace), 0)
	d.awaitAnswers(load, 10)
	longFeed.awaitLines(d, 3)

	d.stopWithRequestsInProgress(0)
	d.awaitAnswers(load, 10)
	longFeed.awaitLines(d, 3)
	d.finishLoad(load)
}

// stopWithRequestsInProgress stops agent i with SIGTERM while orders are in
// progress at its backend server, which is frozen until the shutdown has begun,
// and checks that the orders complete.
func (d *deployment) stopWithRequestsInProgress(i int) {
	d.t.Helper()
	f := d.openToAgent(i)
	tickets := []string{f.requestTicket(), f.requestTicket()}
	answers := make(chan error)
	for n, ticket := range tickets {
		go func() { answers <- f.completeOrder(orderID(n), ticket) }()
	}
	eventually(d.t, waitLimit, "all orders have started", func() bool {
		return d.orderRuns(f.service, orderID(0)) == 1 && d.orderRuns(f.service, orderID(1)) == 1
	})
	d.backends[i].freeze()
	d.agents[i].signal(syscall.SIGTERM)
	eventually(d.t, waitLimit, "the agent stops", func() bool { return d.agents[i].eventCount(event.Stopping) > 0 })
	d.backends[i].signal(syscall.SIGCONT)
	for range tickets {
		d.is.NoErr(<-answers)
	}
	d.is.Equal(d.agents[i].waitExit(shutdownGrace), 0)
}

// completeOrder sends an order once and returns an error unless the outcome is
// done.
func (f *flow) completeOrder(id, ticket string) error {
	a, err := f.sendOrder(waitLimit, id, ticket, 1)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK || a.outcome != caller.Done {
		return fmt.Errorf("order %s: status %d, outcome %s", id, a.status, a.outcome)
	}
	return nil
}
