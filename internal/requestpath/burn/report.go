package burn

import (
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Alert names a pair of windows whose burn rates are both over a threshold.
// The short window makes the alert end soon after the cause is gone.
type Alert string

// The alerts.
const (
	AlertFast Alert = "fast" // 5 min and 1 h
	AlertSlow Alert = "slow" // 30 min and 6 h
)

// Thresholds of the alerts, as multiples of the rate that spends the budget of
// 30 days in exactly 30 days.
const (
	FastThreshold = 14.4 // spends 2% of 30 days' budget in an hour
	SlowThreshold = 6.0  // spends 5% of 30 days' budget in 6 hours
)

// Report is the burn of all services at one instant.
type Report struct {
	At         time.Time       `json:"at"`
	Generation uint64          `json:"generation"` // of the objectives
	Sources    int             `json:"sources"`    // processes that were counted
	Missing    []string        `json:"missing"`    // IDs of processes that did not answer
	Services   []ServiceReport `json:"services"`
}

// ServiceReport is the burn of one service.
type ServiceReport struct {
	Service    string            `json:"service"`
	Objectives config.Objectives `json:"objectives"`
	Indicators []IndicatorReport `json:"indicators"`  // those with an objective
	NotCounted []Spent           `json:"not_counted"` // failures outside the objectives, last 6 h
}

// IndicatorReport is the burn of one objective.
type IndicatorReport struct {
	Indicator  Indicator      `json:"indicator"`
	Objective  float64        `json:"objective"` // share, 0 to 1
	Windows    []WindowReport `json:"windows"`
	BudgetLeft float64        `json:"budget_left"` // share of the last 6 h' budget; negative when overspent
	Alerts     []Alert        `json:"alerts"`
	Spent      []Spent        `json:"spent"`  // by error kind, last 6 h
	Series     []Point        `json:"series"` // oldest first
}

// WindowReport is the burn over one window. Counts include the bucket that the
// window starts in.
type WindowReport struct {
	Window time.Duration `json:"window"` // nanoseconds
	Total  uint64        `json:"total"`
	Bad    uint64        `json:"bad"`
	Rate   float64       `json:"rate"` // 1 spends exactly the budget; 0 without traffic
}

// Point is the burn of one 5-minute bucket.
type Point struct {
	Start time.Time `json:"start"`
	Total uint64    `json:"total"`
	Bad   uint64    `json:"bad"`
	Rate  float64   `json:"rate"`
}

// Report returns the burn of the services in view at view.At. The caller adds
// Sources and Missing.
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

// Alerting reports whether any alert is active.
func (r Report) Alerting() bool {
	for _, s := range r.Services {
		for _, i := range s.Indicators {
			if len(i.Alerts) > 0 {
				return true
			}
		}
	}
	return false
}

// Longest returns the longest window.
func (i IndicatorReport) Longest() WindowReport {
	return i.Windows[len(i.Windows)-1]
}

// AlertNames lists the active alerts, or "-".
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
	why := s.causes.sum(now, Window6h)
	r := ServiceReport{Service: service.Name, Objectives: service.Objectives, NotCounted: why.NotCounted}
	for _, o := range objectives(service.Objectives) {
		r.Indicators = append(r.Indicators, s.indicator(now, o.indicator, o.share, why))
	}
	return r
}

type objective struct {
	indicator Indicator
	share     float64
}

// objectives lists the objectives that are set; 0 means none.
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

func (s *series) indicator(now time.Time, i Indicator, share float64, why causes) IndicatorReport {
	r := IndicatorReport{Indicator: i, Objective: share, Spent: why.of(i), Series: s.points(now, i, share)}
	rates := map[time.Duration]float64{}
	for _, w := range Windows() {
		total, bad := s.window(now, w).of(i)
		rates[w] = burnRate(total, bad, share)
		r.Windows = append(r.Windows, WindowReport{w, total, bad, rates[w]})
	}
	r.BudgetLeft = 1 - rates[Window6h]
	r.Alerts = alerts(rates)
	return r
}

func (s *series) window(now time.Time, w time.Duration) Counts {
	if w <= Window30m {
		return s.fine.sum(now, w)
	}
	return s.coarse.sum(now, w)
}

// burnRate is the bad share divided by the budget.
func burnRate(total, bad uint64, share float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - share)
}

func alerts(rates map[time.Duration]float64) []Alert {
	var active []Alert
	if rates[Window5m] > FastThreshold && rates[Window1h] > FastThreshold {
		active = append(active, AlertFast)
	}
	if rates[Window30m] > SlowThreshold && rates[Window6h] > SlowThreshold {
		active = append(active, AlertSlow)
	}
	return active
}

// points returns the coarse buckets of the last 6 h, also the empty ones.
func (s *series) points(now time.Time, i Indicator, share float64) []Point {
	last := s.coarse.index(now)
	var out []Point
	for n := last - int64(Window6h/coarseSpan); n <= last; n++ {
		total, bad := s.coarse.at(n).of(i)
		out = append(out, Point{time.Unix(0, n*int64(coarseSpan)).UTC(), total, bad, burnRate(total, bad, share)})
	}
	return out
}
