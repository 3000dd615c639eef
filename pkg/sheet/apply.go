package sheet

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// settledWithin is how far ahead of its time a planned change counts as
// passed: 11 s until a removal would be in force everywhere, and 1 s of clock
// difference. A later removal would take back what some processes already do.
const settledWithin = 12 * time.Second

// Apply returns the configuration that the sheet asks for on top of base,
// which may be nil and is not changed. Planned changes that are new carry the
// generation after base's.
//
// Failure domains and services that the sheet does not list stay: failure
// domain indexes must never be used again for another name, and a truncated
// export must not remove a service. Planned changes that the sheet does not
// list are removed only if the sheet names its base and their time is more
// than 12 s ahead. An error has kind SheetInvalid, or SheetStale; see Settle.
func (s *Sheet) Apply(base *config.Config, now time.Time) (*config.Config, error) {
	next := Copy(base)
	if s.Base > next.Generation {
		return nil, errkind.Errorf(errkind.SheetInvalid,
			"base generation %d is above the accepted generation %d; expected a sheet made for this platform", s.Base, next.Generation)
	}
	if err := s.applyDomains(next); err != nil {
		return nil, err
	}
	s.applyServices(next)
	s.applyChanges(next, now)
	if err := Settle(next, now); err != nil {
		return nil, err
	}
	return next, s.check(next)
}

// Copy returns a copy of c that can be edited; the copy of nil is empty.
func Copy(c *config.Config) *config.Config {
	if c == nil {
		return &config.Config{}
	}
	next := *c
	next.Domains = slices.Clone(c.Domains)
	next.Services = slices.Clone(c.Services)
	next.Changes = slices.Clone(c.Changes)
	return &next
}

// check verifies the result as a whole: a kept service can hold an address
// that the sheet gives to another.
func (s *Sheet) check(next *config.Config) error {
	sealed := *next
	sealed.Generation++
	return errkind.Wrap(sealed.Check(), errkind.SheetInvalid, "together with what is accepted")
}

func (s *Sheet) applyDomains(next *config.Config) error {
	for _, d := range s.Domains {
		i := slices.IndexFunc(next.Domains, func(have config.FailureDomain) bool { return have.Name == d.Name })
		if i >= 0 {
			next.Domains[i].Region = d.Region
			continue
		}
		index, err := freeIndex(next.Domains)
		if err != nil {
			return err
		}
		next.Domains = append(next.Domains, config.FailureDomain{Name: d.Name, Region: d.Region, Index: index})
	}
	return nil
}

// freeIndex returns the index after the highest. Accepted failure domains
// stay, so it was never used before.
func freeIndex(domains []config.FailureDomain) (uint8, error) {
	next := 0
	for _, d := range domains {
		next = max(next, int(d.Index)+1)
	}
	if next > math.MaxUint8 {
		return 0, errkind.New(errkind.SheetInvalid, "failure domains: all 256 indexes are used")
	}
	return uint8(next), nil
}

func (s *Sheet) applyServices(next *config.Config) {
	for _, service := range s.Services {
		i := slices.IndexFunc(next.Services, func(have config.Service) bool { return have.Name == service.Name })
		if i >= 0 {
			next.Services[i] = service
			continue
		}
		next.Services = append(next.Services, service)
	}
}

func (s *Sheet) applyChanges(next *config.Config, now time.Time) {
	listed := map[string]bool{}
	for _, c := range s.Changes {
		listed[c.Planned(0).ID] = true
	}
	settled := now.Add(settledWithin)
	next.Changes = slices.DeleteFunc(next.Changes, func(have config.PlannedChange) bool {
		return s.Base > 0 && have.At.After(settled) && !listed[have.ID]
	})
	have := map[string]bool{}
	for _, c := range next.Changes {
		have[c.ID] = true
	}
	for _, c := range s.Changes {
		if planned := c.Planned(next.Generation + 1); !have[planned.ID] {
			have[planned.ID] = true
			next.Changes = append(next.Changes, planned)
		}
	}
}

// AddChange adds a planned change to next, accepted by the generation after
// next's, unless it is already there. It reports whether it was added.
func AddChange(next *config.Config, c Change) bool {
	planned := c.Planned(next.Generation + 1)
	if slices.ContainsFunc(next.Changes, func(have config.PlannedChange) bool { return have.ID == planned.ID }) {
		return false
	}
	next.Changes = append(next.Changes, planned)
	return true
}
