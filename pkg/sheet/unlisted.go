package sheet

import (
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Unlisted returns what next holds and the sheet does not list: failure
// domains, services, and planned changes that are due after now. Applying the
// sheet keeps them.
func (s *Sheet) Unlisted(next *config.Config, now time.Time) []string {
	var names []string
	for _, d := range next.Domains {
		if !slices.ContainsFunc(s.Domains, func(have Domain) bool { return have.Name == d.Name }) {
			names = append(names, "failure domain "+d.Name)
		}
	}
	for _, service := range next.Services {
		if !slices.ContainsFunc(s.Services, func(have config.Service) bool { return have.Name == service.Name }) {
			names = append(names, "service "+service.Name)
		}
	}
	for _, c := range next.Changes {
		if c.At.After(now) && !slices.ContainsFunc(s.Changes, func(have Change) bool { return have.Planned(0).ID == c.ID }) {
			names = append(names, "planned change "+changeEntry(c).Name)
		}
	}
	return names
}
