// Package isolation decides, without sockets, clocks or goroutines, whether a
// process may have missed a change of the configuration.
//
// A platform that is down for everyone accepts no change, so a process that
// still reaches a majority of its region's failure domains has missed nothing
// and continues. A process that reaches neither is isolated.
package isolation

import (
	"slices"
	"sort"
	"time"
)

// Times without contact to the platform and to a majority.
const (
	After       = 3 * time.Second // isolated
	SilentAfter = 4 * time.Second // an isolated balancer forwards nothing
)

// Status says whether this process is isolated. The zero value is not
// isolated.
type Status struct {
	Isolated bool
	Since    time.Time // when it became isolated
}

// Phase is what a balancer does.
type Phase uint8

// The phases of a balancer.
const (
	PhaseNormal     Phase = iota
	PhaseNoNewFlows       // reports unhealthy to the fabric and opens no flow
	PhaseSilent           // also forwards no packet
)

// Phase returns the phase of a balancer with status s at now.
func (s Status) Phase(now time.Time) Phase {
	switch {
	case !s.Isolated:
		return PhaseNormal
	case now.Sub(s.Since) >= SilentAfter-After:
		return PhaseSilent
	default:
		return PhaseNoNewFlows
	}
}

// Tracker collects contacts. It is not safe for concurrent use.
type Tracker struct {
	domain, region string
	started        time.Time // or the last contact under former domains
	platform       time.Time
	contacts       map[string]time.Time // of the region's domains
	domains        []string
	alone          bool
}

// New returns a tracker of a process in domain of region. The start counts as
// contact, so that a process has After to find its peers.
func New(domain, region string, now time.Time) *Tracker {
	return &Tracker{
		domain:   domain,
		region:   region,
		started:  now,
		contacts: map[string]time.Time{},
		domains:  []string{domain},
	}
}

// Platform notes that the state of the platform at time at is known here,
// directly or through a peer.
func (t *Tracker) Platform(at time.Time) {
	if at.After(t.platform) {
		t.platform = at
	}
}

// Process notes contact with another process at time at. Processes of other
// regions do not count.
func (t *Tracker) Process(domain, region string, at time.Time) {
	if region == t.region && at.After(t.contacts[domain]) {
		t.contacts[domain] = at
	}
}

// SetDomains sets the failure domains of the region over which a majority is
// counted. They must not shrink because of silence. With alone, no other
// process exists in the own domain, which then counts as reached. A majority of
// the former domains, as far as it was reached until now, stays a contact:
// otherwise taking out a domain would isolate processes that have had no time to
// reach others.
func (t *Tracker) SetDomains(domains []string, alone bool, now time.Time) {
	next := append([]string{t.domain}, domains...)
	sort.Strings(next)
	next = slices.Compact(next)
	if alone == t.alone && slices.Equal(next, t.domains) {
		return
	}
	t.started = t.last(now)
	t.domains, t.alone = next, alone
}

// Majority returns how many failure domains must be reached.
func Majority(domains int) int { return domains/2 + 1 }

// Status returns the status at now.
func (t *Tracker) Status(now time.Time) Status {
	last := t.last(now)
	if now.Sub(last) < After {
		return Status{}
	}
	return Status{Isolated: true, Since: last.Add(After)}
}

// last returns the last contact with the platform or a majority.
func (t *Tracker) last(now time.Time) time.Time {
	last := t.started
	for _, at := range []time.Time{t.platform, t.majority(now)} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// majority returns when a majority of the failure domains was last reached.
func (t *Tracker) majority(now time.Time) time.Time {
	times := make([]time.Time, 0, len(t.domains))
	for _, d := range t.domains {
		at := t.contacts[d]
		if d == t.domain && t.alone {
			at = now
		}
		times = append(times, at)
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[Majority(len(times))-1]
}
