package quickstart

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Durations of the load.
const (
	DefaultDuration = 20 * time.Second
	// MinDuration is the shortest duration in which a failure domain stays out
	// for longer than the 3.5 s after which its packets are dropped.
	MinDuration = 10 * time.Second
)

// StepKind is the kind of a planned change.
type StepKind string

// The kinds of steps. Progress lines print their values.
const (
	StepReplaceBalancer StepKind = "replace-balancer"
	StepLeaveBackend    StepKind = "leave-backend"
	StepDomainOut       StepKind = "domain-out"
	StepDomainBack      StepKind = "domain-back"
)

// Step is one planned change.
type Step struct {
	After   time.Duration // since the load began
	Kind    StepKind
	Subject string // balancer, backend server or failure domain
}

// stepSchedule lists the steps in order, with the time of each as a share of the
// duration.
var stepSchedule = []struct {
	kind  StepKind
	share float64
}{
	{StepReplaceBalancer, 0.15},
	{StepLeaveBackend, 0.28},
	{StepDomainOut, 0.45},
	{StepDomainBack, 0.85},
}

// stepJitterShare is the share of the duration by which a step is at most moved
// forwards or backwards, so that seeds differ in how steps coincide with
// periodic work.
const stepJitterShare = 0.01

// BackendInfo describes a backend server for planning.
type BackendInfo struct {
	ID, Service, Domain string
}

// Roster lists the balancers, by ID, and backend servers that a plan chooses
// from.
type Roster struct {
	Balancers []string
	Backends  []BackendInfo
}

// MakePlan returns the steps of a run in order. The same arguments give the
// same plan. The backend server that leaves is outside the failure domain that
// goes out, and every service keeps at least one other backend server outside
// that domain. Its errors have kind SettingInvalid.
func MakePlan(duration time.Duration, seed uint64, roster Roster) ([]Step, error) {
	if duration < MinDuration {
		return nil, errkind.Errorf(errkind.SettingInvalid, "duration %s: expected at least %s", duration, MinDuration)
	}
	if len(roster.Balancers) < 2 {
		return nil, errkind.Errorf(errkind.SettingInvalid, "%d balancers: expected at least 2, so that one can be replaced", len(roster.Balancers))
	}
	r := rand.New(rand.NewPCG(seed, 0))
	withdrawals := possibleWithdrawals(roster.Backends)
	if len(withdrawals) == 0 {
		return nil, errkind.New(errkind.SettingInvalid, "backend servers: no failure domain can go out while one backend server leaves and every service keeps one")
	}
	chosen := withdrawals[r.IntN(len(withdrawals))]
	subjects := map[StepKind]string{
		StepReplaceBalancer: roster.Balancers[r.IntN(len(roster.Balancers))],
		StepLeaveBackend:    chosen.backend,
		StepDomainOut:       chosen.domain,
		StepDomainBack:      chosen.domain,
	}
	var steps []Step
	for _, s := range stepSchedule {
		share := s.share + stepJitterShare*(2*r.Float64()-1)
		steps = append(steps, Step{time.Duration(share * float64(duration)), s.kind, subjects[s.kind]})
	}
	return steps, nil
}

// withdrawal is a failure domain that goes out and a backend server outside it
// that leaves.
type withdrawal struct{ domain, backend string }

// possibleWithdrawals returns the withdrawals under which every service keeps a
// backend server.
func possibleWithdrawals(backends []BackendInfo) []withdrawal {
	var domains []string
	for _, b := range backends {
		if !slices.Contains(domains, b.Domain) {
			domains = append(domains, b.Domain)
		}
	}
	var possible []withdrawal
	for _, domain := range domains {
		for _, b := range backends {
			if b.Domain != domain && everyServiceKeepsBackend(backends, withdrawal{domain, b.ID}) {
				possible = append(possible, withdrawal{domain, b.ID})
			}
		}
	}
	return possible
}

// everyServiceKeepsBackend reports whether every service has a backend server
// that the withdrawal does not affect.
func everyServiceKeepsBackend(backends []BackendInfo, w withdrawal) bool {
	kept := map[string]bool{}
	for _, b := range backends {
		kept[b.Service] = kept[b.Service] || b.Domain != w.domain && b.ID != w.backend
	}
	for _, k := range kept {
		if !k {
			return false
		}
	}
	return true
}
