package flowagent

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
	"github.com/knapweedpier/knapweedpier/platform"
)

// Report implements platform.ReportReceiver.
func (a *Agent) Report(r platform.Report) error {
	if r.Service != a.settings.Service || r.Address != a.settings.BackendAddress {
		err := errkind.Errorf(errkind.ReportMalformed, "report of %s at %s", r.Service, r.Address)
		a.logger.EmitError(event.ReportRefused, err, nil)
		return err
	}
	<-a.reportable
	var stored <-chan struct{}
	err := a.node.Protect(func() (err error) {
		stored, err = a.applyReport(r.Report)
		return err
	})
	if err != nil {
		a.logger.EmitError(event.ReportRefused, err, event.Fields{"instance": r.Instance, "sequence": r.Sequence})
		return err
	}
	if r.State != view.Leaving {
		return nil
	}
	select {
	case <-stored:
	case <-time.After(storeTimeout):
		// The agent already refuses new flows, and a later process of the
		// agent learns the state from the next report.
		a.logger.Emit(event.Leaving, event.Fields{"instance": r.Instance, "stored": false})
	}
	return nil
}

func (a *Agent) applyReport(r flowgate.Report) (stored <-chan struct{}, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	lost, err := a.gate.Report(now, r)
	if err != nil {
		return nil, err
	}
	a.updateRefusal(now)
	if r.Instance != a.lastReport.Instance || !r.Started.Equal(a.lastReport.Started) || r.State != a.lastReport.State {
		a.logger.Emit(event.BackendReported, event.Fields{
			"instance": r.Instance, "started": r.Started.UnixMilli(), "state": r.State, "cold_ms": r.ColdFor.Milliseconds(), "sequence": r.Sequence, "follows_ack": r.FollowsAck,
		})
	}
	a.lastReport = r
	a.backendLeft, a.withdrawn, a.endRefused = false, false, false
	if len(lost) > 0 {
		a.logger.Emit(event.FlowsLost, event.Fields{"instance": r.Instance, "flows": len(lost)})
	}
	for _, f := range lost {
		a.sendReset(f.Key, f.Ack)
	}
	return a.announceMember(), nil
}

// announceMember announces the member by the last report. The caller holds the lock.
func (a *Agent) announceMember() <-chan struct{} {
	return a.node.Announcer.Set(a.member(a.lastReport.State, a.lastReport.Slots))
}

// member returns the member of the agent. The caller holds the lock.
func (a *Agent) member(state view.State, slots int) view.Member {
	s := a.settings
	return view.Member{
		Name: MemberName(s.Address), Role: view.AgentRole, Domain: s.Domain, Address: s.PacketAddress, Peer: s.PeerAddress,
		Service: s.Service, Slots: slots, State: state, Restarting: a.restarting,
	}
}

// announceRestart announces that this process stops while the backend server runs on, to
// the balancers and in the store, and returns the revision of the member with the
// announcement to which a handover may belong, 0 for none. Without a report in this process,
// the member is as an earlier one left it: it announces a restart if this process took a
// handover over. If it didn't, no handover can name the run of the backend server.
func (a *Agent) announceRestart() view.Revision {
	if a.backendRefusesConns() {
		return 0
	}
	a.mu.Lock()
	a.gate.PrepareStop()
	a.notifyBalancers(time.Now())
	reported, takenOver := a.lastReport.Instance != "", a.takenOverMember
	listed, isListed := a.node.Board.View().Members.ByName[MemberName(a.settings.Address)]
	a.restarting = reported || takenOver > 0 || isListed
	var stored <-chan struct{}
	switch {
	case reported:
		stored = a.announceMember()
	case takenOver == 0 && isListed:
		stored = a.node.Announcer.Set(a.member(listed.State, listed.Slots))
	}
	a.mu.Unlock()
	if stored == nil {
		return takenOver
	}
	select {
	case <-stored:
	case <-time.After(storeTimeout):
		return 0
	}
	if !reported {
		return 0
	}
	return a.node.Announcer.Revision()
}

// latestAnnouncement returns the revision of the member that announces the restart, after
// the one of announceRestart: a report meanwhile may have changed the member.
func (a *Agent) latestAnnouncement(announced view.Revision) view.Revision {
	a.mu.Lock()
	if a.lastReport.Instance == "" {
		a.mu.Unlock()
		return announced
	}
	stored := a.announceMember() // writes nothing if the store holds it
	a.mu.Unlock()
	select {
	case <-stored:
	case <-time.After(storeTimeout):
	}
	return max(announced, a.node.Announcer.Revision())
}

// BackendLeft implements platform.ReportReceiver. Its error has kind ReportStale if the
// current run of the backend server isn't known to be leaving.
func (a *Agent) BackendLeft(instance string) error {
	err := a.node.Protect(func() error { return a.applyBackendLeft(instance) })
	if err != nil {
		a.logger.EmitError(event.ReportRefused, err, event.Fields{"instance": instance})
	}
	return err
}

func (a *Agent) applyBackendLeft(instance string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastReport.Instance != instance && a.lastReport.Instance != "" {
		return nil
	}
	if !a.gate.Leaving() {
		// A backend server reports that it is leaving before it does, and a member says so
		// to a later process of the agent, so an earlier run has sent this.
		a.endRefused = true
		return errkind.New(errkind.ReportStale, "the current run of the backend server isn't known to be leaving")
	}
	a.logger.Emit(event.Leaving, event.Fields{"instance": instance, "ended": true})
	a.gate.RefuseNewFlows()
	a.backendLeft = true
	return nil
}

// withdrawEnded withdraws the member of a backend server that has reported its end, once the
// server accepts no more connections. Until then its flows are open: without the member,
// balancers would reset them.
func (a *Agent) withdrawEnded() {
	a.mu.Lock()
	now := time.Now()
	due := a.backendLeft && !a.withdrawn && now.Sub(a.endCheckedAt) >= endCheckInterval
	if due {
		a.endCheckedAt = now
	}
	a.mu.Unlock()
	if !due || !a.backendRefusesConns() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.backendLeft { // no report has come meanwhile
		a.withdrawn = true
		a.node.Announcer.Withdraw(MemberName(a.settings.Address))
		a.updateMemberStored()
	}
}

// backendEnded reports whether the backend server has ended, so that this stop is
// not a mere restart of the agent. It has ended if it reported so, if it
// is down, or if it accepts no more connections while it is leaving or after an end that
// was refused.
func (a *Agent) backendEnded() bool {
	a.mu.Lock()
	ended := a.backendLeft || a.gate.BackendVanished()
	leaving := a.gate.Leaving() || a.endRefused
	a.mu.Unlock()
	if ended || !leaving {
		return ended
	}
	return a.backendRefusesConns()
}

// dialBackend attempts a connection to the backend server and logs a failure.
func (a *Agent) dialBackend() error {
	conn, err := net.DialTimeout("tcp4", a.settings.BackendAddress.String(), backendDialTimeout)
	if err != nil {
		a.logger.EmitError(event.BackendConnFailed, errkind.Wrap(err, errkind.BackendDown, "connect to the backend server"), nil)
		return err
	}
	_ = conn.Close() // nothing was sent
	return nil
}

// backendRefusesConns reports whether the backend server refuses connections. An attempt
// that times out proves nothing: the server or this agent may be busy.
func (a *Agent) backendRefusesConns() bool {
	return errors.Is(a.dialBackend(), syscall.ECONNREFUSED)
}

// checkBackend attempts a connection if the backend server leaves offers
// unanswered, to learn whether it is down.
func (a *Agent) checkBackend() {
	a.mu.Lock()
	due := a.gate.ConnAttemptDue(time.Now())
	a.mu.Unlock()
	if !due {
		return
	}
	refused := a.backendRefusesConns()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.RecordConnAttempt(time.Now(), refused)
}

// withdrawMember removes the member of a backend server that has ended. If the
// store doesn't answer in time, the member stays until its address is reused.
func (a *Agent) withdrawMember() {
	stored := false
	select {
	case <-a.node.Announcer.Withdraw(MemberName(a.settings.Address)):
		stored = true
	case <-time.After(storeTimeout):
	}
	a.logger.Emit(event.Leaving, event.Fields{"ended": true, "stored": stored})
}
