package session

import (
	"testing"
	"time"
)

// Guards against a planned change that does not come into force at its time
// because the platform is down.
func TestDomainOutWhilePlatformDown(t *testing.T) {
	runSession(t, 236, "domain-out-platform-down", planDomainOut("cap-madeleine", 4*time.Second), awaitPropagation, setOutage(true), checkNoTraffic("cap-madeleine"), setOutage(false))
}

// Guards against new work for a leaving backend server after trafficBound because
// a balancer died while the leave was being distributed.
func TestBalancerDiesWhileBackendLeaves(t *testing.T) {
	runSession(t, 237, "balancer-dies-backend-leaves", leaveBackend, killBalancer("balancer-3"), checkNoNewWork, startBalancer, checkServing)
}

// Guards against work above the cold limit, and against a request that runs
// twice, when a backend server restarts while its agent is paused.
func TestBackendColdWhileAgentPaused(t *testing.T) {
	runSession(t, 238, "backend-cold-agent-paused", pauseAgent(7*time.Second, restartBackend), checkServing, awaitWorkAtChosen)
}

// Guards against a failure domain that keeps getting packets when it is taken
// out a second time, because processes mistake the second change for the first.
func TestDomainOutTwice(t *testing.T) {
	runSession(t, 239, "domain-out-twice", takeDomainOut("shawi"), checkNoTraffic("shawi"), bringDomainBack("shawi"), awaitWorkInDomain("shawi"),
		takeDomainOut("shawi"), checkNoTraffic("shawi"))
}
