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
	// pauseTime outlasts an agent's lease of 5 s.
	pauseTime = 7 * time.Second
	// pausedOrders are sent to a paused agent.
	pausedOrders = 8
	// pausedTimeout is how long their callers wait; all give up during the pause.
	pausedTimeout = 1500 * time.Millisecond
	// settleTime is how long the backend server is watched after the pause.
	settleTime = time.Second
)

// Guards against work that runs although its caller has given up: orders that
// waited in the buffers of an agent through a pause longer than its lease. The
// agent must come back as a new incarnation that serves new flows.
func TestPausedAgent(t *testing.T) {
	t.Parallel()
	s := newSite(t, gelDesk, 2, 3)
	f := s.openAt(0)
	var tickets []string
	for range pausedOrders {
		tickets = append(tickets, f.ticket())
	}

	s.agents[0].freeze()
	resume := time.After(pauseTime)
	s.giveUp(f, tickets)
	s.is.True(!passed(resume)) // all callers gave up during the pause
	<-resume
	s.agents[0].signal(syscall.SIGCONT)

	eventually(t, patience, "the agent logs the pause", func() bool { return s.agents[0].events(event.Fenced) == 1 })
	eventually(t, patience, "the old flow has ended", func() bool { return f.conn.Context().Err() != nil })
	s.openAt(0).catalogue(1)
	time.Sleep(settleTime)
	for n, ticket := range tickets {
		a, err := s.open(f.service).order(requestTimeout, orderID(n), ticket, 2)
		s.is.NoErr(err)
		s.is.Equal(a.outcome, caller.Unknown)
		s.is.Equal(s.runs(f.service, orderID(n)), 0)
	}
}

// giveUp sends orders whose callers get no answer in time.
func (s *site) giveUp(f *flow, tickets []string) {
	s.t.Helper()
	failed := make(chan error)
	for n, ticket := range tickets {
		go func() {
			_, err := f.order(pausedTimeout, orderID(n), ticket, 1)
			failed <- err
		}()
	}
	for range tickets {
		s.is.True(errors.Is(<-failed, context.DeadlineExceeded))
	}
}

// Guards against callers that wait for a dead agent, and against a successor
// that runs an order again or calls an order not run that may have run.
func TestKilledAgentAndSuccessor(t *testing.T) {
	t.Parallel()
	s := newSite(t, gelDesk, 2, 3)
	f := s.openAt(1)
	sent, unsent := f.ticket(), f.ticket()
	s.is.NoErr(f.orderDone("sent", sent))

	s.agents[1].kill()
	s.startAgent(1)
	eventually(t, patience, "the successor is known", func() bool { return s.known(3) })
	_, err := f.send(requestTimeout, http.MethodGet, "/catalogue?caller=test&n=1", "")
	s.is.True(errors.As(err, new(*quic.StatelessResetError)))

	next := s.openAt(1)
	a, err := next.order(requestTimeout, "sent", sent, 2)
	s.is.NoErr(err)
	s.is.Equal(a.outcome, caller.Unknown)
	s.is.Equal(s.runs(f.service, "sent"), 1)
	a, err = next.order(requestTimeout, "unsent", unsent, 1)
	s.is.NoErr(err)
	s.is.Equal(a.outcome, caller.NotRun)
	s.is.Equal(s.runs(f.service, "unsent"), 0)
	s.is.NoErr(next.orderDone("unsent", next.ticket()))
	s.is.Equal(s.runs(f.service, "unsent"), 1)
}
