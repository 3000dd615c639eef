package session

import (
	"testing"
	"time"
)

// Guards against a backend server that gets work before its planned join, or
// none after it.
func TestBackendJoins(t *testing.T) {
	play(t, 221, "backend-joins", join("comptoir-9", "shawi", 4*time.Second), working)
}

// Guards against a leaving backend server that cuts feeds or requests, or gets
// new work after the bound.
func TestBackendLeaves(t *testing.T) {
	play(t, 222, "backend-leaves", leave, noNewWork)
}

// Guards against packets to a failure domain that is out, and against callers
// who are left without service.
func TestDomainOut(t *testing.T) {
	play(t, 223, "domain-out", takeOut("tr-centre"), silent("tr-centre"))
}

// Guards against a failure domain that gets no work after it came back, or
// more than its cold backend servers bear.
func TestDomainBack(t *testing.T) {
	play(t, 224, "domain-back", takeOut("shawi"), silent("shawi"), bringBack("shawi"), domainWorks("shawi"), working)
}

// Guards against flows and requests that end with a replaced balancer.
func TestBalancerReplaced(t *testing.T) {
	play(t, 225, "balancer-replaced", stopBalancer("balancer-1"), startBalancer, working, stopBalancer("balancer-2"), working)
}
