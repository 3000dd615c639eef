package flowgate

import "time"

// LearningReason says why an agent learns flows from packets, or no longer does.
type LearningReason string

// The reasons.
const (
	LearnsSinceStart    LearningReason = "start"           // learns: an earlier process may have opened flows
	LearnsUnreportedRun LearningReason = "other-run"       // learns: the handover is of another run of the backend server
	KnowsFromFirstStart LearningReason = "first-start"     // the whole system starts for the first time
	KnowsByIdleTimeout  LearningReason = "idle-timeout"    // flows that are still unknown have been idle for too long
	KnowsByFlowLifetime LearningReason = "flow-lifetime"   // flows that are still unknown are too old
	KnowsByHandover     LearningReason = "handover"        // an earlier process handed all flows over
	KnowsRunSinceStart  LearningReason = "run-since-start" // the backend server started after the agent
)

// learning holds which flows the backend server may hold although the agent doesn't know them:
// those that were opened before a time, and of which it has seen no packet since. They are
// offered to the backend server until they must be over.
type learning struct {
	unseenSince time.Time // zero if the agent knows all flows
	// withoutHandover is unseenSince before a handover was taken over, zero if none was.
	withoutHandover time.Time
	reason          LearningReason
}

// end ends learning: the agent knows all flows.
func (l *learning) end(reason LearningReason) {
	if !l.unseenSince.IsZero() {
		l.unseenSince, l.reason = time.Time{}, reason
	}
}

// takeOver applies what a handover says of unknown flows: there are none if it is complete, and
// otherwise the earlier process has seen no packet of them since a time, zero if unknown.
func (l *learning) takeOver(complete bool, unseenSince time.Time) {
	if l.unseenSince.IsZero() {
		return
	}
	l.withoutHandover = l.unseenSince
	if complete {
		l.end(KnowsByHandover)
	} else if !unseenSince.IsZero() && unseenSince.Before(l.unseenSince) {
		l.unseenSince = unseenSince
	}
}

// resume makes learning what it is without the handover, which says nothing of the present run
// of the backend server.
func (l *learning) resume() {
	if !l.withoutHandover.IsZero() {
		l.unseenSince, l.reason, l.withoutHandover = l.withoutHandover, LearnsUnreportedRun, time.Time{}
	}
}

// learns reports whether the backend server may hold flows that the agent doesn't know.
func (g *Gate) learns(now time.Time) bool {
	return g.mayLive(now, g.backend.learning.unseenSince)
}

// mayLive reports whether a flow of which the agent has seen no packet since a time, and that
// was opened before, may still be open. The zero time stands for no such flow.
func (g *Gate) mayLive(now, unseenSince time.Time) bool {
	return !unseenSince.IsZero() && now.Sub(unseenSince) < g.flowLifetime && !g.isIdleTooLong(unseenSince)
}

// isIdleTooLong reports whether a flow of any route that was seen last at a time is over because
// it has been idle for too long.
func (g *Gate) isIdleTooLong(lastSeen time.Time) bool {
	return g.idle.isExceeded(lastSeen, idleMargin(g.longestTimeout))
}

// expireLearning ends learning once the flows that are still unknown must be over.
func (g *Gate) expireLearning(now time.Time) {
	if learns, reason := g.Learning(now); !learns {
		g.backend.learning.end(reason)
	}
}

// Learning reports whether the backend server may hold flows that the agent doesn't know, and
// why or why not.
func (g *Gate) Learning(now time.Time) (bool, LearningReason) {
	l := &g.backend.learning
	switch {
	case l.unseenSince.IsZero():
		return false, l.reason
	case g.learns(now):
		return true, l.reason
	case g.isIdleTooLong(l.unseenSince):
		return false, KnowsByIdleTimeout
	}
	return false, KnowsByFlowLifetime
}

// LearnFor returns how much longer the backend server may hold flows that the agent doesn't know
// at most, 0 if it knows all.
func (g *Gate) LearnFor(now time.Time) time.Duration {
	if !g.learns(now) {
		return 0
	}
	return g.flowLifetime - now.Sub(g.backend.learning.unseenSince)
}

// SetFlowLifetime sets how long a flow may last.
func (g *Gate) SetFlowLifetime(d time.Duration) { g.flowLifetime = d }
