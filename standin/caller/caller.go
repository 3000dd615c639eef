package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// maxInFlight is the number of requests of one caller, apart from its feed, that
// may be in progress at a time.
const maxInFlight = 64

// caller is one caller. It sends new requests on its current flow, and keeps
// earlier flows until their requests and feeds have ended.
type caller struct {
	load      *Load
	id        string
	service   ServiceLoad
	rate      float64 // requests a second
	holdsFeed bool
	rand      *rand.Rand // used by sendRequests only
	inFlight  chan struct{}
	running   sync.WaitGroup

	mu            sync.Mutex
	current       *flow
	dialing       *pendingDial       // nil while no flow is being opened
	flows         map[*flow]struct{} // flows that have not ended
	unusedTickets []string
}

// run sends requests until ctx ends, then waits for those in flight and closes
// the flows.
func (c *caller) run(ctx context.Context, startDelay time.Duration) {
	if !sleep(ctx, startDelay) {
		return
	}
	if c.holdsFeed {
		c.running.Go(func() { c.holdFeed(ctx) })
	}
	c.sendRequests(ctx)
	c.running.Wait()
	c.closeFlows()
}

// sendRequests starts requests at exponentially distributed intervals (an open
// loop), whether or not earlier ones have been answered.
func (c *caller) sendRequests(ctx context.Context) {
	if c.rate <= 0 {
		c.holdIdle(ctx)
		return
	}
	next := time.Now()
	for n := 1; ; n++ {
		next = next.Add(time.Duration(c.rand.ExpFloat64() / c.rate * float64(time.Second)))
		order := c.rand.Float64() < c.service.OrderShare
		if !sleep(ctx, time.Until(next)) {
			return
		}
		c.startRequest(n, order)
	}
}

// holdIdle keeps a flow open without sending requests.
func (c *caller) holdIdle(ctx context.Context) {
	_, _ = c.acquireFlow(ctx)
	<-ctx.Done()
}

// startRequest runs a request in a goroutine of its own. If maxInFlight requests
// are in progress, it is not sent and recorded as such.
func (c *caller) startRequest(n int, order bool) {
	kind, run := KindCatalogue, c.catalogue
	if order {
		kind, run = KindOrder, c.order
	}
	select {
	case c.inFlight <- struct{}{}:
	default:
		c.load.recorder.update(func(l *Ledger) { l.Overruns++ })
		c.load.recorder.recordRequest(Request{Kind: kind, Service: c.service.Name, At: time.Now(), Outcome: NotSent, Flow: NoFlow})
		return
	}
	c.running.Go(func() {
		defer func() { <-c.inFlight }()
		c.load.retries.addRequest()
		run(n)
	})
}

// recordOutcome records the final outcome of a request that began at the given
// time.
func (c *caller) recordOutcome(kind Kind, began time.Time, last attemptResult, attempts int) {
	c.load.recorder.recordRequest(Request{
		Kind: kind, Service: c.service.Name, At: began, Latency: time.Since(began),
		Outcome: last.outcome, Attempts: attempts, Backend: last.backend, Domain: last.domain, Flow: last.flow,
	})
	if last.outcome == WrongAnswer {
		c.load.recorder.update(func(l *Ledger) { l.WrongAnswers++ })
	}
}

// spendRetry reports whether the retry budget allows a retry, and deducts it if so.
func (c *caller) spendRetry() bool {
	if c.load.retries.takeRetry() {
		return true
	}
	c.load.recorder.update(func(l *Ledger) { l.RetriesDenied++ })
	return false
}

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
