package quickstart

import (
	"cmp"
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
	Load           float64       // share of the capacity when all backend servers are warm, above 0
	RequestTimeout time.Duration // deadline of each attempt; 0 means the callers' default
	Progress       io.Writer     // receives progress lines
	Steady         bool          // makes no planned changes, to measure the steady state
	// CallersPerBackend is the number of callers for each backend server; 0 means
	// defaultCallersPerBackend.
	CallersPerBackend int
}

// Shape of the load.
const (
	defaultCallersPerBackend = 20
	feedShare                = 0.25 // of callers
	orderShare               = 0.2  // of requests
	rampUp                   = time.Second
	progressInterval         = 2 * time.Second
)

// ServiceTarget is one service with what callers need to reach it and its
// capacity.
type ServiceTarget struct {
	Service           caller.ServiceLoad // Name, Address and FeedPath are used
	Backends          int                // number of backend servers
	CapacityPerSecond float64            // requests a second when all its backend servers are warm
}

// FleetLedgers is what a fleet has recorded.
type FleetLedgers struct {
	Backends []BackendLedger
	// LastPacket returns the time of the last packet to or from a failure
	// domain in the interval, or zero if there was none.
	LastPacket func(domain string, during Interval) time.Time
	InForce    []InForceRecord
	Reverts    int // times that a process put an older generation in force
}

// Fleet is a set of embedded roles. Methods that change the configuration return
// once the change is accepted. The methods are not called concurrently.
type Fleet interface {
	// Start starts all roles and returns when every backend server is warm.
	Start(ctx context.Context) error
	// Roster lists balancers and backend servers. It is called before Start.
	Roster() Roster
	// Targets lists the services with their addresses and capacities.
	Targets() []ServiceTarget
	// TLS returns the TLS client configuration of callers.
	TLS() *tls.Config
	// StartBalancer starts one more balancer and returns its ID.
	StartBalancer(ctx context.Context) (id string, err error)
	// StopBalancer stops a balancer gracefully.
	StopBalancer(ctx context.Context, id string) error
	// LeaveBackend makes a backend server leave, and returns the effective time.
	LeaveBackend(ctx context.Context, id string) (effective time.Time, err error)
	// TakeDomainOut takes a failure domain out, and returns the effective time.
	TakeDomainOut(ctx context.Context, domain string) (effective time.Time, err error)
	// BringDomainBack brings a failure domain back, and returns the effective
	// time.
	BringDomainBack(ctx context.Context, domain string) (effective time.Time, err error)
	// Ledgers returns what has been recorded so far.
	Ledgers() FleetLedgers
	// Close stops all roles.
	Close() error
}

// run is one run in progress.
type run struct {
	fleet     Fleet
	opt       Options
	startedAt time.Time
	load      *caller.Load
	outs      []DomainOut
	leaves    []Leave

	progressMu sync.Mutex // serialises progress lines
}

// Run starts the fleet, puts it under load, makes the planned changes, closes
// the fleet, and returns the summary. Run reports broken promises in the
// summary, not as an error.
func Run(ctx context.Context, fleet Fleet, opt Options) (summary Summary, err error) {
	defer func() {
		if closeErr := fleet.Close(); err == nil {
			err = closeErr
		}
	}()
	if opt.Load <= 0 {
		return Summary{}, errkind.Errorf(errkind.SettingInvalid, "load %g: expected a share above 0", opt.Load)
	}
	r := &run{fleet: fleet, opt: opt, startedAt: time.Now()}
	steps, err := MakePlan(opt.Duration, opt.Seed, fleet.Roster())
	if err != nil {
		return Summary{}, err
	}
	if opt.Steady {
		steps = nil
	}
	r.printProgress("starting all roles")
	if err := fleet.Start(ctx); err != nil {
		return Summary{}, err
	}
	if err := r.runUnderLoad(ctx, steps); err != nil {
		return Summary{}, err
	}
	return Summarize(r.collectLedgers()), nil
}

// runUnderLoad starts the callers, makes the steps at their times, and waits for
// the load to end.
func (r *run) runUnderLoad(ctx context.Context, steps []Step) error {
	load, err := caller.New(r.loadOptions())
	if err != nil {
		return err
	}
	r.load, r.startedAt = load, time.Now()
	load.Start(ctx)
	defer load.Close()
	stop := r.startProgressReports()
	defer stop()
	for _, step := range steps {
		if err := r.waitUntil(ctx, step.After); err != nil {
			return err
		}
		if err := r.runStep(ctx, step); err != nil {
			return err
		}
	}
	load.Wait()
	return endedEarlyError(ctx)
}

// loadOptions returns the options of the load on all services.
func (r *run) loadOptions() caller.Options {
	opt := caller.Options{
		Seed: r.opt.Seed, Duration: r.opt.Duration, TLS: r.fleet.TLS(),
		RequestTimeout: r.opt.RequestTimeout, RampUp: rampUp,
	}
	callersPerBackend := cmp.Or(r.opt.CallersPerBackend, defaultCallersPerBackend)
	for _, t := range r.fleet.Targets() {
		s := t.Service
		s.Callers = callersPerBackend * t.Backends
		s.Feeds = int(feedShare * float64(s.Callers))
		s.Rate = r.opt.Load * t.CapacityPerSecond
		s.OrderShare = orderShare
		opt.Services = append(opt.Services, s)
	}
	return opt
}

// runStep makes one planned change and records its effective time.
func (r *run) runStep(ctx context.Context, step Step) error {
	r.printProgress("%s %s", step.Kind, step.Subject)
	switch step.Kind {
	case StepReplaceBalancer:
		return r.replaceBalancer(ctx, step.Subject)
	case StepLeaveBackend:
		at, err := r.fleet.LeaveBackend(ctx, step.Subject)
		r.leaves = append(r.leaves, Leave{step.Subject, at})
		return err
	case StepDomainOut:
		at, err := r.fleet.TakeDomainOut(ctx, step.Subject)
		r.outs = append(r.outs, DomainOut{Domain: step.Subject, During: Interval{From: at}})
		return err
	case StepDomainBack:
		at, err := r.fleet.BringDomainBack(ctx, step.Subject)
		r.recordDomainBack(step.Subject, at)
		return err
	}
	return errkind.Errorf(errkind.Internal, "unknown step kind %q", step.Kind)
}

func (r *run) replaceBalancer(ctx context.Context, id string) error {
	if err := r.fleet.StopBalancer(ctx, id); err != nil {
		return err
	}
	successor, err := r.fleet.StartBalancer(ctx)
	if err != nil {
		return err
	}
	r.printProgress("balancer %s replaces %s", successor, id)
	return nil
}

// recordDomainBack ends the interval in which a failure domain was out.
func (r *run) recordDomainBack(domain string, at time.Time) {
	for i, out := range r.outs {
		if out.Domain == domain && out.During.To.IsZero() {
			r.outs[i].During.To = at
		}
	}
}

// collectLedgers returns the ledgers from which the summary is computed.
func (r *run) collectLedgers() Ledgers {
	fleet := r.fleet.Ledgers()
	for i, out := range r.outs {
		r.outs[i].LastPacket = fleet.LastPacket(out.Domain, out.During)
	}
	return Ledgers{
		MeasuredInterval: Interval{r.startedAt.Add(rampUp), r.startedAt.Add(r.opt.Duration)},
		Callers:          r.load.Ledger(),
		Backends:         fleet.Backends,
		DomainOuts:       r.outs,
		Leaves:           r.leaves,
		InForce:          fleet.InForce,
		Reverts:          fleet.Reverts,
	}
}
