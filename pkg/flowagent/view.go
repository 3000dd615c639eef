package flowagent

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
)

// followView applies the current view.
func (a *Agent) followView() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyView(a.node.Board.Snapshot())
}

// applyView passes the relevant parts of a view to the gate. The caller holds the lock.
func (a *Agent) applyView(v view.View, confirmed view.Confirmations) {
	s := a.settings
	a.gate.SetRoutes(v.Configuration.Routes)
	a.confirmConfiguration(v, confirmed)
	evacuated := v.Evacuations.Domains[s.Domain]
	if evacuated != a.evacuated {
		id := event.DomainRestored
		if evacuated {
			id = event.DomainEvacuated
		}
		a.logger.Emit(id, event.Fields{"domain": s.Domain, "revision": v.Evacuations.Revision})
	}
	a.evacuated = evacuated
	a.gate.SetEvacuation(evacuated, v.Evacuations.LastEnd(s.Domain))
	m, ok := v.Members.ByName[MemberName(s.Address)]
	if ok && m.Service == s.Service && !s.FirstStart {
		a.gate.RestoreAnnounced(flowgate.Report{State: m.State, Slots: m.Slots})
	}
	a.updateMemberStored()
	a.checkEarlierHandovers(time.Now())
	firstBalancers := len(a.balancers) == 0
	a.balancers = a.balancers[:0]
	for _, m := range v.Members.ByName {
		if m.Role == view.BalancerRole {
			a.balancers = append(a.balancers, m.Address)
		}
	}
	if firstBalancers {
		// Balancers that count the agent as suspect learn at once that it is back.
		a.notifyBalancers(time.Now())
	}
}

// confirmConfiguration passes the configuration of the service and the idle timeout to the gate,
// and when they were known to be in force. The caller holds the lock.
func (a *Agent) confirmConfiguration(v view.View, confirmed view.Confirmations) {
	c := v.Configuration
	a.gate.SetService(c.Services[a.settings.Service], c.IdleTimeout, confirmed.Configuration)
}

// updateMemberStored passes on whether and since when the store holds this agent's
// member. The caller holds the lock.
func (a *Agent) updateMemberStored() {
	a.gate.SetMemberStored(a.node.Announcer.Stored(MemberName(a.settings.Address)))
}

// onMemberStored is called when the announcer has learned whether the store holds
// this agent's member, and when the store has answered a write of it.
func (a *Agent) onMemberStored() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateMemberStored()
	a.checkEarlierHandovers(time.Now())
	a.updateRefusal(time.Now())
}
