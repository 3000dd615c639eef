package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Load is a set of callers that send requests for a limited time.
type Load struct {
	opts     Options
	recorder *recorder
	retries  *retryBudget
	callers  []*caller
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// New returns a load that is not yet started. It returns an error of kind
// SettingInvalid if opts are invalid.
func New(opts Options) (*Load, error) {
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	l := &Load{opts: opts, recorder: &recorder{}, retries: newRetryBudget(), cancel: func() {}}
	for _, service := range opts.Services {
		for i := range service.Callers {
			l.callers = append(l.callers, l.newCaller(service, i))
		}
	}
	return l, nil
}

func (l *Load) newCaller(service ServiceLoad, index int) *caller {
	return &caller{
		load:      l,
		id:        fmt.Sprintf("%s-%d", service.Name, index),
		service:   service,
		rate:      service.Rate / float64(service.Callers),
		holdsFeed: index < service.Feeds,
		rand:      rand.New(rand.NewPCG(l.opts.Seed, uint64(len(l.callers)))),
		inFlight:  make(chan struct{}, maxInFlight),
	}
}

// Start starts the callers. They stop sending after Options.Duration, or earlier
// when ctx ends.
func (l *Load) Start(ctx context.Context) {
	ctx, l.cancel = context.WithTimeout(ctx, l.opts.Duration)
	for i, c := range l.callers {
		startDelay := l.opts.RampUp * time.Duration(i) / time.Duration(len(l.callers))
		l.running.Go(func() { c.run(ctx, startDelay) })
	}
}

// Wait waits until the load has ended and all its requests have an outcome.
func (l *Load) Wait() { l.running.Wait() }

// Close ends the load early and waits as Wait does.
func (l *Load) Close() {
	l.cancel()
	l.running.Wait()
}

// Progress returns the number of requests that have a final outcome, and how many
// of them have outcome Done.
func (l *Load) Progress() (requests, answered int) {
	l.recorder.mu.Lock()
	defer l.recorder.mu.Unlock()
	return len(l.recorder.ledger.Requests), l.recorder.answered
}

// Ledger returns a copy of the ledger at this time.
func (l *Load) Ledger() Ledger { return l.recorder.snapshot() }
