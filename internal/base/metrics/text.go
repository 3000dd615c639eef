package metrics

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles of a histogram that the text format reports.
var quantiles = []float64{0.5, 0.95, 0.99, 0.999}

// WriteText writes all metrics in the text exposition format 0.0.4, in the
// order of their registration.
func (r *Registry) WriteText(w io.Writer) error {
	var b bytes.Buffer
	var last Name
	for _, e := range r.entries {
		if e.name != last {
			fmt.Fprintf(&b, "# TYPE %s %s\n", e.textName(), textType(e.metric))
		}
		last = e.name
		e.writeText(&b)
	}
	_, err := w.Write(b.Bytes())
	return err
}

func (e entry) textName() string {
	return "knapweedpier_" + strings.ReplaceAll(string(e.name), ".", "_")
}

// textType returns the metric type for the TYPE line. Counters are reported as
// gauges because some of them are also decremented.
func textType(metric any) string {
	if _, ok := metric.(gometrics.Histogram); ok {
		return "summary"
	}
	return "gauge"
}

func (e entry) writeText(w io.Writer) {
	switch m := e.metric.(type) {
	case gometrics.Counter:
		fmt.Fprintf(w, "%s%s %d\n", e.textName(), e.labelText(), m.Count())
	case gometrics.Gauge:
		fmt.Fprintf(w, "%s%s %d\n", e.textName(), e.labelText(), m.Value())
	case gometrics.Histogram:
		writeSummary(w, e.textName(), m.Snapshot())
	}
}

func (e entry) labelText() string {
	if e.labelName == "" {
		return ""
	}
	return fmt.Sprintf("{%s=%q}", e.labelName, e.labelValue)
}

func writeSummary(w io.Writer, name string, h gometrics.Histogram) {
	values := h.Percentiles(quantiles)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(w, "%s_count %d\n", name, h.Count())
}
