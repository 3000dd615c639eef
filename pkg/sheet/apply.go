package sheet

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// minRemovalLead is how far in the future a planned change must be for a sheet
// to remove it: 11 s until the removal is in force everywhere, and 1 s of
// clock difference. A change removed later could already have taken effect in
// some processes.
const minRemovalLead = 12 * time.Second

// Apply returns the configuration that results from applying the sheet to
// base, which may be nil and is not modified. New planned changes carry the
// generation after base's.
//
// Failure domains and services that the sheet does not list stay: the index of
// a failure domain must never be reused for another name, and a truncated
// export must not remove a service. Planned changes that the sheet does not
// list are removed only if the sheet names its base and they are due more than
// 12 s after now. An error has kind SheetInvalid, or SheetStale; see
// RemoveObsoleteChanges.
func (s *Sheet) Apply(base *config.Config, now time.Time) (*config.Config, error) {
	next := CopyConfig(base)
	if s.BaseGeneration > next.Generation {
		return nil, errkind.Errorf(errkind.SheetInvalid,
			"base generation %d is above the accepted generation %d; expected a sheet made for this platform", s.BaseGeneration, next.Generation)
	}
	if err := s.applyDomains(next); err != nil {
		return nil, err
	}
	s.applyServices(next)
	s.applyChanges(next, now)
	if err := RemoveObsoleteChanges(next, now); err != nil {
		return nil, err
	}
	return next, s.checkResult(next)
}

// CopyConfig returns a copy of c whose lists of domains, services and changes
// can be modified; the copy of nil is empty.
func CopyConfig(c *config.Config) *config.Config {
	if c == nil {
		return &config.Config{}
	}
	next := *c
	next.Domains = slices.Clone(c.Domains)
	next.Services = slices.Clone(c.Services)
	next.Changes = slices.Clone(c.Changes)
	return &next
}

// checkResult validates the resulting configuration as a whole: a service that
// the sheet does not list can have an address that the sheet assigns to
// another service.
func (s *Sheet) checkResult(next *config.Config) error {
	proposed := *next
	proposed.Generation++
	return errkind.Wrap(proposed.Check(), errkind.SheetInvalid, "together with what is accepted")
}

func (s *Sheet) applyDomains(next *config.Config) error {
	for _, d := range s.Domains {
		i := slices.IndexFunc(next.Domains, func(existing config.FailureDomain) bool { return existing.Name == d.Name })
		if i >= 0 {
			next.Domains[i].Region = d.Region
			continue
		}
		index, err := nextDomainIndex(next.Domains)
		if err != nil {
			return err
		}
		next.Domains = append(next.Domains, config.FailureDomain{Name: d.Name, Region: d.Region, Index: index})
	}
	return nil
}

// nextDomainIndex returns the index after the highest one. Accepted failure
// domains are never removed, so it was never used before.
func nextDomainIndex(domains []config.FailureDomain) (uint8, error) {
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
		i := slices.IndexFunc(next.Services, func(existing config.Service) bool { return existing.Name == service.Name })
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
	earliestRemovable := now.Add(minRemovalLead)
	next.Changes = slices.DeleteFunc(next.Changes, func(existing config.PlannedChange) bool {
		return s.BaseGeneration > 0 && existing.At.After(earliestRemovable) && !listed[existing.ID]
	})
	ids := map[string]bool{}
	for _, c := range next.Changes {
		ids[c.ID] = true
	}
	for _, c := range s.Changes {
		if planned := c.Planned(next.Generation + 1); !ids[planned.ID] {
			ids[planned.ID] = true
			next.Changes = append(next.Changes, planned)
		}
	}
}

// AddChange adds a planned change to next, with the generation after next's,
// unless next already contains it. It reports whether the change was added.
func AddChange(next *config.Config, c Change) bool {
	planned := c.Planned(next.Generation + 1)
	if slices.ContainsFunc(next.Changes, func(existing config.PlannedChange) bool { return existing.ID == planned.ID }) {
		return false
	}
	next.Changes = append(next.Changes, planned)
	return true
}
