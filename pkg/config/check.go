package config

import (
	"strconv"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Upper bounds that reject values with a wrong unit or a typing error.
const (
	MaxSlots       = 10_000    // requests in progress at one backend server
	MaxConnections = 1_000_000 // open flows at one backend server
	MaxNameBytes   = 63        // length of the name of a service, failure domain or backend server
)

// Check validates the configuration as a whole. Its error has kind
// ConfigInvalid and names the first invalid field and the reason.
func (c *Config) Check() error {
	if c.Generation == 0 {
		return invalidField("generation", "must be at least 1")
	}
	domains, err := c.checkDomains()
	if err != nil {
		return err
	}
	services, err := c.checkServices()
	if err != nil {
		return err
	}
	return c.checkChanges(domains, services)
}

// checkDomains returns the names of the failure domains.
func (c *Config) checkDomains() (map[string]bool, error) {
	names, indexes := map[string]bool{}, map[uint8]string{}
	for i, d := range c.Domains {
		field := "domains[" + strconv.Itoa(i) + "]"
		if err := checkName(field+".name", d.Name); err != nil {
			return nil, err
		}
		if d.Region == "" {
			return nil, invalidField(field+".region", "must not be empty")
		}
		if names[d.Name] {
			return nil, invalidField(field+".name", "failure domain "+d.Name+" is listed twice")
		}
		if other, ok := indexes[d.Index]; ok {
			return nil, invalidField(field+".index", "already used by "+other)
		}
		names[d.Name], indexes[d.Index] = true, d.Name
	}
	return names, nil
}

// checkServices returns the names of the services.
func (c *Config) checkServices() (map[string]bool, error) {
	names, addresses := map[string]bool{}, map[string]string{}
	for i, s := range c.Services {
		field := "services[" + strconv.Itoa(i) + "]"
		if err := s.check(field); err != nil {
			return nil, err
		}
		if names[s.Name] {
			return nil, invalidField(field+".name", "service "+s.Name+" is listed twice")
		}
		if other, ok := addresses[s.Address.String()]; ok {
			return nil, invalidField(field+".address", "already used by "+other)
		}
		names[s.Name], addresses[s.Address.String()] = true, s.Name
	}
	return names, nil
}

func (s Service) check(field string) error {
	if err := checkName(field+".name", s.Name); err != nil {
		return err
	}
	if !s.Address.IsValid() || !s.Address.Addr().Is4() || s.Address.Port() == 0 {
		return invalidField(field+".address", "must be an IPv4 address with a port")
	}
	if s.RequestTimeout <= 0 {
		return invalidField(field+".request_timeout", "must be above 0")
	}
	if err := s.Limits.check(field + ".limits"); err != nil {
		return err
	}
	return s.Objectives.check(field + ".objectives")
}

func (l Limits) check(field string) error {
	if l.Slots < 1 || l.Slots > MaxSlots {
		return invalidField(field+".slots", "must be 1 to "+strconv.Itoa(MaxSlots))
	}
	if l.Connections < 1 || l.Connections > MaxConnections {
		return invalidField(field+".connections", "must be 1 to "+strconv.Itoa(MaxConnections))
	}
	if l.ColdSlots < 1 || l.ColdSlots > l.Slots {
		return invalidField(field+".cold_slots", "must be 1 to slots")
	}
	if l.WarmUp < 0 {
		return invalidField(field+".warm_up", "must not be negative")
	}
	return nil
}

func (o Objectives) check(field string) error {
	if o.AnsweredShare < 0 || o.AnsweredShare >= 1 {
		return invalidField(field+".answered_share", "must be at least 0 and below 1")
	}
	if o.UnbrokenShare < 0 || o.UnbrokenShare >= 1 {
		return invalidField(field+".unbroken_share", "must be at least 0 and below 1")
	}
	if o.LatencyP99 < 0 {
		return invalidField(field+".latency_p99", "must not be negative")
	}
	return nil
}

func (c *Config) checkChanges(domains, services map[string]bool) error {
	ids := map[string]bool{}
	for i, ch := range c.Changes {
		field := "changes[" + strconv.Itoa(i) + "]"
		if ch.ID == "" || ids[ch.ID] {
			return invalidField(field+".id", "must be present and unique")
		}
		ids[ch.ID] = true
		if ch.At.IsZero() {
			return invalidField(field+".at", "must be present")
		}
		if ch.Generation == 0 || ch.Generation > c.Generation {
			return invalidField(field+".generation", "must be 1 to the configuration's generation")
		}
		if err := ch.checkSubject(field, domains, services); err != nil {
			return err
		}
	}
	return nil
}

func (ch PlannedChange) checkSubject(field string, domains, services map[string]bool) error {
	switch ch.Kind {
	case DomainOut, DomainBack:
		if !domains[ch.Subject] {
			return invalidField(field+".subject", "failure domain "+strconv.Quote(ch.Subject)+" does not exist")
		}
	case Join, Leave:
		if err := checkName(field+".subject", ch.Subject); err != nil {
			return err
		}
		if !services[ch.Service] {
			return invalidField(field+".service", "service "+strconv.Quote(ch.Service)+" does not exist")
		}
	default:
		return invalidField(field+".kind", "unknown kind "+strconv.Quote(string(ch.Kind)))
	}
	return nil
}

// checkName accepts 1 to MaxNameBytes lower-case letters, digits and hyphens,
// as in DNS labels.
func checkName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return invalidField(field, "must have 1 to "+strconv.Itoa(MaxNameBytes)+" characters")
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return invalidField(field, "must use only a-z, 0-9 and hyphens, found "+strconv.QuoteRune(r))
		}
	}
	return nil
}

func invalidField(field, reason string) error {
	return errkind.New(errkind.ConfigInvalid, field+": "+reason)
}
