package flowgate

import "time"

// LearningReason says why an agent learns flows from packets, or no longer does.
type LearningReason string

// The reasons.
const (
	LearnsSinceStart       LearningReason = "start"           // learns: an earlier process may have opened flows
	LearnsUnreportedRun    LearningReason = "other-run"       // learns: the handover is of another run of the backend server
	LearnedNothing         LearningReason = "first-start"     // the whole system starts for the first time
	LearnedByIdleTimeout   LearningReason = "idle-timeout"    // flows that are still unknown have been idle for too long
	LearnedByFlowLifetime  LearningReason = "flow-lifetime"   // flows that are still unknown are too old
	LearnedByHandover      LearningReason = "handover"        // an earlier process handed all flows over
	LearnedByRunSinceStart LearningReason = "run-since-start" // the backend server started after the agent
)

// Learning reports whether the backend server may hold flows that the agent doesn't know, and
// why or why not.
func (g *Gate) Learning(now time.Time) (bool, LearningReason) {
	learns, reason := now.Before(g.backend.learnUntil), g.backend.learningReason
	switch {
	case learns && reason != LearnsUnreportedRun:
		return true, LearnsSinceStart
	case !learns && reason == LearnsSinceStart:
		return false, LearnedByFlowLifetime
	}
	return learns, reason
}
