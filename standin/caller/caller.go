package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// maxInFlight bounds the requests of one caller that wait for an answer.
const maxInFlight = 64

// caller is one caller. It holds one current flow, and older ones while
// something on them goes on.
type caller struct {
	load    *Load
	id      string
	service ServiceLoad
	rate    float64 // requests a second
	feeds   bool
	rand    *rand.Rand // used by the pacing loop only
	slots   chan struct{}
	running sync.WaitGroup

	dialing sync.Mutex // held while a flow is opened
	mu      sync.Mutex
	current *flow
	flows   map[*flow]struct{} // not ended
	tickets []string
}

// run paces requests until ctx ends, then lets those in flight finish and
// closes the flows.
func (c *caller) run(ctx context.Context, wait time.Duration) {
	if !sleep(ctx, wait) {
		return
	}
	if c.feeds {
		c.running.Go(func() { c.holdFeed(ctx) })
	}
	c.pace(ctx)
	c.running.Wait()
	c.closeFlows()
}

// pace starts requests at exponential gaps, whether or not earlier ones have
// been answered.
func (c *caller) pace(ctx context.Context) {
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
		c.launch(n, order)
	}
}

// holdIdle keeps a flow open without sending requests.
func (c *caller) holdIdle(ctx context.Context) {
	_, _ = c.flow(ctx)
	<-ctx.Done()
}

func (c *caller) launch(n int, order bool) {
	kind, run := Catalogue, c.catalogue
	if order {
		kind, run = Ordering, c.order
	}
	select {
	case c.slots <- struct{}{}:
	default:
		c.load.recorder.update(func(l *Ledger) { l.Overruns++ })
		c.load.recorder.request(Request{Kind: kind, Service: c.service.Name, At: time.Now(), Outcome: NotSent, Flow: NoFlow})
		return
	}
	c.running.Go(func() {
		defer func() { <-c.slots }()
		c.load.budget.earn()
		run(n)
	})
}

// record writes the final outcome of a request that began at the given time.
func (c *caller) record(kind Kind, began time.Time, last reply, attempts int) {
	c.load.recorder.request(Request{
		Kind: kind, Service: c.service.Name, At: began, Latency: time.Since(began),
		Outcome: last.outcome, Attempts: attempts, Backend: last.backend, Domain: last.domain, Flow: last.flow,
	})
	if last.outcome == Wrong {
		c.load.recorder.update(func(l *Ledger) { l.WrongAnswers++ })
	}
}

// mayRetry spends the retry budget.
func (c *caller) mayRetry() bool {
	if c.load.budget.spend() {
		return true
	}
	c.load.recorder.update(func(l *Ledger) { l.RetriesSpared++ })
	return false
}

// sleep reports whether d passed before ctx ended.
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
