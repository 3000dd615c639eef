package quickstart

import (
	"context"
	"crypto/tls"
	"io"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// Options are the settings of a run.
type Options struct {
	Duration       time.Duration // of the load
	Seed           uint64
	Load           float64       // share of the warm capacity, above 0
	RequestTimeout time.Duration // deadline of each attempt; 0 means the callers' default
	Progress       io.Writer     // progress lines
	Steady         bool          // no planned changes, to measure the steady state
}

// Shape of the load.
const (
	callersPerBackend = 20
	feedShare         = 0.25 // of callers
	orderShare        = 0.2  // of requests
	rampUp            = time.Second
	progressInterval  = 2 * time.Second
)

// Target is what callers need to reach one service, and what it bears.
type Target struct {
	Service  caller.ServiceLoad // Name, Address and FeedPath are used
	Backends int
	Capacity float64 // requests a second when all its backend servers are warm
}

// FleetLedgers is what a fleet knows at the end of a run.
type FleetLedgers struct {
	Backends []Backend
	// LastPacketOut returns the last packet to or from a failure domain in the
	// interval, or zero if there was none.
	LastPacketOut func(domain string, during Interval) time.Time
	InForce       []InForce
	Reverts       int
}

// Fleet is a running set of embedded roles. Its methods return once a change
// is accepted; they are not called concurrently.
type Fleet interface {
	// Start brings up all roles and returns when every backend server is warm.
	Start(ctx context.Context) error
	// Roster lists balancers and backend servers. It is called before Start.
	Roster() Roster
	// Targets lists the services.
	Targets() []Target
	// TLS is what callers check.
	TLS() *tls.Config
	// StartBalancer starts one more balancer and returns its ID.
	StartBalancer(ctx context.Context) (id string, err error)
	// StopBalancer stops a balancer gracefully.
	StopBalancer(ctx context.Context, id string) error
	// LeaveBackend plans that a backend server leaves, and returns when.
	LeaveBackend(ctx context.Context, id string) (effective time.Time, err error)
	// TakeDomainOut plans that a failure domain goes out, and returns when.
	TakeDomainOut(ctx context.Context, domain string) (effective time.Time, err error)
	// BringDomainBack plans that a failure domain comes back, and returns when.
	BringDomainBack(ctx context.Context, domain string) (effective time.Time, err error)
	// Ledgers returns the ledgers so far.
	Ledgers() FleetLedgers
	// Close stops all roles.
	Close() error
}

// run is one run in progress.
type run struct {
	fleet  Fleet
	opt    Options
	began  time.Time
	load   *caller.Load
	outs   []DomainOut
	leaves []Leave

	saying sync.Mutex // one progress line at a time
}

// Run starts the fleet, puts it under load, makes the planned changes, and
// returns the summary. The fleet is closed when Run returns. Broken promises
// are in the summary and are no error of Run.
func Run(ctx context.Context, fleet Fleet, opt Options) (summary Summary, err error) {
	defer func() {
		if closeErr := fleet.Close(); err == nil {
			err = closeErr
		}
	}()
	if opt.Load <= 0 {
		return Summary{}, errkind.Errorf(errkind.SettingInvalid, "load %g: expected a share above 0", opt.Load)
	}
	r := &run{fleet: fleet, opt: opt, began: time.Now()}
	steps, err := MakePlan(opt.Duration, opt.Seed, fleet.Roster())
	if err != nil {
		return Summary{}, err
	}
	if opt.Steady {
		steps = nil
	}
	r.say("starting all roles")
	if err := fleet.Start(ctx); err != nil {
		return Summary{}, err
	}
	if err := r.underLoad(ctx, steps); err != nil {
		return Summary{}, err
	}
	return Join(r.ledgers()), nil
}

func (r *run) underLoad(ctx context.Context, steps []Step) error {
	load, err := caller.New(r.callers())
	if err != nil {
		return err
	}
	r.load, r.began = load, time.Now()
	load.Start(ctx)
	defer load.Close()
	stop := r.report()
	defer stop()
	for _, step := range steps {
		if err := r.waitUntil(ctx, step.After); err != nil {
			return err
		}
		if err := r.do(ctx, step); err != nil {
			return err
		}
	}
	load.Wait()
	return endedEarly(ctx)
}

// callers returns the load on all services.
func (r *run) callers() caller.Options {
	opt := caller.Options{
		Seed: r.opt.Seed, Duration: r.opt.Duration, TLS: r.fleet.TLS(),
		RequestTimeout: r.opt.RequestTimeout, RampUp: rampUp,
	}
	for _, t := range r.fleet.Targets() {
		s := t.Service
		s.Callers = callersPerBackend * t.Backends
		s.Feeds = int(feedShare * float64(s.Callers))
		s.Rate = r.opt.Load * t.Capacity
		s.OrderShare = orderShare
		opt.Services = append(opt.Services, s)
	}
	return opt
}

func (r *run) do(ctx context.Context, step Step) error {
	r.say("%s %s", step.Kind, step.Subject)
	switch step.Kind {
	case ReplaceBalancer:
		return r.replaceBalancer(ctx, step.Subject)
	case LeaveBackend:
		at, err := r.fleet.LeaveBackend(ctx, step.Subject)
		r.leaves = append(r.leaves, Leave{step.Subject, at})
		return err
	case DomainOutStep:
		at, err := r.fleet.TakeDomainOut(ctx, step.Subject)
		r.outs = append(r.outs, DomainOut{Domain: step.Subject, During: Interval{From: at}})
		return err
	case DomainBackStep:
		at, err := r.fleet.BringDomainBack(ctx, step.Subject)
		r.back(step.Subject, at)
		return err
	}
	return errkind.Errorf(errkind.Internal, "step %q is not known", step.Kind)
}

func (r *run) replaceBalancer(ctx context.Context, id string) error {
	if err := r.fleet.StopBalancer(ctx, id); err != nil {
		return err
	}
	successor, err := r.fleet.StartBalancer(ctx)
	if err != nil {
		return err
	}
	r.say("balancer %s replaces %s", successor, id)
	return nil
}

func (r *run) back(domain string, at time.Time) {
	for i, out := range r.outs {
		if out.Domain == domain && out.During.To.IsZero() {
			r.outs[i].During.To = at
		}
	}
}

// ledgers gathers everything the summary needs.
func (r *run) ledgers() Ledgers {
	fleet := r.fleet.Ledgers()
	for i, out := range r.outs {
		r.outs[i].LastPacket = fleet.LastPacketOut(out.Domain, out.During)
	}
	return Ledgers{
		Measured: Interval{r.began.Add(rampUp), r.began.Add(r.opt.Duration)},
		Callers:  r.load.Ledger(),
		Backends: fleet.Backends,
		Outs:     r.outs,
		Leaves:   r.leaves,
		InForce:  fleet.InForce,
		Reverts:  fleet.Reverts,
	}
}
