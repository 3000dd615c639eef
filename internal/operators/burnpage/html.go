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
var pageSource string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"tenths": tenths,
	"spent":  spentText,
	"stamp":  func(r burn.Report) string { return r.At.UTC().Format(timeLayout) },
	"plot":   newPlot,
	"join":   strings.Join,
	"target": target,
}).Parse(pageSource))

// WriteHTML writes a report as one page that loads nothing else. Errors have
// kind ReportFailed.
func WriteHTML(w io.Writer, r burn.Report) error {
	return errkind.Wrap(page.Execute(w, r), errkind.ReportFailed, "write page")
}

// Size of a plot in SVG units, without the margins for labels.
const (
	plotWidth  = 640.0
	plotHeight = 120.0
)

// minPlotRate keeps the thresholds visible in the plot of a quiet service.
const minPlotRate = burn.FastThreshold * 1.1

// plot is a burn rate over time as SVG coordinates.
type plot struct {
	Label  string
	Line   string // points of a polyline
	Levels []level
	Hours  []hour
}

// level is a horizontal line at a rate.
type level struct {
	Y    float64
	Text string
}

// hour is a label of the time axis.
type hour struct {
	X    float64
	Text string
}

func newPlot(service string, i burn.IndicatorReport) plot {
	top := topRate(i.Series)
	p := plot{Label: fmt.Sprintf("Burn rate of %s, %s", service, i.Indicator), Line: polyline(i.Series, top)}
	for _, rate := range []float64{1, burn.SlowThreshold, burn.FastThreshold} {
		p.Levels = append(p.Levels, level{plotY(rate, top), fmt.Sprintf("%g", rate)})
	}
	for n, point := range i.Series {
		if point.Start.Minute() == 0 {
			p.Hours = append(p.Hours, hour{plotX(n, len(i.Series)), point.Start.Format("15:04")})
		}
	}
	return p
}

func topRate(series []burn.Point) float64 {
	top := minPlotRate
	for _, p := range series {
		top = max(top, p.Rate)
	}
	return top
}

func polyline(series []burn.Point, top float64) string {
	points := make([]string, len(series))
	for n, p := range series {
		points[n] = fmt.Sprintf("%.1f,%.1f", plotX(n, len(series)), plotY(p.Rate, top))
	}
	return strings.Join(points, " ")
}

func plotX(n, count int) float64 {
	return plotWidth * float64(n) / float64(max(count-1, 1))
}

func plotY(rate, top float64) float64 {
	return plotHeight * (1 - rate/top)
}
