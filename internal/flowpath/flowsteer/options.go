package flowsteer

import "github.com/knapweedpier/knapweedpier/internal/flowpath/linkbudget"

// Options are the settings of a steerer.
type Options struct {
	LinkRate float64 // bytes per second that the balancer's link carries in each direction, 0 if unknown
}

// narrow reports whether repeated messages may saturate the balancer's link.
func (o Options) narrow() bool { return linkbudget.IsNarrow(o.LinkRate) }

// SetLinkRate replaces the rate of the link, for example after it turned out to be greater than
// configured.
func (s *Steerer) SetLinkRate(rate float64) {
	s.options.LinkRate = rate
	s.retryBudget.setLinkRate(s.options)
}
