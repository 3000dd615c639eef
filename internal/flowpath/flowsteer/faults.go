package flowsteer

// maxSuspectShare is the maximum share of agents that may be suspect before the balancer
// assumes that the fault is its own. A crash of more hosts at a time is rarer than a full
// link of the balancer.
const maxSuspectShare = 0.25

// updateFaults records whether so many agents are suspect that the fault is probably this
// balancer's own, or that of its path to a failure domain. When it ends, answers come in one
// after the other: silence is measured anew, because an agent that answers late may not have
// been silent at all.
func (as *agentSet) updateFaults() {
	ownEnded := as.ownFault && !as.manySuspect()
	as.ownFault = as.manySuspect()
	pathFaults := map[string]bool{}
	for _, a := range as.all {
		domain := a.member.Domain
		if _, ok := pathFaults[domain]; !ok {
			pathFaults[domain] = as.mostSuspect(domain)
		}
	}
	for c := range as.contacts() {
		if domain := c.member.Domain; ownEnded || (as.pathFaults[domain] && !pathFaults[domain]) {
			c.restartSilence(as.lastTick)
		}
	}
	as.pathFaults = pathFaults
}

// manySuspect reports whether more than maxSuspectShare of the agents are suspect. Then
// the fault is probably the balancer's own, such as a full link. Agents that have announced a
// restart are left out: their silence is no sign of such a fault.
func (as *agentSet) manySuspect() bool {
	suspects, agents := as.countSuspects(func(*agent) bool { return true })
	return float64(suspects) > maxSuspectShare*float64(agents)
}

// mostSuspect reports whether more than half of the agents of a failure domain are suspect,
// and not only one. Then the fault is probably that of the path to it.
func (as *agentSet) mostSuspect(domain string) bool {
	suspects, agents := as.countSuspects(func(a *agent) bool { return a.member.Domain == domain })
	return suspects > 1 && 2*suspects > agents
}

// countSuspects returns the number of suspects and of all among the agents that are included
// and have not announced a restart.
func (as *agentSet) countSuspects(isIncluded func(*agent) bool) (suspects, agents int) {
	for _, a := range as.all {
		if a.isRestarting() || !isIncluded(a) {
			continue
		}
		agents++
		if a.suspect {
			suspects++
		}
	}
	return suspects, agents
}
