package session

import (
	"testing"
	"time"
)

// Guards against a planned change that waits for the platform.
func TestDomainOutWhilePlatformDown(t *testing.T) {
	play(t, 236, "domain-out-platform-down", planOut("cap-madeleine", 4*time.Second), inForceSoon, outage(true), silent("cap-madeleine"), outage(false))
}

// Guards against a leave that new work survives because a balancer died with
// it.
func TestBalancerDiesWhileBackendLeaves(t *testing.T) {
	play(t, 237, "balancer-dies-backend-leaves", leave, killBalancer("balancer-3"), noNewWork, startBalancer, working)
}

// Guards against work above the cold limit, or a second run, when a backend
// server restarts while its agent is paused.
func TestBackendColdWhileAgentPaused(t *testing.T) {
	play(t, 238, "backend-cold-agent-paused", pause(7*time.Second, restart), working, chosenWorks)
}

// Guards against a second outage of a failure domain that is not in force
// because the first one was.
func TestDomainOutTwice(t *testing.T) {
	play(t, 239, "domain-out-twice", takeOut("shawi"), silent("shawi"), bringBack("shawi"), domainWorks("shawi"),
		takeOut("shawi"), silent("shawi"))
}
