//go:build linux

package processtest

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

const (
	// pauseDuration is longer than an agent's lease of 5 s.
	pauseDuration = 7 * time.Second
	// pausedOrders is how many orders are sent to a paused agent.
	pausedOrders = 8
	// pausedOrderTimeout is how long the callers of these orders wait: all of
	// them give up during the pause.
	pausedOrderTimeout = 1500 * time.Millisecond
	// observeDuration is how long the test waits after the pause for orders
	// that might still reach the backend server.
	observeDuration = time.Second
)

// Guards against orders that run although their callers have given up: they
// wait in the socket buffers of an agent that is paused for longer than its
// lease. After the pause the agent must serve new flows as a new incarnation.
func TestPausedAgent(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, gelDesk, 2, 3)
	f := d.openToAgent(0)
	var tickets []string
	for range pausedOrders {
		tickets = append(tickets, f.requestTicket())
	}

	d.agents[0].freeze()
	resume := time.After(pauseDuration)
	d.sendUntilTimeout(f, tickets)
	d.is.True(!expired(resume)) // all callers gave up during the pause
	<-resume
	d.agents[0].signal(syscall.SIGCONT)

	eventually(t, waitLimit, "the agent logs the pause", func() bool { return d.agents[0].eventCount(event.Fenced) == 1 })
	eventually(t, waitLimit, "the old flow has ended", func() bool { return f.conn.Context().Err() != nil })
	d.openToAgent(0).getCatalogue(1)
	time.Sleep(observeDuration)
	for n, ticket := range tickets {
		a, err := d.open(f.service).sendOrder(requestTimeout, orderID(n), ticket, 2)
		d.is.NoErr(err)
		d.is.Equal(a.outcome, caller.Unknown)
		d.is.Equal(d.orderRuns(f.service, orderID(n)), 0)
	}
}

// sendUntilTimeout sends an order for each ticket at the same time and checks
// that each times out.
func (d *deployment) sendUntilTimeout(f *flow, tickets []string) {
	d.t.Helper()
	failed := make(chan error)
	for n, ticket := range tickets {
		go func() {
			_, err := f.sendOrder(pausedOrderTimeout, orderID(n), ticket, 1)
			failed <- err
		}()
	}
	for range tickets {
		d.is.True(errors.Is(<-failed, context.DeadlineExceeded))
	}
}

// Guards against callers that wait for an agent that was killed, and against a
// successor that runs an order a second time or reports an order as not run
// although it may have run.
func TestKilledAgentAndSuccessor(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, gelDesk, 2, 3)
	f := d.openToAgent(1)
	sent, unsent := f.requestTicket(), f.requestTicket()
	d.is.NoErr(f.completeOrder("sent", sent))

	d.agents[1].kill()
	d.startAgent(1)
	eventually(t, waitLimit, "the successor is known", func() bool { return d.hasConverged(3) })
	_, err := f.send(requestTimeout, http.MethodGet, "/catalogue?caller=test&n=1", "")
	d.is.True(errors.As(err, new(*quic.StatelessResetError)))

	next := d.openToAgent(1)
	a, err := next.sendOrder(requestTimeout, "sent", sent, 2)
	d.is.NoErr(err)
	d.is.Equal(a.outcome, caller.Unknown)
	d.is.Equal(d.orderRuns(f.service, "sent"), 1)
	a, err = next.sendOrder(requestTimeout, "unsent", unsent, 1)
	d.is.NoErr(err)
	d.is.Equal(a.outcome, caller.NotRun)
	d.is.Equal(d.orderRuns(f.service, "unsent"), 0)
	d.is.NoErr(next.completeOrder("unsent", next.requestTicket()))
	d.is.Equal(d.orderRuns(f.service, "unsent"), 1)
}
