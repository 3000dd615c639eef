// Package burnpage renders burn reports as a text table and as one HTML page. It
// computes no rates; package burn does.
package burnpage

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
)

const timeLayout = "2006-01-02 15:04:05 MST"

// WriteText writes the report as a table. Errors have kind ReportFailed.
func WriteText(w io.Writer, r burn.Report) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Service-level burn at %s, generation %d, %d processes counted\n",
		r.At.UTC().Format(timeLayout), r.Generation, r.Sources)
	if len(r.Missing) > 0 {
		fmt.Fprintf(&b, "No answer from: %s\n", strings.Join(r.Missing, ", "))
	}
	for _, s := range r.Services {
		writeService(&b, s)
	}
	_, err := io.WriteString(w, b.String())
	return errkind.Wrap(err, errkind.ReportFailed, "write table")
}

func writeService(w io.Writer, s burn.ServiceReport) {
	fmt.Fprintf(w, "\n%s\n", s.Service)
	if len(s.Indicators) == 0 {
		fmt.Fprintln(w, "  no objectives")
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  indicator\tobjective\trate 5m\t30m\t1h\t6h\tbudget left\tbad of total (6h)\talerts")
	for _, i := range s.Indicators {
		writeRow(table, s, i)
	}
	if len(s.Indicators) > 0 {
		_ = table.Flush() // the writer is a strings.Builder, which cannot fail
	}
	for _, i := range s.Indicators {
		writeSpent(w, "spent by "+string(i.Indicator), i.Spent)
	}
	writeSpent(w, "not counted", s.NotCounted)
}

func writeRow(w io.Writer, s burn.ServiceReport, i burn.IndicatorReport) {
	fmt.Fprintf(w, "  %s\t%s", i.Indicator, objectiveText(s, i))
	for _, window := range i.Windows {
		fmt.Fprintf(w, "\t%.1f", window.Rate)
	}
	longest := i.Longest()
	fmt.Fprintf(w, "\t%s\t%d of %d\t%s\n", percentTenths(i.BudgetLeft), longest.Bad, longest.Total, i.AlertNames())
}

// objectiveText formats the objective of an indicator.
func objectiveText(s burn.ServiceReport, i burn.IndicatorReport) string {
	if i.Indicator == burn.Latency {
		return fmt.Sprintf("%s within %s", exactPercent(i.Objective), s.Objectives.LatencyP99.Round(time.Microsecond))
	}
	return exactPercent(i.Objective)
}

func writeSpent(w io.Writer, title string, spent []burn.KindCount) {
	if len(spent) > 0 {
		fmt.Fprintf(w, "  %s: %s\n", title, formatSpent(spent))
	}
}

// formatSpent lists error kinds with their counts and shares.
func formatSpent(spent []burn.KindCount) string {
	var total uint64
	for _, s := range spent {
		total += s.Count
	}
	parts := make([]string, len(spent))
	for n, s := range spent {
		parts[n] = fmt.Sprintf("%s %d (%s)", s.Kind, s.Count, percentTenths(float64(s.Count)/float64(total)))
	}
	return strings.Join(parts, ", ")
}

// exactPercent formats a share as a percentage with up to three decimals and
// without trailing zeros, such as 99.95%.
func exactPercent(share float64) string {
	text := fmt.Sprintf("%.3f", share*100)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".") + "%"
}

// percentTenths formats a share as a percentage with one decimal.
func percentTenths(share float64) string {
	return fmt.Sprintf("%.1f%%", share*100)
}
