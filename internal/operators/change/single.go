package change

import (
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
)

// maxClockDifference bounds the difference between the clocks of two hosts.
const maxClockDifference = time.Second

// Planned returns the edit that plans one change at c.At.
func Planned(c sheet.Change) Edit {
	return func(base *config.Config) (*config.Config, error) {
		next := sheet.CopyConfig(base)
		if err := checkSubject(next, c); err != nil {
			return nil, err
		}
		sheet.AddChange(next, c)
		return next, nil
	}
}

// Immediate returns the edit that makes one change at the current time; c.At is
// ignored. It changes nothing if the subject is already in the requested state.
// If a host whose clock is ahead made an earlier change of the subject, the time
// is set after that change, because the change with the latest time takes effect.
func Immediate(c sheet.Change, clock func() time.Time) Edit {
	return func(base *config.Config) (*config.Config, error) {
		next, now := sheet.CopyConfig(base), clock()
		if err := checkSubject(next, c); err != nil {
			return nil, err
		}
		last, ok := latestChange(next, c, now.Add(maxClockDifference))
		if ok && last.Kind == c.Kind || !ok && isDefaultState(next, c, now) {
			return next, nil
		}
		c.At = now.Truncate(time.Millisecond)
		if ok && !last.At.Before(c.At) {
			c.At = last.At.Add(time.Millisecond)
		}
		sheet.AddChange(next, c)
		return next, nil
	}
}

// isDefaultState reports whether c requests the state that a subject has without
// a due change: a failure domain is in service, and a backend server has
// joined unless its join is planned for later. A due join may have been pruned.
func isDefaultState(base *config.Config, c sheet.Change, now time.Time) bool {
	switch c.Kind {
	case config.DomainBack:
		return true
	case config.Join:
		v := base.View(now.Add(maxClockDifference))
		_, leaving := v.BackendLeaving(c.Subject)
		return !leaving && v.BackendJoined(c.Subject)
	}
	return false
}

// latestChange returns the change of c's subject that is in effect at a time.
func latestChange(base *config.Config, c sheet.Change, at time.Time) (config.PlannedChange, bool) {
	var last config.PlannedChange
	for _, have := range base.Changes {
		if have.Subject != c.Subject || have.Service != c.Service || have.At.After(at) {
			continue
		}
		if have.At.After(last.At) || (have.At.Equal(last.At) && have.Generation > last.Generation) {
			last = have
		}
	}
	return last, last.ID != ""
}

// checkSubject returns an error if the failure domain or the service of a change
// is not in the accepted configuration.
func checkSubject(base *config.Config, c sheet.Change) error {
	what, name, known := "failure domain", c.Subject, domainNames(base)
	if c.Kind == config.Join || c.Kind == config.Leave {
		what, name, known = "service", c.Service, serviceNames(base)
	}
	for _, have := range known {
		if have == name {
			return nil
		}
	}
	expected := "none is accepted yet"
	if len(known) > 0 {
		expected = "expected one of " + strings.Join(known, ", ")
	}
	return errkind.Errorf(errkind.SettingInvalid, "%s %q is not accepted; %s", what, name, expected)
}

func domainNames(c *config.Config) []string {
	names := make([]string, len(c.Domains))
	for i, d := range c.Domains {
		names[i] = d.Name
	}
	return names
}

func serviceNames(c *config.Config) []string {
	names := make([]string, len(c.Services))
	for i, s := range c.Services {
		names[i] = s.Name
	}
	return names
}
