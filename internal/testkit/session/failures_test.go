package session

import (
	"testing"
	"time"
)

// Guards against flows that break because a balancer dies without notice.
func TestBalancerDies(t *testing.T) {
	runSession(t, 226, "balancer-dies", killBalancer("balancer-1"), checkServing, startBalancer, checkServing)
}

// Guards against new work for a leaving backend server after trafficBound: a
// balancer that is cut off learns of the leave later than all others and steers
// openings there.
func TestUnevenUpdates(t *testing.T) {
	runSession(t, 227, "uneven-updates", cutOff("balancer-1", 2*time.Second, leaveBackend), checkNoNewWork)
}

// Guards against work above the cold limit of a backend server that restarts
// without notice while its load endpoint reports that it is idle.
func TestBackendRestarts(t *testing.T) {
	runSession(t, 228, "backend-restarts", restartBackend, checkServing, restartBackend, awaitWorkAtChosen, checkServing)
}

// Guards against a platform outage that interrupts service or delays a change
// after it, and against a balancer that can't start during the outage.
func TestPlatformDown(t *testing.T) {
	runSession(t, 229, "platform-down", setOutage(true), sleepFor(5*time.Second), startBalancer, checkServing,
		stopBalancer("balancer-1"), checkServing, setOutage(false), leaveBackend, checkNoNewWork)
}

// Guards against a change or requests that are delayed past their bound because
// platform calls are slow.
func TestPlatformSlow(t *testing.T) {
	runSession(t, 230, "platform-slow", delayPlatform(time.Second), leaveBackend, checkNoNewWork)
}

// Guards against a change that is made twice, or reported as failed, because
// the platform's response to its write was lost.
func TestAnswerLost(t *testing.T) {
	runSession(t, 231, "answer-lost", loseNextAnswer, takeDomainOut("shawi"), checkNoTraffic("shawi"), loseNextAnswer, bringDomainBack("shawi"), awaitWorkInDomain("shawi"))
}

// Guards against work that an agent starts after a pause longer than its
// lease, and against an agent that doesn't serve again after the pause.
func TestAgentPaused(t *testing.T) {
	runSession(t, 232, "agent-paused", pauseAgent(7*time.Second, checkServing), checkServing, awaitWorkAtChosen)
}

// Guards against a lost update when two operators make changes at the same
// time.
func TestOperatorsRace(t *testing.T) {
	runSession(t, 233, "operators-race", runConcurrently(leaveBackend, takeDomainOut("shawi")), checkNoTraffic("shawi"), checkNoNewWork)
}

// Guards against a change that does not reach a process because its control
// connections stay open but deliver nothing any more.
func TestPeersSilent(t *testing.T) {
	runSession(t, 234, "peers-silent", silencePeers("balancer-1"), silencePeers("comptoir-1"), leaveBackend, checkNoNewWork)
}

// Guards against flows that break because all packets from an agent to one
// balancer are lost.
func TestReturnPathSilent(t *testing.T) {
	runSession(t, 235, "return-path-silent", dropReturnPath("balancer-2"), checkServing, sleepFor(5*time.Second), checkServing)
}
