package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Load is a set of callers.
type Load struct {
	opt      Options
	recorder *recorder
	budget   *budget
	callers  []*caller
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// New checks the options. Its errors have kind SettingInvalid.
func New(opt Options) (*Load, error) {
	opt = opt.withDefaults()
	if err := opt.check(); err != nil {
		return nil, err
	}
	l := &Load{opt: opt, recorder: &recorder{}, budget: newBudget(), cancel: func() {}}
	for _, service := range opt.Services {
		for i := range service.Callers {
			l.callers = append(l.callers, l.newCaller(service, i))
		}
	}
	return l, nil
}

func (l *Load) newCaller(service ServiceLoad, index int) *caller {
	return &caller{
		load:    l,
		id:      fmt.Sprintf("%s-%d", service.Name, index),
		service: service,
		rate:    service.Rate / float64(service.Callers),
		feeds:   index < service.Feeds,
		rand:    rand.New(rand.NewPCG(l.opt.Seed, uint64(len(l.callers)))),
		slots:   make(chan struct{}, maxInFlight),
	}
}

// Start begins the load, which ends by itself after its duration, or earlier
// when ctx ends.
func (l *Load) Start(ctx context.Context) {
	ctx, l.cancel = context.WithTimeout(ctx, l.opt.Duration)
	for i, c := range l.callers {
		wait := l.opt.RampUp * time.Duration(i) / time.Duration(len(l.callers))
		l.running.Go(func() { c.run(ctx, wait) })
	}
}

// Wait waits until the load has ended and its requests in flight have an
// outcome.
func (l *Load) Wait() { l.running.Wait() }

// Close ends the load early and waits for it.
func (l *Load) Close() {
	l.cancel()
	l.running.Wait()
}

// Progress returns how many requests have an outcome, and how many of them
// were answered.
func (l *Load) Progress() (requests, answered int) {
	l.recorder.mu.Lock()
	defer l.recorder.mu.Unlock()
	return len(l.recorder.ledger.Requests), l.recorder.answered
}

// Ledger returns a copy of what callers saw so far.
func (l *Load) Ledger() Ledger { return l.recorder.copy() }
