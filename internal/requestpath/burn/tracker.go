package burn

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Spans of the buckets: fine ones for windows up to 30 min, coarse ones for
// longer windows and the plot, and half hours for error kinds.
const (
	fineSpan   = time.Minute
	coarseSpan = 5 * time.Minute
	causeSpan  = 30 * time.Minute
)

// maxServices bounds the number of services in one tracker, and so the size of a
// message. The target size of a deployment has 340 services.
const maxServices = 1024

// maxClockSkew bounds how far after the current time a merged bucket may start. A
// bucket that starts later comes from a wrong clock and would displace correct
// buckets.
const maxClockSkew = fineSpan

// Tracker counts requests and flows for each service. It is safe for
// concurrent use.
type Tracker struct {
	mu       sync.Mutex
	services map[string]*series
}

// series holds the counts of one service.
type series struct {
	fine, coarse bucketRing[Counts]
	causes       bucketRing[causes]
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{services: map[string]*series{}}
}

// RecordRequest counts a request that was answered by a backend server (kind 0) or
// that failed with an error kind. slow states that the answer came later than
// the latency objective.
func (t *Tracker) RecordRequest(now time.Time, service string, kind errkind.Kind, slow bool) {
	switch {
	case isNotCounted(kind):
		t.add(now, service, Counts{}, causes{NotCounted: []KindCount{{kind, 1}}})
	case kind != 0:
		t.add(now, service, Counts{Requests: 1, Unanswered: 1}, causes{Unanswered: []KindCount{{kind, 1}}})
	case slow:
		t.add(now, service, Counts{Requests: 1, Slow: 1}, causes{})
	default:
		t.add(now, service, Counts{Requests: 1}, causes{})
	}
}

// RecordFlowEnd counts a flow that ended without an error (kind 0) or with an error
// kind.
func (t *Tracker) RecordFlowEnd(now time.Time, service string, kind errkind.Kind) {
	switch {
	case isNotCounted(kind):
		t.add(now, service, Counts{}, causes{NotCounted: []KindCount{{kind, 1}}})
	case kind != 0:
		t.add(now, service, Counts{Flows: 1, Broken: 1}, causes{Broken: []KindCount{{kind, 1}}})
	default:
		t.add(now, service, Counts{Flows: 1}, causes{})
	}
}

func (t *Tracker) add(now time.Time, service string, c Counts, failures causes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.service(service)
	if !ok {
		return
	}
	s.fine.add(s.fine.index(now), c)
	s.coarse.add(s.coarse.index(now), c)
	if !failures.isEmpty() {
		s.causes.add(s.causes.index(now), failures)
	}
}

func (c causes) isEmpty() bool {
	return len(c.Unanswered)+len(c.Broken)+len(c.NotCounted) == 0
}

// service returns the series of a service and creates it if needed. It returns
// false if there are maxServices others. The caller must hold t.mu.
func (t *Tracker) service(name string) (*series, bool) {
	if s, ok := t.services[name]; ok {
		return s, true
	}
	if len(t.services) >= maxServices {
		return nil, false
	}
	s := &series{
		fine:   newBucketRing(fineSpan, Window30m, Counts.add),
		coarse: newBucketRing(coarseSpan, Window6h, Counts.add),
		causes: newBucketRing(causeSpan, Window6h, causes.add),
	}
	t.services[name] = s
	return s, true
}

// Message holds the counts of a tracker for transfer to another process. It has
// at most 31 fine buckets, 73 coarse buckets and 13 buckets of causes for each
// service.
type Message struct {
	Services []ServiceMessage `json:"services"` // ordered by name
}

// ServiceMessage holds a tracker's counts of one service.
type ServiceMessage struct {
	Name   string           `json:"name"`
	Fine   []bucket[Counts] `json:"fine"`   // of 1 min
	Coarse []bucket[Counts] `json:"coarse"` // of 5 min
	Causes []bucket[causes] `json:"causes"` // of 30 min
}

// Message returns the counts of the tracker.
func (t *Tracker) Message() Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	var m Message
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		m.Services = append(m.Services, ServiceMessage{name, s.fine.nonEmpty(), s.coarse.nonEmpty(), s.causes.nonEmpty()})
	}
	return m
}

// Merge adds the counts of another tracker. It returns a PeerMalformed error and
// adds nothing if the message exceeds the size limits of a tracker, or if one of
// its buckets starts before 1970 or more than a minute after now.
func (t *Tracker) Merge(now time.Time, m Message) error {
	if err := m.validate(now); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := t.servicesAfterMerge(m); n > maxServices {
		return errkind.Errorf(errkind.PeerMalformed, "%d services, at most %d are allowed", n, maxServices)
	}
	for _, sm := range m.Services {
		s, _ := t.service(sm.Name)
		mergeBuckets(&s.fine, sm.Fine)
		mergeBuckets(&s.coarse, sm.Coarse)
		mergeBuckets(&s.causes, sm.Causes)
	}
	return nil
}

// servicesAfterMerge returns the number of services that the tracker would have
// after a merge of m. The caller must hold t.mu.
func (t *Tracker) servicesAfterMerge(m Message) int {
	added := map[string]bool{}
	for _, s := range m.Services {
		if _, ok := t.services[s.Name]; !ok {
			added[s.Name] = true
		}
	}
	return len(t.services) + len(added)
}

func mergeBuckets[T any](r *bucketRing[T], buckets []bucket[T]) {
	for _, b := range buckets {
		r.add(b.Index, b.Value)
	}
}

// validate returns an error if the message exceeds a tracker's limits.
func (m Message) validate(now time.Time) error {
	if len(m.Services) > maxServices {
		return errkind.Errorf(errkind.PeerMalformed, "%d services, at most %d are allowed", len(m.Services), maxServices)
	}
	for _, s := range m.Services {
		ok := validBuckets(s.Fine, fineSpan, Window30m, now) &&
			validBuckets(s.Coarse, coarseSpan, Window6h, now) &&
			validBuckets(s.Causes, causeSpan, Window6h, now)
		if !ok {
			return errkind.Errorf(errkind.PeerMalformed, "service %q: too many buckets, or a bucket outside the retention period", s.Name)
		}
	}
	return nil
}

func validBuckets[T any](buckets []bucket[T], span, retention time.Duration, now time.Time) bool {
	limit := now.Add(maxClockSkew).UnixNano() / int64(span)
	for _, b := range buckets {
		if b.Index <= 0 || b.Index > limit {
			return false
		}
	}
	return len(buckets) <= int(retention/span)+1
}
