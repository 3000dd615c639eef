// Package metrics defines the counters, gauges and histograms of the programs
// and serves them over HTTP on the ops endpoint. Updating a counter or
// a gauge does not allocate. Of this module it imports only package errkind.
package metrics

import (
	"slices"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Counter is a count that can go up and down. It is safe for concurrent use.
type Counter = gometrics.Counter

// Gauge holds a current value. It is safe for concurrent use.
type Gauge = gometrics.Gauge

// Histogram keeps a random sample of values, biased to the last five minutes. It
// is safe for concurrent use.
type Histogram = gometrics.Histogram

// Reservoir size and decay factor that the documentation of go-metrics
// recommends: 99.9% confidence with a 5% margin of error, biased to the last
// five minutes.
const (
	reservoirSize = 1028
	decayAlpha    = 0.015
)

// Registry holds the metrics of one process, or of one role in a process that
// embeds several. All metrics must be registered before the registry is served.
type Registry struct {
	underlying gometrics.Registry
	entries    []entry
}

// entry is one metric with its name and label for the text exposition format.
type entry struct {
	name       Name
	labelName  string // "kind", "outcome" or "reason", empty for a single metric
	labelValue string // value of the label
	metric     any
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{underlying: gometrics.NewRegistry()}
}

// GoMetrics returns the underlying go-metrics registry, for packages that update
// metrics registered here by name.
func (r *Registry) GoMetrics() gometrics.Registry { return r.underlying }

// register adds a metric. It panics if the name is already registered.
func (r *Registry) register(e entry) {
	name := string(e.name)
	if e.labelName != "" {
		name += "." + e.labelValue
	}
	if err := r.underlying.Register(name, e.metric); err != nil {
		panic("metrics: " + err.Error())
	}
	r.entries = append(r.entries, e)
}

func (r *Registry) registerCounter(name Name) Counter {
	c := gometrics.NewCounter()
	r.register(entry{name: name, metric: c})
	return c
}

func (r *Registry) registerGauge(name Name) Gauge {
	g := gometrics.NewGauge()
	r.register(entry{name: name, metric: g})
	return g
}

func (r *Registry) registerHistogram(name Name) Histogram {
	h := gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoirSize, decayAlpha))
	r.register(entry{name: name, metric: h})
	return h
}

// GaugeFamily is a gauge for each value of a label. It is safe for concurrent use.
type GaugeFamily struct {
	gauges map[string]Gauge // not modified after creation
}

func (r *Registry) registerGaugeFamily(name Name, labelName string, values []string) *GaugeFamily {
	f := &GaugeFamily{gauges: map[string]Gauge{}}
	for _, value := range values {
		g := gometrics.NewGauge()
		f.gauges[value] = g
		r.register(entry{name: name, labelName: labelName, labelValue: value, metric: g})
	}
	return f
}

// Update sets the gauge of a label's value. It panics if the value is not registered.
func (f *GaugeFamily) Update(value string, n int64) { f.gauges[value].Update(n) }

// Value returns the gauge of a label's value, 0 if it is not registered.
func (f *GaugeFamily) Value(value string) int64 {
	if g, ok := f.gauges[value]; ok {
		return g.Value()
	}
	return 0
}

// KindCounter is a counter for each error kind of a range. It is safe for
// concurrent use.
type KindCounter struct {
	counters map[errkind.Kind]Counter // not modified after creation
}

// KindCount is the count of one error kind.
type KindCount struct {
	Kind  errkind.Kind `json:"kind"`
	Count uint64       `json:"count"`
}

// registerKindCounter registers a counter for each error kind from first to
// last, and one for Internal, which also counts kinds outside the range.
func (r *Registry) registerKindCounter(name Name, first, last errkind.Kind) *KindCounter {
	k := &KindCounter{counters: map[errkind.Kind]Counter{}}
	for _, row := range errkind.Table() {
		if (row.Kind < first || row.Kind > last) && row.Kind != errkind.Internal {
			continue
		}
		c := gometrics.NewCounter()
		k.counters[row.Kind] = c
		r.register(entry{name: name, labelName: "kind", labelValue: row.Name, metric: c})
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

// OutcomeCounter is a counter for each outcome. It is safe for concurrent use.
type OutcomeCounter struct {
	done, notRun, unknown Counter
}

func (r *Registry) registerOutcomeCounter(name Name) *OutcomeCounter {
	o := &OutcomeCounter{gometrics.NewCounter(), gometrics.NewCounter(), gometrics.NewCounter()}
	r.register(entry{name, "outcome", string(errkind.OutcomeDone), o.done})
	r.register(entry{name, "outcome", string(errkind.OutcomeNotRun), o.notRun})
	r.register(entry{name, "outcome", string(errkind.OutcomeUnknown), o.unknown})
	return o
}

// Inc adds 1 to the count of outcome. An unlisted outcome counts as unknown.
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
