package flowgate

import (
	"math"
	"time"
)

const (
	// healthHalfLife is the time after which an outcome counts half.
	healthHalfLife = time.Second
	// minFailures and failingShare are the number of recent failures, and their
	// share of all outcomes, from which a backend server gets fewer new flows.
	minFailures  = 3
	failingShare = 0.2
	// minSuccesses and calmTime are the number of successes and the time
	// without a failure after which it gets all of them again.
	minSuccesses = 3
	calmTime     = 2 * time.Second
	// failingTrial is the time between two new flows of a failing server.
	failingTrial = 500 * time.Millisecond
	// flapWindow is the time within which a second restart counts as failing.
	flapWindow = 8 * time.Second
	// overdueAfter is how long the start of an answer may take after the
	// request was delivered. The server has a slot free by then.
	overdueAfter = time.Second
	// firstServerError is the first status of an answer that says that the
	// server failed.
	firstServerError = 500
)

// health judges a backend server by the outcomes of its requests: what it says
// of itself may be wrong. A failing server keeps its open flows and gets new
// ones at a bounded rate, from which it is seen to recover.
type health struct {
	successes, failures float64 // recent ones, older ones count less
	counted             time.Time
	failing             bool
	lastFailure         time.Time
	since               int       // successes since the last failure
	lastTrial           time.Time // when a failing server got its last new flow
	restartedAt         time.Time
}

// note counts the outcome of a request.
func (h *health) note(now time.Time, success bool) {
	share := math.Exp2(-now.Sub(h.counted).Seconds() / healthHalfLife.Seconds())
	h.successes, h.failures, h.counted = h.successes*share, h.failures*share, now
	if !success {
		h.failures++
		h.lastFailure, h.since = now, 0
		h.failing = h.failing || (h.failures >= minFailures && h.failures >= failingShare*(h.successes+h.failures))
		return
	}
	h.successes++
	h.since++
	if h.since >= minSuccesses && now.Sub(h.lastFailure) >= calmTime {
		h.failing = false
	}
}

// restarted notes a new run of the backend server, which is judged anew. A
// server that restarts again and again counts as failing.
func (h *health) restarted(now time.Time) {
	again := !h.restartedAt.IsZero() && now.Sub(h.restartedAt) < flapWindow
	*h = health{counted: now, restartedAt: now, failing: again, lastFailure: now}
}

// admits reports whether a new flow may go to the backend server.
func (h *health) admits(now time.Time) bool {
	return !h.failing || now.Sub(h.lastTrial) >= failingTrial
}

// took counts a new flow.
func (h *health) took(now time.Time) { h.lastTrial = now }

// Failures returns the recent failures and all outcomes of requests; older ones
// count less.
func (g *Gate) Failures() (failures, outcomes float64) {
	return g.health.failures, g.health.failures + g.health.successes
}

// noteAnswer judges a packet of the backend server for a flow whose request has
// no answer yet.
func (g *Gate) noteAnswer(now time.Time, reset bool, status int) {
	g.health.note(now, !reset && status < firstServerError)
}

// noteGivenUp judges a flow that its caller ends while its request has no
// answer yet.
func (g *Gate) noteGivenUp(now time.Time, f *entry) {
	if f.isOverdue(now) {
		g.health.note(now, false)
	}
}

// noteOverdue counts requests whose answers don't start.
func (g *Gate) noteOverdue(now time.Time) {
	for _, f := range g.flows.entries {
		if f.isOverdue(now) {
			f.overdue = true
			g.health.note(now, false)
		}
	}
}

// isOverdue reports whether a request's answer takes too long and was not
// counted yet.
func (f *entry) isOverdue(now time.Time) bool {
	return f.waiting && !f.overdue && now.Sub(f.began) >= overdueAfter
}
