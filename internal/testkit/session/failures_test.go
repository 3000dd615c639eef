package session

import (
	"testing"
	"time"
)

// Guards against flows that end with a balancer that dies without notice.
func TestBalancerDies(t *testing.T) {
	play(t, 226, "balancer-dies", killBalancer("balancer-1"), working, startBalancer, working)
}

// Guards against a balancer that learns of a leave later than all others and
// gives the leaving backend server new work after the bound.
func TestUnevenUpdates(t *testing.T) {
	play(t, 227, "uneven-updates", cut("balancer-1", 2*time.Second, leave), noNewWork)
}

// Guards against a backend server that restarts without notice, with a load
// endpoint that misleads, and gets more than it bears.
func TestBackendRestarts(t *testing.T) {
	play(t, 228, "backend-restarts", restart, working, restart, chosenWorks, working)
}

// Guards against an outage of the platform that stops anything, or that a
// fresh balancer does not survive.
func TestPlatformDown(t *testing.T) {
	play(t, 229, "platform-down", outage(true), wait(5*time.Second), startBalancer, working,
		stopBalancer("balancer-1"), working, outage(false), leave, noNewWork)
}

// Guards against a slow platform that holds up a change or requests.
func TestPlatformSlow(t *testing.T) {
	play(t, 230, "platform-slow", slowPlatform(time.Second), leave, noNewWork)
}

// Guards against a change that is made twice, or reported as failed, because
// the answer to its write was lost.
func TestAnswerLost(t *testing.T) {
	play(t, 231, "answer-lost", loseAnswer, takeOut("shawi"), silent("shawi"), loseAnswer, bringBack("shawi"), domainWorks("shawi"))
}

// Guards against work that an agent starts after a pause longer than its
// lease, and against one that does not serve again.
func TestAgentPaused(t *testing.T) {
	play(t, 232, "agent-paused", pause(7*time.Second, working), working, chosenWorks)
}

// Guards against a change that is lost because another operator made one at
// the same time.
func TestOperatorsRace(t *testing.T) {
	play(t, 233, "operators-race", race(leave, takeOut("shawi")), silent("shawi"), noNewWork)
}

// Guards against a change that does not reach processes whose control
// connections have gone silent.
func TestPeersSilent(t *testing.T) {
	play(t, 234, "peers-silent", silencePeers("balancer-1"), silencePeers("comptoir-1"), leave, noNewWork)
}

// Guards against flows that break because what an agent sends to one balancer
// is lost for good.
func TestReturnPathSilent(t *testing.T) {
	play(t, 235, "return-path-silent", loseReturnPath("balancer-2"), working, wait(5*time.Second), working)
}
