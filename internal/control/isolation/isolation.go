// Package isolation decides from the contacts of a process whether it may have
// missed a change of the configuration. It must not open sockets, read clocks or
// start goroutines.
//
// A platform that is down for everyone accepts no change, so a process that
// still reaches a majority of its region's failure domains has missed nothing
// and continues. A process that reaches neither the platform nor such a
// majority is isolated.
package isolation

import (
	"slices"
	"sort"
	"time"
)

// Times without contact with the platform or with a majority of the region's
// failure domains.
const (
	IsolatedAfter     = 3 * time.Second // after which a process is isolated
	NoForwardingAfter = 4 * time.Second // after which an isolated balancer forwards nothing
)

// Status says whether this process is isolated. The zero value is not
// isolated.
type Status struct {
	Isolated bool
	Since    time.Time // when it became isolated
}

// Phase says how far an isolated balancer has stopped its service.
type Phase uint8

// The phases of a balancer.
const (
	PhaseNormal       Phase = iota
	PhaseNoNewFlows         // reports unhealthy to the fabric and opens no flow
	PhaseNoForwarding       // in addition, forwards no packet
)

// Phase returns the phase of a balancer with status s at now.
func (s Status) Phase(now time.Time) Phase {
	switch {
	case !s.Isolated:
		return PhaseNormal
	case now.Sub(s.Since) >= NoForwardingAfter-IsolatedAfter:
		return PhaseNoForwarding
	default:
		return PhaseNoNewFlows
	}
}

// Tracker records the last contacts of a process. It is not safe for concurrent
// use.
type Tracker struct {
	domain, region  string
	baseline        time.Time // start time, or the last contact before the last SetDomains that changed anything
	platformContact time.Time
	domainContacts  map[string]time.Time // last contact with each failure domain of the region
	domains         []string
	aloneInDomain   bool
}

// New returns a tracker for a process in the given failure domain and region.
// The start counts as contact, so that the process has IsolatedAfter to find its
// peers.
func New(domain, region string, now time.Time) *Tracker {
	return &Tracker{
		domain:         domain,
		region:         region,
		baseline:       now,
		domainContacts: map[string]time.Time{},
		domains:        []string{domain},
	}
}

// RecordPlatformContact notes that the state of the platform at time at is known
// here, directly or through a peer.
func (t *Tracker) RecordPlatformContact(at time.Time) {
	if at.After(t.platformContact) {
		t.platformContact = at
	}
}

// RecordProcessContact notes contact with another process at time at. Processes
// of other regions are ignored.
func (t *Tracker) RecordProcessContact(domain, region string, at time.Time) {
	if region == t.region && at.After(t.domainContacts[domain]) {
		t.domainContacts[domain] = at
	}
}

// SetDomains sets the failure domains of the region over which a majority is
// counted. The caller must not drop domains because they are silent. With alone,
// no other process exists in this process's domain, which then counts as
// reached. The last contact with a majority of the former domains still counts:
// otherwise taking out a domain would isolate processes that have had no time to
// reach others.
func (t *Tracker) SetDomains(domains []string, alone bool, now time.Time) {
	next := append([]string{t.domain}, domains...)
	sort.Strings(next)
	next = slices.Compact(next)
	if alone == t.aloneInDomain && slices.Equal(next, t.domains) {
		return
	}
	t.baseline = t.lastContact(now)
	t.domains, t.aloneInDomain = next, alone
}

// Majority returns how many of the given number of failure domains are a majority.
func Majority(domains int) int { return domains/2 + 1 }

// Status returns the status at now.
func (t *Tracker) Status(now time.Time) Status {
	last := t.lastContact(now)
	if now.Sub(last) < IsolatedAfter {
		return Status{}
	}
	return Status{Isolated: true, Since: last.Add(IsolatedAfter)}
}

// lastContact returns when the platform or a majority was last reached.
func (t *Tracker) lastContact(now time.Time) time.Time {
	last := t.baseline
	for _, at := range []time.Time{t.platformContact, t.lastMajorityContact(now)} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// lastMajorityContact returns the latest time since which a majority of the
// failure domains has been reached; zero means never.
func (t *Tracker) lastMajorityContact(now time.Time) time.Time {
	times := make([]time.Time, 0, len(t.domains))
	for _, d := range t.domains {
		at := t.domainContacts[d]
		if d == t.domain && t.aloneInDomain {
			at = now
		}
		times = append(times, at)
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[Majority(len(times))-1]
}
