package burnpage

import (
	_ "embed" // for the page's template
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
)

//go:embed page.html.tmpl
var pageTemplateText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"tenths": percentTenths,
	"spent":  formatSpent,
	"stamp":  func(r burn.Report) string { return r.At.UTC().Format(timeLayout) },
	"plot":   newPlot,
	"join":   strings.Join,
	"target": objectiveText,
}).Parse(pageTemplateText))

// WriteHTML writes a report as one page without external resources. Errors have
// kind ReportFailed.
func WriteHTML(w io.Writer, r burn.Report) error {
	return errkind.Wrap(pageTemplate.Execute(w, r), errkind.ReportFailed, "write page")
}

// Size of a plot in SVG units, without the margins for labels.
const (
	plotWidth  = 640.0
	plotHeight = 120.0
)

// minPlotRate is the smallest range of the rate axis. It keeps the thresholds
// visible in the plot of a service with low burn rates.
const minPlotRate = burn.FastThreshold * 1.1

// plot is a burn rate over time as SVG coordinates.
type plot struct {
	Label  string
	Line   string // points attribute of a polyline
	Levels []rateLevel
	Hours  []hourLabel
}

// rateLevel is a horizontal line with its label.
type rateLevel struct {
	Y    float64
	Text string
}

// hourLabel is a label of the time axis.
type hourLabel struct {
	X    float64
	Text string
}

func newPlot(service string, i burn.IndicatorReport) plot {
	topRate := maxRate(i.Series)
	p := plot{Label: fmt.Sprintf("Burn rate of %s, %s", service, i.Indicator), Line: polyline(i.Series, topRate)}
	for _, rate := range []float64{1, burn.SlowThreshold, burn.FastThreshold} {
		p.Levels = append(p.Levels, rateLevel{plotY(rate, topRate), fmt.Sprintf("%g", rate)})
	}
	for n, point := range i.Series {
		if point.Start.Minute() == 0 {
			p.Hours = append(p.Hours, hourLabel{plotX(n, len(i.Series)), point.Start.Format("15:04")})
		}
	}
	return p
}

func maxRate(series []burn.Point) float64 {
	topRate := minPlotRate
	for _, p := range series {
		topRate = max(topRate, p.Rate)
	}
	return topRate
}

func polyline(series []burn.Point, topRate float64) string {
	points := make([]string, len(series))
	for n, p := range series {
		points[n] = fmt.Sprintf("%.1f,%.1f", plotX(n, len(series)), plotY(p.Rate, topRate))
	}
	return strings.Join(points, " ")
}

func plotX(n, count int) float64 {
	return plotWidth * float64(n) / float64(max(count-1, 1))
}

func plotY(rate, topRate float64) float64 {
	return plotHeight * (1 - rate/topRate)
}
