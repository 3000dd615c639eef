package quickstart

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Durations of a run.
const (
	DefaultDuration = 20 * time.Second
	// MinDuration leaves a failure domain out for longer than the 3.5 s after
	// which its packets are dropped.
	MinDuration = 10 * time.Second
)

// StepKind names a planned change of a run.
type StepKind string

// The kinds of steps.
const (
	ReplaceBalancer StepKind = "replace-balancer"
	LeaveBackend    StepKind = "leave-backend"
	DomainOutStep   StepKind = "domain-out"
	DomainBackStep  StepKind = "domain-back"
)

// Step is one planned change.
type Step struct {
	After   time.Duration // since the load began
	Kind    StepKind
	Subject string // balancer, backend server or failure domain
}

// shares of the duration at which the steps happen, in order.
var stepShares = []struct {
	kind  StepKind
	share float64
}{
	{ReplaceBalancer, 0.15},
	{LeaveBackend, 0.28},
	{DomainOutStep, 0.45},
	{DomainBackStep, 0.85},
}

// stepJitter moves a step by up to this share of the duration, so that seeds
// differ in how steps meet periodic work.
const stepJitter = 0.01

// BackendInfo is a backend server of a fleet.
type BackendInfo struct {
	ID, Service, Domain string
}

// Roster lists what a plan chooses from.
type Roster struct {
	Balancers []string
	Backends  []BackendInfo
}

// MakePlan returns the steps of a run in order. The same arguments give the
// same plan. Every service keeps a backend server outside the failure domain
// that goes out, besides the one that leaves. Its errors have kind
// SettingInvalid.
func MakePlan(duration time.Duration, seed uint64, roster Roster) ([]Step, error) {
	if duration < MinDuration {
		return nil, errkind.Errorf(errkind.SettingInvalid, "duration %s: expected at least %s", duration, MinDuration)
	}
	if len(roster.Balancers) < 2 {
		return nil, errkind.Errorf(errkind.SettingInvalid, "%d balancers: expected at least 2, so that one can be replaced", len(roster.Balancers))
	}
	r := rand.New(rand.NewPCG(seed, 0))
	losses := possibleLosses(roster.Backends)
	if len(losses) == 0 {
		return nil, errkind.New(errkind.SettingInvalid, "backend servers: no failure domain can go out while one backend server leaves and every service keeps one")
	}
	chosen := losses[r.IntN(len(losses))]
	subjects := map[StepKind]string{
		ReplaceBalancer: roster.Balancers[r.IntN(len(roster.Balancers))],
		LeaveBackend:    chosen.backend,
		DomainOutStep:   chosen.domain,
		DomainBackStep:  chosen.domain,
	}
	var steps []Step
	for _, s := range stepShares {
		share := s.share + stepJitter*(2*r.Float64()-1)
		steps = append(steps, Step{time.Duration(share * float64(duration)), s.kind, subjects[s.kind]})
	}
	return steps, nil
}

// loss is a failure domain and a backend server outside it that a fleet can
// spare together.
type loss struct{ domain, backend string }

func possibleLosses(backends []BackendInfo) []loss {
	var domains []string
	for _, b := range backends {
		if !slices.Contains(domains, b.Domain) {
			domains = append(domains, b.Domain)
		}
	}
	var possible []loss
	for _, domain := range domains {
		for _, b := range backends {
			if b.Domain != domain && bears(backends, loss{domain, b.ID}) {
				possible = append(possible, loss{domain, b.ID})
			}
		}
	}
	return possible
}

// bears reports whether every service keeps a backend server.
func bears(backends []BackendInfo, l loss) bool {
	kept := map[string]bool{}
	for _, b := range backends {
		kept[b.Service] = kept[b.Service] || b.Domain != l.domain && b.ID != l.backend
	}
	for _, k := range kept {
		if !k {
			return false
		}
	}
	return true
}
