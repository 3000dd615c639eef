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
	due      map[subject]PlannedChange // latest change of each subject that is in force
	joining  map[subject]bool          // subjects whose first change is a join that is not yet due
	next     time.Time
}

// subject identifies what a change applies to. Failure domains and backend
// servers have separate name spaces.
type subject struct {
	domain bool
	name   string
}

func (ch PlannedChange) subject() subject {
	return subject{ch.Kind == DomainOut || ch.Kind == DomainBack, ch.Subject}
}

// before orders changes of one subject: by effective time, then by the
// generation that accepted them, so that a later decision wins a tie.
func (ch PlannedChange) before(other PlannedChange) bool {
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
		due:        map[subject]PlannedChange{},
		joining:    map[subject]bool{},
	}
	for i, s := range c.Services {
		v.services[s.Name] = i
	}
	for _, ch := range c.Changes {
		v.apply(ch)
	}
	for s := range v.due {
		delete(v.joining, s)
	}
	return v
}

func (v *View) apply(ch PlannedChange) {
	if ch.At.After(v.At) {
		if v.next.IsZero() || ch.At.Before(v.next) {
			v.next = ch.At
		}
		if ch.Kind == Join {
			v.joining[ch.subject()] = true
		}
		return
	}
	if last, ok := v.due[ch.subject()]; !ok || last.before(ch) {
		v.due[ch.subject()] = ch
	}
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
	ch, ok := v.due[subject{true, domain}]
	if !ok || ch.Kind != DomainOut {
		return time.Time{}, false
	}
	return ch.At, true
}

// DomainBackSince returns when the failure domain came back, or false if it
// was never taken out.
func (v View) DomainBackSince(domain string) (time.Time, bool) {
	ch, ok := v.due[subject{true, domain}]
	return ch.At, ok && ch.Kind == DomainBack
}

// BackendLeaving reports whether the backend server is leaving, and since
// when.
func (v View) BackendLeaving(id string) (since time.Time, leaving bool) {
	ch, ok := v.due[subject{false, id}]
	if !ok || ch.Kind != Leave {
		return time.Time{}, false
	}
	return ch.At, true
}

// BackendJoined reports whether the backend server may serve. It is false only
// while a join is planned and not yet due: a backend server without any
// planned change serves as soon as it announces itself.
func (v View) BackendJoined(id string) bool {
	return !v.joining[subject{false, id}]
}

// NextChange returns when the view changes next by itself.
func (v View) NextChange() (time.Time, bool) {
	return v.next, !v.next.IsZero()
}
