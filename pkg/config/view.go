package config

import "time"

// View is a configuration resolved at one instant. The zero value is the view
// of no configuration.
type View struct {
	At         time.Time
	Generation uint64
	Services   []Service
	Domains    []FailureDomain

	services map[string]int
	changes  []PlannedChange
	domains  map[string]deciding
	backends map[string]deciding
	next     time.Time
}

// deciding holds the changes that decide about one subject, nil for none. They
// point into the configuration, which copies less than holding them.
type deciding struct {
	due   *PlannedChange // the latest that is in force
	ahead *PlannedChange // the first that is not yet due
}

func (ch *PlannedChange) ofDomain() bool {
	return ch.Kind == DomainOut || ch.Kind == DomainBack
}

// before orders changes of one subject: by effective time, then by the
// generation that accepted them, so that a later decision wins a tie.
func (ch *PlannedChange) before(other *PlannedChange) bool {
	if !ch.At.Equal(other.At) {
		return ch.At.Before(other.At)
	}
	return ch.Generation < other.Generation
}

// View resolves the configuration at now. A nil Config gives an empty view.
func (c *Config) View(now time.Time) View {
	if c == nil {
		return View{At: now}
	}
	v := View{
		At:         now,
		Generation: c.Generation,
		Services:   c.Services,
		Domains:    c.Domains,
		services:   make(map[string]int, len(c.Services)),
		changes:    c.Changes,
		domains:    make(map[string]deciding, len(c.Domains)),
		backends:   make(map[string]deciding, len(c.Changes)),
	}
	for i := range c.Services {
		v.services[c.Services[i].Name] = i
	}
	for i := range c.Changes {
		v.apply(&c.Changes[i])
	}
	return v
}

func (v *View) apply(ch *PlannedChange) {
	subjects := v.backends
	if ch.ofDomain() {
		subjects = v.domains
	}
	d := subjects[ch.Subject]
	switch {
	case !ch.At.After(v.At):
		if d.due == nil || d.due.before(ch) {
			d.due = ch
		}
	case d.ahead == nil || ch.firstBefore(d.ahead):
		d.ahead = ch
		v.next = earlier(v.next, ch.At)
	}
	subjects[ch.Subject] = d
}

// firstBefore reports whether ch takes effect before other. Of two changes at
// the same time it is the one that will be in force.
func (ch *PlannedChange) firstBefore(other *PlannedChange) bool {
	if !ch.At.Equal(other.At) {
		return ch.At.Before(other.At)
	}
	return other.before(ch)
}

// earlier returns the earlier of two times; a zero time a counts as none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// deciding returns the changes that decide about ch's subject.
func (v View) deciding(ch *PlannedChange) deciding {
	if ch.ofDomain() {
		return v.domains[ch.Subject]
	}
	return v.backends[ch.Subject]
}

// Service returns the service called name.
func (v View) Service(name string) (Service, bool) {
	i, ok := v.services[name]
	if !ok {
		return Service{}, false
	}
	return v.Services[i], true
}

// Domain returns the failure domain called name.
func (v View) Domain(name string) (FailureDomain, bool) {
	for _, d := range v.Domains {
		if d.Name == name {
			return d, true
		}
	}
	return FailureDomain{}, false
}

// DomainOut reports whether the failure domain is out, and since when.
func (v View) DomainOut(domain string) (since time.Time, out bool) {
	return v.domains[domain].since(DomainOut)
}

// DomainBackSince returns when the failure domain came back, or false if it
// was never taken out.
func (v View) DomainBackSince(domain string) (time.Time, bool) {
	return v.domains[domain].since(DomainBack)
}

// BackendLeaving reports whether the backend server is leaving, and since
// when.
func (v View) BackendLeaving(id string) (since time.Time, leaving bool) {
	return v.backends[id].since(Leave)
}

func (d deciding) since(kind ChangeKind) (time.Time, bool) {
	if d.due == nil || d.due.Kind != kind {
		return time.Time{}, false
	}
	return d.due.At, true
}

// BackendJoined reports whether the backend server may serve. It is false only
// while its first change is a join that is not yet due: a backend server
// without any planned change serves as soon as it announces itself, and one
// that leaves first serves until then.
func (v View) BackendJoined(id string) bool {
	d := v.backends[id]
	return d.due != nil || !d.joining()
}

// joining reports whether the next change is a join.
func (d deciding) joining() bool {
	return d.ahead != nil && d.ahead.Kind == Join
}

// NextChange returns when the view changes next by itself.
func (v View) NextChange() (time.Time, bool) {
	return v.next, !v.next.IsZero()
}
