package sheet

import (
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Unlisted describes what next contains and the sheet does not list: failure
// domains, services, and planned changes that are due after now. Applying the
// sheet keeps them.
func (s *Sheet) Unlisted(next *config.Config, now time.Time) []string {
	var unlisted []string
	for _, d := range next.Domains {
		if !slices.ContainsFunc(s.Domains, func(listed Domain) bool { return listed.Name == d.Name }) {
			unlisted = append(unlisted, "failure domain "+d.Name)
		}
	}
	for _, service := range next.Services {
		if !slices.ContainsFunc(s.Services, func(listed config.Service) bool { return listed.Name == service.Name }) {
			unlisted = append(unlisted, "service "+service.Name)
		}
	}
	for _, c := range next.Changes {
		if c.At.After(now) && !slices.ContainsFunc(s.Changes, func(listed Change) bool { return listed.Planned(0).ID == c.ID }) {
			unlisted = append(unlisted, "planned change "+changeEntry(c).Name)
		}
	}
	return unlisted
}
