package flowgate

import (
	"math"
	"time"
)

const (
	// healthHalfLife is the time after which an outcome counts half as much.
	healthHalfLife = time.Second
	// minFailures and failingShare are the number of recent failures and their
	// share of all outcomes from which a backend server counts as failing and gets
	// few new flows.
	minFailures  = 3
	failingShare = 0.2
	// minSuccesses and minFailureFreeTime are the number of successes in a row and
	// the time without a failure after which it no longer counts as failing.
	minSuccesses       = 3
	minFailureFreeTime = 2 * time.Second
	// failingTrialInterval is the time between two new flows that are sent to a
	// failing backend server as a trial.
	failingTrialInterval = 500 * time.Millisecond
	// flapWindow is the time within which a second restart makes a backend server
	// count as failing.
	flapWindow = 8 * time.Second
	// overdueAfter is how long the start of an answer may take after the request
	// was delivered before it counts as a failure. The backend server has a slot
	// free by then.
	overdueAfter = time.Second
	// firstServerError is the lowest HTTP status that reports a failure of the
	// backend server.
	firstServerError = 500
	// unavailableStatus is the HTTP status with which a server refuses a request.
	unavailableStatus = 503
)

// health detects a failing backend server from the outcomes of its requests,
// because its own reports may be wrong. A failing backend server keeps its open
// flows and gets new ones at a bounded rate, so that its recovery is noticed.
type health struct {
	successes, failures float64 // exponentially decaying counts
	decayedAt           time.Time
	failing             bool
	lastFailure         time.Time
	successesInRow      int       // number of successes since the last failure
	lastNewFlow         time.Time // when the backend server got its last new flow
	runStartedAt        time.Time
}

// recordOutcome counts the outcome of a request.
func (h *health) recordOutcome(now time.Time, success bool) {
	decay := math.Exp2(-now.Sub(h.decayedAt).Seconds() / healthHalfLife.Seconds())
	h.successes, h.failures, h.decayedAt = h.successes*decay, h.failures*decay, now
	if !success {
		h.failures++
		h.lastFailure, h.successesInRow = now, 0
		h.failing = h.failing || (h.failures >= minFailures && h.failures >= failingShare*(h.successes+h.failures))
		return
	}
	h.successes++
	h.successesInRow++
	if h.successesInRow >= minSuccesses && now.Sub(h.lastFailure) >= minFailureFreeTime {
		h.failing = false
	}
}

// reset starts the counts anew for a new run of the backend server. A backend
// server that restarts twice within flapWindow counts as failing.
func (h *health) reset(now time.Time) {
	flapping := !h.runStartedAt.IsZero() && now.Sub(h.runStartedAt) < flapWindow
	*h = health{decayedAt: now, runStartedAt: now, failing: flapping, lastFailure: now}
}

// admitsNewFlow reports whether a new flow may go to the backend server.
func (h *health) admitsNewFlow(now time.Time) bool {
	return !h.failing || now.Sub(h.lastNewFlow) >= failingTrialInterval
}

// noteNewFlow records a new flow.
func (h *health) noteNewFlow(now time.Time) { h.lastNewFlow = now }

// RecentOutcomes returns the exponentially decaying counts of failures and of all
// outcomes of requests.
func (g *Gate) RecentOutcomes() (failures, outcomes float64) {
	return g.health.failures, g.health.failures + g.health.successes
}

// recordAnswer records the outcome of a request from the first packet that the
// backend server sends for it. A refusal of a request that was delivered beyond its slots
// shows no fault: under overload, each server refuses what it can't queue.
func (g *Gate) recordAnswer(now time.Time, f *entry, reset bool, status int) {
	if f.beyondSlots && status == unavailableStatus {
		return
	}
	g.health.recordOutcome(now, !reset && status < firstServerError)
}

// recordAbandoned records a failure if the caller ends its flow while the answer
// to its request is overdue.
func (g *Gate) recordAbandoned(now time.Time, f *entry) {
	if f.isOverdue(now) {
		g.health.recordOutcome(now, false)
	}
}

// recordOverdue records a failure for each request whose answer is overdue.
func (g *Gate) recordOverdue(now time.Time) {
	for _, f := range g.flows.entries {
		if f.isOverdue(now) {
			f.overdueCounted = true
			g.health.recordOutcome(now, false)
		}
	}
}

// isOverdue reports whether the answer to a request is overdue and was not counted
// as a failure yet.
func (f *entry) isOverdue(now time.Time) bool {
	return f.awaitsAnswer && !f.overdueCounted && now.Sub(f.requestDeliveredAt) >= overdueAfter
}
