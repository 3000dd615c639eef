// Package view holds the state of the store as a process knows it, in three sections:
// the configuration, the failure domains that are taken out, and the members of the
// system. Each section has the revision of the store at which it is known, and never
// goes back to an older one within a process. The package must not depend on the
// store or on how changes reach the process.
package view

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Section names one part of the view. Each has a revision of its own.
type Section string

// The sections.
const (
	ConfigurationSection Section = "configuration"
	EvacuationsSection   Section = "evacuations"
	MembersSection       Section = "members"
)

// Sections lists all sections.
func Sections() []Section {
	return []Section{ConfigurationSection, EvacuationsSection, MembersSection}
}

// Target is a service that receives a share of a route's new flows, in proportion to
// its weight.
type Target struct {
	Service string
	Weight  int // above 0
}

// Route assigns the flows to an address to services.
type Route struct {
	Name    string
	Address netip.AddrPort
	Targets []Target
	// Repeatable says that a request may run more than once.
	Repeatable bool
	Priority   int           // 0 is the highest
	Timeout    time.Duration // of a request
	Objective  time.Duration // latency objective of a request
}

// DefaultTimeout is the timeout of requests for which none is configured.
const DefaultTimeout = 5 * time.Second

// HasContradictoryLimits reports whether the timeout is 0 or below, or the latency objective
// is above it.
func (r Route) HasContradictoryLimits() bool { return r.Timeout <= 0 || r.Objective > r.Timeout }

// Limits returns the latency objective and the timeout on which decisions rest. They are those
// of the route unless these contradict each other:
//   - A timeout of 0 or below is replaced by DefaultTimeout, or by the objective if that is
//     longer. Requests would otherwise be dropped as expired when they arrive.
//   - An objective above the timeout is lowered to it: an answer after the timeout reaches no
//     caller.
func (r Route) Limits() (objective, timeout time.Duration) {
	if r.Timeout <= 0 {
		return r.Objective, max(DefaultTimeout, r.Objective)
	}
	return min(r.Objective, r.Timeout), r.Timeout
}

// Service holds the configuration of a service.
type Service struct {
	Name          string
	HealthPath    string
	MaxFlows      int
	WarmUp        time.Duration // how long a backend server counts as cold after its start
	ColdPerSecond float64       // requests per second that a cold backend server can handle
}

// Configuration is the desired state of routes and services.
type Configuration struct {
	Revision Revision
	Version  int64
	Routes   map[netip.AddrPort]Route
	Services map[string]Service
	// IdleTimeout is how long a flow may be idle before it may be dropped.
	IdleTimeout time.Duration
	// Held is set while the store has an older version than this one, or none, because it was
	// restored from a copy.
	Held bool
}

// View is an immutable snapshot of all sections.
type View struct {
	Configuration Configuration
	Evacuations   Evacuations
	Members       Members
}

// Revision returns the revision of a section, 0 if the section is not known.
func (v View) Revision(s Section) Revision {
	switch s {
	case ConfigurationSection:
		return v.Configuration.Revision
	case EvacuationsSection:
		return v.Evacuations.Revision
	}
	return v.Members.Revision
}

// Complete reports whether every section is known.
func (v View) Complete() bool {
	for _, s := range Sections() {
		if v.Revision(s) == 0 {
			return false
		}
	}
	return true
}

// Delta is a change of one section. The values of evacuations and members are absolute,
// so that a delta from a revision before the known one can be applied too. A change of
// the configuration is relative to the one at From: it lacks the routes that were added
// after From and dropped again before To.
type Delta struct {
	Section  Section
	From, To Revision
	Full     bool // replaces the section; From is not used

	Configuration *ConfigurationDelta `json:",omitempty"`
	Domains       []string            `json:",omitempty"` // EvacuationsSection: all failure domains that are taken out
	Members       []Member            `json:",omitempty"` // new or changed
	Gone          []string            `json:",omitempty"` // names of removed members
	// Stored holds, on a full delta, the retained ones of Members that the store has in another
	// state, as it has them.
	Stored []Member `json:",omitempty"`
	// Ended are the failure domains of which an evacuation ended after From, also one that
	// began after From.
	Ended []string `json:",omitempty"`
	// Retained are those of Domains whose evacuation is not in the store, because it was restored
	// from a copy.
	Retained []string `json:",omitempty"`
	// followsGap is set on a full delta if the section wasn't known to be current shortly before.
	followsGap bool
}

// ConfigurationDelta is the part of a configuration that changed.
type ConfigurationDelta struct {
	Version int64
	// FromVersion is the version of the configuration to which the change is relative, 0 in
	// era 0. It is needed beside Delta.From because a process that holds a version has another
	// configuration than others at that revision.
	FromVersion int64 `json:",omitempty"`
	// Held is set while the store has an older version, or none.
	Held        bool             `json:",omitempty"`
	Routes      []Route          // new or changed
	Dropped     []netip.AddrPort `json:",omitempty"`
	Services    []Service        // all services
	IdleTimeout time.Duration
}

// appliesTo reports whether d leads from the known revision of its section to a later
// one. Only a full delta applies to a section that is not known.
func (d Delta) appliesTo(known Revision) bool {
	switch {
	case d.To <= known:
		return false
	case d.Full:
		return true
	case known.Era() != d.To.Era():
		// The changes of an era are not relative to the one before.
		return false
	case d.Section == ConfigurationSection:
		return known > 0 && d.From == known
	}
	return known > 0 && d.From <= known
}

// Apply returns the view after d. It returns false and the same view if d is not newer
// than its section, leaves a gap after it, is relative to another revision, or changes a
// section that is not known.
func (v View) Apply(d Delta) (View, bool) {
	if !d.appliesTo(v.Revision(d.Section)) {
		return v, false
	}
	if change := d.Configuration; change != nil && !d.Full && change.FromVersion > 0 && change.FromVersion != v.Configuration.Version {
		return v, false
	}
	switch d.Section {
	case ConfigurationSection:
		v.Configuration = v.Configuration.apply(d)
	case EvacuationsSection:
		v.Evacuations = v.Evacuations.apply(d)
	case MembersSection:
		v.Members = v.Members.apply(d)
	default:
		return v, false
	}
	return v, true
}

func (c Configuration) apply(d Delta) Configuration {
	if c.isHeldAgainst(d) {
		c.Revision, c.Held = d.To, true
		return c
	}
	next := Configuration{
		Revision:    d.To,
		Version:     c.Version,
		Routes:      map[netip.AddrPort]Route{},
		Services:    c.Services,
		IdleTimeout: c.IdleTimeout,
	}
	if !d.Full {
		next.Routes = maps.Clone(c.Routes)
	}
	change := d.Configuration
	if change == nil {
		return next
	}
	next.Held = change.Held
	next.Version, next.IdleTimeout = change.Version, change.IdleTimeout
	for _, address := range change.Dropped {
		delete(next.Routes, address)
	}
	for _, r := range change.Routes {
		next.Routes[r.Address] = r
	}
	next.Services = map[string]Service{}
	for _, s := range change.Services {
		next.Services[s.Name] = s
	}
	return next
}

func (m Members) apply(d Delta) Members {
	next := Members{Revision: d.To, ByName: map[string]Member{}}
	if !d.Full {
		maps.Copy(next.ByName, m.ByName)
	}
	for _, name := range d.Gone {
		delete(next.ByName, name)
	}
	for _, member := range d.Members {
		next.ByName[member.Name] = member
	}
	next.retain(m, d)
	return next
}

// FullDelta returns a delta that replaces a section by its state in v.
func (v View) FullDelta(s Section) Delta {
	d := Delta{Section: s, To: v.Revision(s), Full: true}
	switch s {
	case ConfigurationSection:
		d.Configuration = v.Configuration.DeltaFrom(Configuration{})
		d.Configuration.Held = v.Configuration.Held
	case EvacuationsSection:
		d.Domains = slices.Sorted(maps.Keys(v.Evacuations.Domains))
		d.Retained = v.Evacuations.Retained()
	case MembersSection:
		for _, name := range slices.Sorted(maps.Keys(v.Members.ByName)) {
			d.Members = append(d.Members, v.Members.ByName[name])
		}
		for _, name := range slices.Sorted(maps.Keys(v.Members.Stored)) {
			d.Stored = append(d.Stored, v.Members.Stored[name])
		}
	}
	return d
}

// DeltaFrom returns the delta that turns old into c.
func (c Configuration) DeltaFrom(old Configuration) *ConfigurationDelta {
	d := &ConfigurationDelta{Version: c.Version, IdleTimeout: c.IdleTimeout}
	if old.Revision.Era() > 0 {
		d.FromVersion = old.Version
	}
	for address, r := range c.Routes {
		if oldRoute, ok := old.Routes[address]; !ok || !oldRoute.equal(r) {
			d.Routes = append(d.Routes, r)
		}
	}
	for address := range old.Routes {
		if _, ok := c.Routes[address]; !ok {
			d.Dropped = append(d.Dropped, address)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		d.Services = append(d.Services, c.Services[name])
	}
	return d
}

func (r Route) equal(other Route) bool {
	sameTargets := slices.Equal(r.Targets, other.Targets)
	return sameTargets && r.Name == other.Name && r.Address == other.Address && r.Repeatable == other.Repeatable &&
		r.Priority == other.Priority && r.Timeout == other.Timeout && r.Objective == other.Objective
}
