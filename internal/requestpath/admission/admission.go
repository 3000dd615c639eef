// Package admission limits the number of concurrent requests, flows and feeds
// of one backend server. It must not depend on sockets, clocks or goroutines:
// the caller passes in events and the current time. A Limiter is not safe for
// concurrent use.
package admission

import (
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Decision says whether a request, flow or feed is admitted.
type Decision uint8

// The decisions.
const (
	Admitted        Decision = iota + 1
	Full                     // the concurrency limit is reached
	ConnectionsFull          // the connection limit is reached
)

// Signal classifies the end of a request by what it implies about the load and
// health of the backend server.
type Signal uint8

// The signals.
const (
	Neutral        Signal = iota + 1 // cancelled, past its deadline, or never sent
	Success                          // answered by the backend server
	Shed                             // refused by the backend server with the outcome not-run
	ConnectionLost                   // connection refused or reset, which may be a cold start
)

// Result describes how one admitted request ended.
type Result struct {
	Signal     Signal
	AdmittedAt time.Time
}

// WarmUpLimit returns the number of concurrent requests that a backend server
// can take at the time elapsed after its cold start. It grows linearly from
// ColdSlots to Slots within WarmUp and is rounded down.
func WarmUpLimit(l config.Limits, elapsed time.Duration) int {
	if elapsed >= l.WarmUp {
		return l.Slots
	}
	if elapsed <= 0 {
		return l.ColdSlots
	}
	extraSlots := float64(l.Slots-l.ColdSlots) * (float64(elapsed) / float64(l.WarmUp))
	return l.ColdSlots + int(extraSlots)
}

// Limiter enforces the limits of one backend server. Its limit of concurrent
// requests adapts: it grows with successes, is halved on overload and is reset
// on a cold start.
type Limiter struct {
	limits        config.Limits
	coldSince     time.Time // time of the last indication of a cold start
	adaptiveLimit float64   // grows with successes, at least 1
	reducedAt     time.Time // time of the last reduction
	latency       latencyDetector
	failures      int       // consecutive results Shed or ConnectionLost
	lastFailureAt time.Time // time of the last result Shed or ConnectionLost
	inProgress    int
	flows         int
	feeds         int
}

// New returns the limiter of a backend server whose state is unknown. It is
// treated as if it had just started cold.
func New(limits config.Limits, now time.Time) *Limiter {
	l := &Limiter{limits: limits}
	l.MarkCold(now)
	return l
}

// SetLimits replaces the limits. Requests in progress are not affected.
func (l *Limiter) SetLimits(limits config.Limits) {
	l.limits = limits
	l.adaptiveLimit = min(l.adaptiveLimit, float64(limits.Slots))
}

// Limit returns the number of requests that may be in progress at now.
func (l *Limiter) Limit(now time.Time) int {
	return min(int(l.adaptiveLimit), WarmUpLimit(l.limits, now.Sub(l.coldSince)))
}

// IsCold reports whether the backend server may still be warming up.
func (l *Limiter) IsCold(now time.Time) bool {
	return now.Sub(l.coldSince) < l.limits.WarmUp
}

// InProgress returns the number of admitted requests that have not ended.
func (l *Limiter) InProgress() int { return l.inProgress }

// Flows returns the number of open flows.
func (l *Limiter) Flows() int { return l.flows }

// Admit requests a slot. Done must be called once for every admitted request.
func (l *Limiter) Admit(now time.Time) Decision {
	if l.inProgress >= l.Limit(now) {
		return Full
	}
	l.inProgress++
	return Admitted
}

// Done releases the slot of one admitted request and adapts the limit to its
// result.
func (l *Limiter) Done(now time.Time, r Result) {
	l.inProgress--
	l.updateFailures(now, r.Signal)
	switch r.Signal {
	case Success:
		l.onSuccess(now, r.AdmittedAt)
	case Shed:
		l.halve(now, r.AdmittedAt)
	case ConnectionLost:
		l.MarkCold(now)
	case Neutral:
	}
}

const (
	// failingThreshold is the number of consecutive results Shed or
	// ConnectionLost from which a backend server counts as failing. Fewer may
	// be coincidence.
	failingThreshold = 3
	// failingBackoff is how long after its last failure a backend server counts as
	// failing. Then a request may probe whether it has recovered.
	failingBackoff = time.Second
)

func (l *Limiter) updateFailures(now time.Time, s Signal) {
	switch s {
	case Success:
		l.failures = 0
	case Shed, ConnectionLost:
		l.failures++
		l.lastFailureAt = now
	case Neutral:
	}
}

// IsFailing reports whether the backend server's latest results were all Shed or
// ConnectionLost and the last of them is recent, so that requests should go to
// another backend server.
func (l *Limiter) IsFailing(now time.Time) bool {
	return l.failures >= failingThreshold && now.Sub(l.lastFailureAt) < failingBackoff
}

// MarkCold reduces the limit to ColdSlots, because there is an indication that
// the backend server has restarted, such as a refused or reset connection.
func (l *Limiter) MarkCold(now time.Time) {
	l.coldSince = now
	l.reducedAt = now
	l.adaptiveLimit = float64(l.limits.ColdSlots)
	l.latency = latencyDetector{}
}

// OpenFlow requests one of the flows that the backend server's connection limit
// allows. CloseFlow must be called once for every admitted flow.
func (l *Limiter) OpenFlow() Decision { return acquire(&l.flows, l.limits.Connections) }

// CloseFlow releases one admitted flow.
func (l *Limiter) CloseFlow() { l.flows-- }

// OpenFeed requests one of the connections that feeds may hold to the backend
// server. CloseFeed must be called once for every admitted feed.
func (l *Limiter) OpenFeed() Decision { return acquire(&l.feeds, l.limits.Connections) }

// CloseFeed releases one admitted feed.
func (l *Limiter) CloseFeed() { l.feeds-- }

// acquire increments count unless it has reached limit.
func acquire(count *int, limit int) Decision {
	if *count >= limit {
		return ConnectionsFull
	}
	*count++
	return Admitted
}

// onSuccess increases the limit by 1/limit, which adds one slot per limit
// successes, and halves it if latency has jumped. A request that was admitted before
// the last reduction is ignored: it doesn't show the load after the reduction.
func (l *Limiter) onSuccess(now, admittedAt time.Time) {
	if admittedAt.Before(l.reducedAt) {
		return
	}
	if l.latency.addSample(now.Sub(admittedAt)) {
		l.halve(now, admittedAt)
		return
	}
	l.adaptiveLimit = min(l.adaptiveLimit+1/l.adaptiveLimit, float64(l.limits.Slots))
}

// halve reduces the limit at most once for all requests that were in progress
// at the same time: they result from the same overload, and reducing the limit
// for each of them would reduce it too far.
func (l *Limiter) halve(now, admittedAt time.Time) {
	if admittedAt.Before(l.reducedAt) {
		return
	}
	l.reducedAt = now
	l.adaptiveLimit = max(l.adaptiveLimit/2, 1)
	l.latency = latencyDetector{}
}
