package burn

import (
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Alert names an alert that is active while the burn rates over a short and a
// long window both exceed a threshold. The short window ends the alert soon after
// the cause is gone.
type Alert string

// The alerts.
const (
	AlertFast Alert = "fast" // 5 min and 1 h
	AlertSlow Alert = "slow" // 30 min and 6 h
)

// Burn rates above which the alerts are active. A burn rate of 1 consumes the
// error budget of 30 days in exactly 30 days.
const (
	FastThreshold = 14.4 // consumes 2% of the budget of 30 days in an hour
	SlowThreshold = 6.0  // consumes 5% of the budget of 30 days in 6 hours
)

// Report holds the burn rates of all services at one time.
type Report struct {
	At         time.Time       `json:"at"`
	Generation uint64          `json:"generation"` // of the configuration that the objectives are from
	Sources    int             `json:"sources"`    // number of processes whose counts are included
	Missing    []string        `json:"missing"`    // IDs of processes that did not answer
	Services   []ServiceReport `json:"services"`
}

// ServiceReport holds the burn rates of one service.
type ServiceReport struct {
	Service    string            `json:"service"`
	Objectives config.Objectives `json:"objectives"`
	Indicators []IndicatorReport `json:"indicators"`  // those for which an objective is set
	NotCounted []KindCount       `json:"not_counted"` // failures that don't count towards the objectives, last 6 h
}

// IndicatorReport holds the burn rates of one objective.
type IndicatorReport struct {
	Indicator  Indicator      `json:"indicator"`
	Objective  float64        `json:"objective"` // required share of good requests or flows, 0 to 1
	Windows    []WindowReport `json:"windows"`
	BudgetLeft float64        `json:"budget_left"` // share of the budget of the last 6 h; negative if more than all was consumed
	Alerts     []Alert        `json:"alerts"`
	Spent      []KindCount    `json:"spent"`  // bad requests or flows by error kind, last 6 h
	Series     []Point        `json:"series"` // oldest first
}

// WindowReport holds the burn rate over one window. The counts include the whole
// bucket in which the window starts.
type WindowReport struct {
	Window time.Duration `json:"window"` // nanoseconds
	Total  uint64        `json:"total"`
	Bad    uint64        `json:"bad"`
	Rate   float64       `json:"rate"` // burn rate: 1 consumes exactly the budget; 0 without traffic
}

// Point holds the burn rate in one 5-minute bucket.
type Point struct {
	Start time.Time `json:"start"`
	Total uint64    `json:"total"`
	Bad   uint64    `json:"bad"`
	Rate  float64   `json:"rate"`
}

// Report returns the burn rates at view.At of the services in view. The caller
// sets Sources and Missing.
func (t *Tracker) Report(view config.View) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{At: view.At, Generation: view.Generation}
	for _, service := range view.Services {
		s, ok := t.service(service.Name)
		if ok {
			r.Services = append(r.Services, s.report(view.At, service))
		}
	}
	return r
}

// HasActiveAlerts reports whether any alert is active.
func (r Report) HasActiveAlerts() bool {
	for _, s := range r.Services {
		for _, i := range s.Indicators {
			if len(i.Alerts) > 0 {
				return true
			}
		}
	}
	return false
}

// Longest returns the burn rate over the longest window.
func (i IndicatorReport) Longest() WindowReport {
	return i.Windows[len(i.Windows)-1]
}

// AlertNames returns the active alerts, comma-separated, or "-" if there are
// none.
func (i IndicatorReport) AlertNames() string {
	if len(i.Alerts) == 0 {
		return "-"
	}
	names := make([]string, len(i.Alerts))
	for n, a := range i.Alerts {
		names[n] = string(a)
	}
	return strings.Join(names, ", ")
}

func (s *series) report(now time.Time, service config.Service) ServiceReport {
	failures := s.causes.sum(now, Window6h)
	r := ServiceReport{Service: service.Name, Objectives: service.Objectives, NotCounted: failures.NotCounted}
	for _, o := range objectives(service.Objectives) {
		r.Indicators = append(r.Indicators, s.indicatorReport(now, o.indicator, o.share, failures))
	}
	return r
}

type objective struct {
	indicator Indicator
	share     float64
}

// objectives returns the objectives that are set. A value of 0 means not set.
func objectives(o config.Objectives) []objective {
	var list []objective
	if o.AnsweredShare > 0 {
		list = append(list, objective{Answered, o.AnsweredShare})
	}
	if o.UnbrokenShare > 0 {
		list = append(list, objective{Unbroken, o.UnbrokenShare})
	}
	if o.LatencyP99 > 0 {
		list = append(list, objective{Latency, latencyShare})
	}
	return list
}

func (s *series) indicatorReport(now time.Time, i Indicator, share float64, failures causes) IndicatorReport {
	r := IndicatorReport{Indicator: i, Objective: share, Spent: failures.forIndicator(i), Series: s.points(now, i, share)}
	rates := map[time.Duration]float64{}
	for _, w := range Windows() {
		total, bad := s.windowCounts(now, w).forIndicator(i)
		rates[w] = burnRate(total, bad, share)
		r.Windows = append(r.Windows, WindowReport{w, total, bad, rates[w]})
	}
	r.BudgetLeft = 1 - rates[Window6h]
	r.Alerts = activeAlerts(rates)
	return r
}

// windowCounts returns the counts over a window, from the finest buckets that
// cover it.
func (s *series) windowCounts(now time.Time, w time.Duration) Counts {
	if w <= Window30m {
		return s.fine.sum(now, w)
	}
	return s.coarse.sum(now, w)
}

// burnRate returns the share of bad requests or flows divided by the share that
// the objective allows.
func burnRate(total, bad uint64, share float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - share)
}

func activeAlerts(rates map[time.Duration]float64) []Alert {
	var active []Alert
	if rates[Window5m] > FastThreshold && rates[Window1h] > FastThreshold {
		active = append(active, AlertFast)
	}
	if rates[Window30m] > SlowThreshold && rates[Window6h] > SlowThreshold {
		active = append(active, AlertSlow)
	}
	return active
}

// points returns one point for each coarse bucket of the last 6 h, including
// empty buckets.
func (s *series) points(now time.Time, i Indicator, share float64) []Point {
	last := s.coarse.index(now)
	var points []Point
	for n := last - int64(Window6h/coarseSpan); n <= last; n++ {
		total, bad := s.coarse.value(n).forIndicator(i)
		points = append(points, Point{time.Unix(0, n*int64(coarseSpan)).UTC(), total, bad, burnRate(total, bad, share)})
	}
	return points
}
