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

// Guards against a planned stop that cuts off requests, ends with a failure or
// outlasts its grace: a balancer and an agent get SIGTERM under load, the agent
// while its backend server holds requests in progress.
func TestGracefulStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t, gelDesk, 2, 3)
	load := s.load(s.service(0), 20)
	long := s.open(s.service(1)).feed()
	s.goesOn(load, 10)

	s.balancers[0].signal(syscall.SIGTERM)
	s.is.Equal(s.balancers[0].exit(grace), 0)
	s.goesOn(load, 10)
	long.moves(s, 3)

	s.stopWithRequestsInProgress(0)
	s.goesOn(load, 10)
	long.moves(s, 3)
	s.finish(load)
}

// stopWithRequestsInProgress stops agent i gracefully while orders wait for
// its frozen backend server.
func (s *site) stopWithRequestsInProgress(i int) {
	s.t.Helper()
	f := s.openAt(i)
	tickets := []string{f.ticket(), f.ticket()}
	answers := make(chan error)
	for n, ticket := range tickets {
		go func() { answers <- f.orderDone(orderID(n), ticket) }()
	}
	eventually(s.t, patience, "all orders have started", func() bool {
		return s.runs(f.service, orderID(0)) == 1 && s.runs(f.service, orderID(1)) == 1
	})
	s.backends[i].freeze()
	s.agents[i].signal(syscall.SIGTERM)
	eventually(s.t, patience, "the agent stops", func() bool { return s.agents[i].events(event.Stopping) > 0 })
	s.backends[i].signal(syscall.SIGCONT)
	for range tickets {
		s.is.NoErr(<-answers)
	}
	s.is.Equal(s.agents[i].exit(grace), 0)
}

// orderDone places an order once and returns an error unless it was done.
func (f *flow) orderDone(id, ticket string) error {
	a, err := f.order(patience, id, ticket, 1)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK || a.outcome != caller.Done {
		return fmt.Errorf("order %s: status %d, outcome %s", id, a.status, a.outcome)
	}
	return nil
}
