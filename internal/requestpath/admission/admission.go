// Package admission decides how many requests and flows one backend server is
// given. It is pure: events and the time come in, decisions go out. A Limiter
// is not safe for concurrent use.
package admission

import (
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Decision says whether a request or flow is let in.
type Decision uint8

// The decisions.
const (
	Admitted        Decision = iota + 1
	Full                     // the concurrency limit is reached
	ConnectionsFull          // the connection limit is reached
)

// Signal is what the end of a request says about the backend server.
type Signal uint8

// The signals.
const (
	Neutral Signal = iota + 1 // cancelled, past its deadline, or never sent
	Success                   // answered by the backend server
	Shed                      // refused by the backend server as not-run
	Lost                      // connection refused or reset: a sign of a cold start
)

// Result is the end of one admitted request.
type Result struct {
	Signal     Signal
	AdmittedAt time.Time
}

// Ramp returns the number of requests in progress that a backend server bears
// when elapsed has passed since its cold start: a linear ramp from ColdSlots
// to Slots, rounded down.
func Ramp(l config.Limits, elapsed time.Duration) int {
	if elapsed >= l.WarmUp {
		return l.Slots
	}
	if elapsed <= 0 {
		return l.ColdSlots
	}
	gained := float64(l.Slots-l.ColdSlots) * (float64(elapsed) / float64(l.WarmUp))
	return l.ColdSlots + int(gained)
}

// Limiter holds the limits of one backend server.
type Limiter struct {
	limits     config.Limits
	coldSince  time.Time // last sign of a cold start
	grown      float64   // limit earned by successes, at least 1
	reducedAt  time.Time // last reduction
	latency    latency
	failures   int       // sheds and losses since the last success
	failedAt   time.Time // last shed or loss
	inProgress int
	flows      int
	feeds      int
}

// New returns the limiter of a backend server about which nothing is known:
// it may be in a cold start.
func New(limits config.Limits, now time.Time) *Limiter {
	l := &Limiter{limits: limits}
	l.ColdSign(now)
	return l
}

// SetLimits replaces the limits. Requests in progress are not affected.
func (l *Limiter) SetLimits(limits config.Limits) {
	l.limits = limits
	l.grown = min(l.grown, float64(limits.Slots))
}

// Limit returns the number of requests that may be in progress at now.
func (l *Limiter) Limit(now time.Time) int {
	return min(int(l.grown), Ramp(l.limits, now.Sub(l.coldSince)))
}

// Cold reports whether the backend server may still be warming up.
func (l *Limiter) Cold(now time.Time) bool {
	return now.Sub(l.coldSince) < l.limits.WarmUp
}

// InProgress returns the number of admitted requests that have not ended.
func (l *Limiter) InProgress() int { return l.inProgress }

// Flows returns the number of open flows.
func (l *Limiter) Flows() int { return l.flows }

// Admit asks for a slot. Every admitted request needs one call of Done.
func (l *Limiter) Admit(now time.Time) Decision {
	if l.inProgress >= l.Limit(now) {
		return Full
	}
	l.inProgress++
	return Admitted
}

// Done ends one admitted request.
func (l *Limiter) Done(now time.Time, r Result) {
	l.inProgress--
	l.noteFailure(now, r.Signal)
	switch r.Signal {
	case Success:
		l.succeeded(now, r.AdmittedAt)
	case Shed:
		l.halve(now, r.AdmittedAt)
	case Lost:
		l.ColdSign(now)
	case Neutral:
	}
}

const (
	// failingAfter is the number of sheds and losses in a row that are no
	// coincidence.
	failingAfter = 3
	// failingHold is how long a failing backend server is left alone before one
	// request finds out whether it has recovered.
	failingHold = time.Second
)

func (l *Limiter) noteFailure(now time.Time, s Signal) {
	switch s {
	case Success:
		l.failures = 0
	case Shed, Lost:
		l.failures++
		l.failedAt = now
	case Neutral:
	}
}

// Failing reports whether the backend server has answered nothing but sheds
// and losses lately, so that requests do better elsewhere.
func (l *Limiter) Failing(now time.Time) bool {
	return l.failures >= failingAfter && now.Sub(l.failedAt) < failingHold
}

// ColdSign drops the limit to the cold limit: a connection was refused or
// reset, so the backend server may have restarted.
func (l *Limiter) ColdSign(now time.Time) {
	l.coldSince = now
	l.reducedAt = now
	l.grown = float64(l.limits.ColdSlots)
	l.latency = latency{}
}

// OpenFlow asks for one of the flows that the backend server's connection
// limit allows. Every admitted flow needs one call of CloseFlow.
func (l *Limiter) OpenFlow() Decision { return take(&l.flows, l.limits.Connections) }

// CloseFlow ends one admitted flow.
func (l *Limiter) CloseFlow() { l.flows-- }

// OpenFeed asks for one connection that a feed holds at the backend server.
// Every admitted feed needs one call of CloseFeed.
func (l *Limiter) OpenFeed() Decision { return take(&l.feeds, l.limits.Connections) }

// CloseFeed ends one admitted feed.
func (l *Limiter) CloseFeed() { l.feeds-- }

func take(count *int, limit int) Decision {
	if *count >= limit {
		return ConnectionsFull
	}
	*count++
	return Admitted
}

// succeeded grows the limit by one for each round of successes. A request that
// was admitted before the last reduction says nothing about the time after it.
func (l *Limiter) succeeded(now, admittedAt time.Time) {
	if admittedAt.Before(l.reducedAt) {
		return
	}
	if l.latency.jumped(now.Sub(admittedAt)) {
		l.halve(now, admittedAt)
		return
	}
	l.grown = min(l.grown+1/l.grown, float64(l.limits.Slots))
}

// halve reduces the limit once per round: requests that were in progress
// together see the same overload, and must not reduce it again and again.
func (l *Limiter) halve(now, admittedAt time.Time) {
	if admittedAt.Before(l.reducedAt) {
		return
	}
	l.reducedAt = now
	l.grown = max(l.grown/2, 1)
	l.latency = latency{}
}
