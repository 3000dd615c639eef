package config

import "time"

// View is a configuration as it applies at one instant. The zero value is the
// view of a nil configuration.
type View struct {
	At         time.Time
	Generation uint64
	Services   []Service
	Domains    []FailureDomain

	serviceIndexes map[string]int
	changes        []PlannedChange
	domainChanges  map[string]subjectChanges
	backendChanges map[string]subjectChanges
	nextChange     time.Time
}

// subjectChanges holds the changes that determine the state of one subject,
// nil for none. They point into the configuration to avoid copying them.
type subjectChanges struct {
	latestDue   *PlannedChange // the latest change that has taken effect
	nextPending *PlannedChange // the first change that has yet to take effect
}

func (ch *PlannedChange) isDomainChange() bool {
	return ch.Kind == DomainOut || ch.Kind == DomainBack
}

// before orders changes of one subject by effective time and then by the
// generation that accepted them: of two changes at the same time, the one
// accepted later takes precedence.
func (ch *PlannedChange) before(other *PlannedChange) bool {
	if !ch.At.Equal(other.At) {
		return ch.At.Before(other.At)
	}
	return ch.Generation < other.Generation
}

// View returns the configuration as it applies at now. For a nil Config it
// returns an empty view.
func (c *Config) View(now time.Time) View {
	if c == nil {
		return View{At: now}
	}
	v := View{
		At:             now,
		Generation:     c.Generation,
		Services:       c.Services,
		Domains:        c.Domains,
		serviceIndexes: make(map[string]int, len(c.Services)),
		changes:        c.Changes,
		domainChanges:  make(map[string]subjectChanges, len(c.Domains)),
		backendChanges: make(map[string]subjectChanges, len(c.Changes)),
	}
	for i := range c.Services {
		v.serviceIndexes[c.Services[i].Name] = i
	}
	for i := range c.Changes {
		v.addChange(&c.Changes[i])
	}
	return v
}

// addChange updates the changes that determine the state of ch's subject, and
// the time of the next change.
func (v *View) addChange(ch *PlannedChange) {
	changes := v.backendChanges
	if ch.isDomainChange() {
		changes = v.domainChanges
	}
	s := changes[ch.Subject]
	switch {
	case !ch.At.After(v.At):
		if s.latestDue == nil || s.latestDue.before(ch) {
			s.latestDue = ch
		}
	case s.nextPending == nil || ch.takesEffectBefore(s.nextPending):
		s.nextPending = ch
		v.nextChange = earlierTime(v.nextChange, ch.At)
	}
	changes[ch.Subject] = s
}

// takesEffectBefore orders pending changes of one subject. Of two changes at
// the same time, the one that takes precedence comes first.
func (ch *PlannedChange) takesEffectBefore(other *PlannedChange) bool {
	if !ch.At.Equal(other.At) {
		return ch.At.Before(other.At)
	}
	return other.before(ch)
}

// earlierTime returns the earlier of a and b; a zero a means no time.
func earlierTime(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// changesOf returns the changes that determine the state of ch's subject.
func (v View) changesOf(ch *PlannedChange) subjectChanges {
	if ch.isDomainChange() {
		return v.domainChanges[ch.Subject]
	}
	return v.backendChanges[ch.Subject]
}

// Service returns the service with the given name.
func (v View) Service(name string) (Service, bool) {
	i, ok := v.serviceIndexes[name]
	if !ok {
		return Service{}, false
	}
	return v.Services[i], true
}

// Domain returns the failure domain with the given name.
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
	return v.domainChanges[domain].dueSince(DomainOut)
}

// DomainBackSince returns when the failure domain came back into service, or
// false if its latest due change is not domain-back.
func (v View) DomainBackSince(domain string) (time.Time, bool) {
	return v.domainChanges[domain].dueSince(DomainBack)
}

// BackendLeaving reports whether the backend server is leaving, and since
// when.
func (v View) BackendLeaving(id string) (since time.Time, leaving bool) {
	return v.backendChanges[id].dueSince(Leave)
}

// dueSince returns the effective time of the latest due change if it is of the
// given kind.
func (s subjectChanges) dueSince(kind ChangeKind) (time.Time, bool) {
	if s.latestDue == nil || s.latestDue.Kind != kind {
		return time.Time{}, false
	}
	return s.latestDue.At, true
}

// BackendJoined reports whether the backend server may serve. It is false only
// while its first change is a join that is not yet due. A backend server
// without planned changes may serve as soon as it announces itself, and one
// whose first change is a leave may serve until then.
func (v View) BackendJoined(id string) bool {
	d := v.backendChanges[id]
	return d.latestDue != nil || !d.joinPending()
}

// joinPending reports whether the next change is a join.
func (s subjectChanges) joinPending() bool {
	return s.nextPending != nil && s.nextPending.Kind == Join
}

// NextChange returns the effective time of the first pending change of the
// configuration, or false if there is none.
func (v View) NextChange() (time.Time, bool) {
	return v.nextChange, !v.nextChange.IsZero()
}
