// Package metrics owns the counters, gauges and histograms of the programs and
// serves them to operators. Updating a counter or a gauge does not allocate.
package metrics

import (
	"slices"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Counter counts things. It is safe for concurrent use.
type Counter = gometrics.Counter

// Gauge holds a current value. It is safe for concurrent use.
type Gauge = gometrics.Gauge

// Histogram keeps a sample of values that favours the last five minutes. It is
// safe for concurrent use.
type Histogram = gometrics.Histogram

// Reservoir size and decay of go-metrics' documented default: 99.9% confidence
// with a 5% margin of error, biased to the last five minutes.
const (
	reservoirSize = 1028
	decayAlpha    = 0.015
)

// Registry holds the metrics of one process, or of one role in a process that
// embeds several. Metrics are registered before the registry is served.
type Registry struct {
	inner   gometrics.Registry
	entries []entry
}

// entry is one metric with what the text form needs.
type entry struct {
	name   Name
	label  string // "kind" or "outcome", empty for a single metric
	value  string // value of the label
	metric any
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{inner: gometrics.NewRegistry()}
}

// Inner returns the registry of the library, for packages that count under
// names registered here.
func (r *Registry) Inner() gometrics.Registry { return r.inner }

// add registers a metric. A name that is registered twice is a programming
// error.
func (r *Registry) add(e entry) {
	name := string(e.name)
	if e.label != "" {
		name += "." + e.value
	}
	if err := r.inner.Register(name, e.metric); err != nil {
		panic("metrics: " + err.Error())
	}
	r.entries = append(r.entries, e)
}

func (r *Registry) counter(name Name) Counter {
	c := gometrics.NewCounter()
	r.add(entry{name: name, metric: c})
	return c
}

func (r *Registry) gauge(name Name) Gauge {
	g := gometrics.NewGauge()
	r.add(entry{name: name, metric: g})
	return g
}

func (r *Registry) histogram(name Name) Histogram {
	h := gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoirSize, decayAlpha))
	r.add(entry{name: name, metric: h})
	return h
}

// KindCounter counts by error kind. It is safe for concurrent use.
type KindCounter struct {
	counters map[errkind.Kind]Counter // not modified after creation
}

// KindCount is the count of one error kind.
type KindCount struct {
	Kind  errkind.Kind `json:"kind"`
	Count uint64       `json:"count"`
}

// kinds registers a counter for each error kind from first to last, and one
// for Internal, which also takes kinds outside the range.
func (r *Registry) kinds(name Name, first, last errkind.Kind) *KindCounter {
	k := &KindCounter{counters: map[errkind.Kind]Counter{}}
	for _, row := range errkind.Table() {
		if (row.Kind < first || row.Kind > last) && row.Kind != errkind.Internal {
			continue
		}
		c := gometrics.NewCounter()
		k.counters[row.Kind] = c
		r.add(entry{name: name, label: "kind", value: row.Name, metric: c})
	}
	return k
}

// Inc adds 1 to the count of kind.
func (k *KindCounter) Inc(kind errkind.Kind) {
	c, ok := k.counters[kind]
	if !ok {
		c = k.counters[errkind.Internal]
	}
	c.Inc(1)
}

// Counts returns the counts that are not 0, ordered by kind.
func (k *KindCounter) Counts() []KindCount {
	var counts []KindCount
	for kind, c := range k.counters {
		if n := c.Count(); n > 0 {
			counts = append(counts, KindCount{kind, uint64(n)})
		}
	}
	slices.SortFunc(counts, func(a, b KindCount) int { return int(a.Kind) - int(b.Kind) })
	return counts
}

// OutcomeCounter counts by outcome. It is safe for concurrent use.
type OutcomeCounter struct {
	done, notRun, unknown Counter
}

func (r *Registry) outcomes(name Name) *OutcomeCounter {
	o := &OutcomeCounter{gometrics.NewCounter(), gometrics.NewCounter(), gometrics.NewCounter()}
	r.add(entry{name, "outcome", string(errkind.OutcomeDone), o.done})
	r.add(entry{name, "outcome", string(errkind.OutcomeNotRun), o.notRun})
	r.add(entry{name, "outcome", string(errkind.OutcomeUnknown), o.unknown})
	return o
}

// Inc adds 1 to the count of outcome. Everything that is neither done nor
// not-run counts as unknown.
func (o *OutcomeCounter) Inc(outcome errkind.Outcome) {
	switch outcome {
	case errkind.OutcomeDone:
		o.done.Inc(1)
	case errkind.OutcomeNotRun:
		o.notRun.Inc(1)
	default:
		o.unknown.Inc(1)
	}
}

// Count returns the count of outcome.
func (o *OutcomeCounter) Count(outcome errkind.Outcome) uint64 {
	switch outcome {
	case errkind.OutcomeDone:
		return uint64(o.done.Count())
	case errkind.OutcomeNotRun:
		return uint64(o.notRun.Count())
	default:
		return uint64(o.unknown.Count())
	}
}
