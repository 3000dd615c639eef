package session

import (
	"testing"
	"time"
)

// Guards against a backend server that gets work before its planned join, or
// none after it.
func TestBackendJoins(t *testing.T) {
	runSession(t, 221, "backend-joins", joinBackend("comptoir-9", "shawi", 4*time.Second), checkServing)
}

// Guards against feeds or requests that are cut off because their backend
// server leaves, and against new work for it after trafficBound.
func TestBackendLeaves(t *testing.T) {
	runSession(t, 222, "backend-leaves", leaveBackend, checkNoNewWork)
}

// Guards against packets to a failure domain that is out, and against callers
// that get no service from the other domains.
func TestDomainOut(t *testing.T) {
	runSession(t, 223, "domain-out", takeDomainOut("tr-centre"), checkNoTraffic("tr-centre"))
}

// Guards against a failure domain that gets no work after it came back, and
// against work above the cold limits of its backend servers.
func TestDomainBack(t *testing.T) {
	runSession(t, 224, "domain-back", takeDomainOut("shawi"), checkNoTraffic("shawi"), bringDomainBack("shawi"), awaitWorkInDomain("shawi"), checkServing)
}

// Guards against flows and requests that break because a balancer is replaced.
func TestBalancerReplaced(t *testing.T) {
	runSession(t, 225, "balancer-replaced", stopBalancer("balancer-1"), startBalancer, checkServing, stopBalancer("balancer-2"), checkServing)
}
