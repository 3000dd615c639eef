package burn

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Spans of the buckets: fine ones for the windows up to 30 min, coarse ones
// for the longer windows and the plot, and half hours for causes.
const (
	fineSpan   = time.Minute
	coarseSpan = 5 * time.Minute
	causeSpan  = 30 * time.Minute
)

// maxServices bounds the services of one tracker and thereby the size of a
// message. The target size has 340.
const maxServices = 1024

// maxAhead is how far a merged bucket may start after now. A bucket further
// ahead comes from a wrong clock and would displace correct ones.
const maxAhead = fineSpan

// Tracker counts requests and flows for each service. It is safe for
// concurrent use.
type Tracker struct {
	mu       sync.Mutex
	services map[string]*series
}

// series are the counts of one service.
type series struct {
	fine, coarse ring[Counts]
	causes       ring[causes]
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{services: map[string]*series{}}
}

// Request counts a request that was answered by a backend server (kind 0) or
// ended with an error kind. slow says that an answer came later than the
// latency objective.
func (t *Tracker) Request(now time.Time, service string, kind errkind.Kind, slow bool) {
	switch {
	case notCounted(kind):
		t.add(now, service, Counts{}, causes{NotCounted: []Spent{{kind, 1}}})
	case kind != 0:
		t.add(now, service, Counts{Requests: 1, Refused: 1}, causes{Refused: []Spent{{kind, 1}}})
	case slow:
		t.add(now, service, Counts{Requests: 1, Slow: 1}, causes{})
	default:
		t.add(now, service, Counts{Requests: 1}, causes{})
	}
}

// FlowEnded counts a flow that ended without an error (kind 0) or was broken
// by an error kind.
func (t *Tracker) FlowEnded(now time.Time, service string, kind errkind.Kind) {
	switch {
	case notCounted(kind):
		t.add(now, service, Counts{}, causes{NotCounted: []Spent{{kind, 1}}})
	case kind != 0:
		t.add(now, service, Counts{Flows: 1, Broken: 1}, causes{Broken: []Spent{{kind, 1}}})
	default:
		t.add(now, service, Counts{Flows: 1}, causes{})
	}
}

func (t *Tracker) add(now time.Time, service string, c Counts, why causes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.service(service)
	if !ok {
		return
	}
	s.fine.add(s.fine.index(now), c)
	s.coarse.add(s.coarse.index(now), c)
	if !why.empty() {
		s.causes.add(s.causes.index(now), why)
	}
}

func (c causes) empty() bool {
	return len(c.Refused)+len(c.Broken)+len(c.NotCounted) == 0
}

// service returns the series of a service, or false if there are too many.
// Must hold t.mu.
func (t *Tracker) service(name string) (*series, bool) {
	if s, ok := t.services[name]; ok {
		return s, true
	}
	if len(t.services) >= maxServices {
		return nil, false
	}
	s := &series{
		fine:   newRing(fineSpan, Window30m, Counts.add),
		coarse: newRing(coarseSpan, Window6h, Counts.add),
		causes: newRing(causeSpan, Window6h, causes.add),
	}
	t.services[name] = s
	return s, true
}

// Message is the content of a tracker for another process. It holds at most
// 31 fine buckets, 73 coarse ones and 13 of causes for each service.
type Message struct {
	Services []ServiceMessage `json:"services"` // ordered by name
}

// ServiceMessage is the content of a tracker for one service.
type ServiceMessage struct {
	Name   string           `json:"name"`
	Fine   []bucket[Counts] `json:"fine"`   // of 1 min
	Coarse []bucket[Counts] `json:"coarse"` // of 5 min
	Causes []bucket[causes] `json:"causes"` // of 30 min
}

// Message returns the content of the tracker.
func (t *Tracker) Message() Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	var m Message
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		m.Services = append(m.Services, ServiceMessage{name, s.fine.used(), s.coarse.used(), s.causes.used()})
	}
	return m
}

// Merge adds the content of another tracker. It refuses a message with a
// PeerMalformed error, and then adds nothing, if the message is larger than a
// tracker makes it or its buckets start before 1970 or after now.
func (t *Tracker) Merge(now time.Time, m Message) error {
	if err := m.check(now); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := t.with(m); n > maxServices {
		return errkind.Errorf(errkind.PeerMalformed, "%d services, at most %d are possible", n, maxServices)
	}
	for _, sm := range m.Services {
		s, _ := t.service(sm.Name)
		mergeRing(&s.fine, sm.Fine)
		mergeRing(&s.coarse, sm.Coarse)
		mergeRing(&s.causes, sm.Causes)
	}
	return nil
}

// with returns the number of services after a merge of m. Must hold t.mu.
func (t *Tracker) with(m Message) int {
	fresh := map[string]bool{}
	for _, s := range m.Services {
		if _, ok := t.services[s.Name]; !ok {
			fresh[s.Name] = true
		}
	}
	return len(t.services) + len(fresh)
}

func mergeRing[T any](r *ring[T], buckets []bucket[T]) {
	for _, b := range buckets {
		r.add(b.Index, b.Value)
	}
}

func (m Message) check(now time.Time) error {
	if len(m.Services) > maxServices {
		return errkind.Errorf(errkind.PeerMalformed, "%d services, at most %d are possible", len(m.Services), maxServices)
	}
	for _, s := range m.Services {
		ok := checkBuckets(s.Fine, fineSpan, Window30m, now) &&
			checkBuckets(s.Coarse, coarseSpan, Window6h, now) &&
			checkBuckets(s.Causes, causeSpan, Window6h, now)
		if !ok {
			return errkind.Errorf(errkind.PeerMalformed, "service %q: too many buckets, or buckets outside the time kept", s.Name)
		}
	}
	return nil
}

func checkBuckets[T any](buckets []bucket[T], span, kept time.Duration, now time.Time) bool {
	limit := now.Add(maxAhead).UnixNano() / int64(span)
	for _, b := range buckets {
		if b.Index <= 0 || b.Index > limit {
			return false
		}
	}
	return len(buckets) <= int(kept/span)+1
}
