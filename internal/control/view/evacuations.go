package view

import (
	"maps"
	"slices"
	"time"
)

// maxListingGap is the longest time between two times at which the evacuations were known to
// be current for which a listing of them counts as one without a gap. It is shorter than an
// evacuation takes.
const maxListingGap = 2500 * time.Millisecond

// Evacuations are the failure domains whose backend servers get no new flows.
type Evacuations struct {
	Revision Revision
	Domains  map[string]bool
	// ended holds, by failure domain, the revision at which the last end of an evacuation
	// became known.
	ended map[string]Revision
	// listed is the revision at which the section was last replaced as a whole after a gap. A
	// listing tells nothing of the evacuations that began and ended before it.
	listed Revision
	// retained are the domains whose evacuation is not in the store, because it was restored
	// from a copy.
	retained map[string]bool
}

// Retained returns the failure domains that are taken out although their evacuation is not in
// the store, because it was restored from a copy.
func (e Evacuations) Retained() []string { return slices.Sorted(maps.Keys(e.retained)) }

// LastEnd returns the revision at which it became known that an evacuation of a failure
// domain has ended, or may have ended. It rises also if the view never showed that
// evacuation.
func (e Evacuations) LastEnd(domain string) Revision { return max(e.ended[domain], e.listed) }

// apply returns the evacuations after d, which applies to them.
func (e Evacuations) apply(d Delta) Evacuations {
	next := Evacuations{Revision: d.To, Domains: map[string]bool{}, ended: map[string]Revision{}, listed: e.listed}
	for _, domain := range d.Domains {
		next.Domains[domain] = true
	}
	maps.Copy(next.ended, e.ended)
	next.retain(e, d)
	for domain := range e.Domains {
		if !next.Domains[domain] {
			next.ended[domain] = d.To
		}
	}
	for _, domain := range d.Ended {
		next.ended[domain] = d.To
	}
	if d.followsGap {
		next.listed = d.To
	}
	return next
}
