package flowagent

import (
	"net"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
	"github.com/knapweedpier/knapweedpier/platform"
)

// Report implements platform.Reports.
func (a *Agent) Report(r platform.Report) error {
	if r.Service != a.settings.Service || r.Address != a.settings.Backend {
		err := errkind.Errorf(errkind.ReportMalformed, "report of %s at %s", r.Service, r.Address)
		a.logger.Failure(event.ReportRefused, err, nil)
		return err
	}
	stored, err := a.takeReport(r.Report)
	if err != nil {
		a.logger.Failure(event.ReportRefused, err, event.Fields{"instance": r.Instance, "sequence": r.Sequence})
		return err
	}
	if r.State != view.Leaving {
		return nil
	}
	select {
	case <-stored:
	case <-time.After(storeTimeout):
		// The agent itself takes no new flows any more, and a successor learns
		// the state from the next report.
		a.logger.Emit(event.Leaving, event.Fields{"instance": r.Instance, "stored": false})
	}
	return nil
}

func (a *Agent) takeReport(r flowgate.Report) (<-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	lost, err := a.gate.Report(now, r)
	if err != nil {
		return nil, err
	}
	a.noteRefusal(now)
	if r.Instance != a.reported.Instance || !r.Started.Equal(a.reported.Started) || r.State != a.reported.State {
		a.logger.Emit(event.BackendReported, event.Fields{
			"instance": r.Instance, "started": r.Started.UnixMilli(), "state": r.State, "cold_ms": r.ColdFor.Milliseconds(), "sequence": r.Sequence,
		})
	}
	a.reported = r
	a.left = false
	if len(lost) > 0 {
		a.logger.Emit(event.FlowsLost, event.Fields{"instance": r.Instance, "flows": len(lost)})
	}
	for _, f := range lost {
		a.reset(f.Key, f.Ack)
	}
	s := a.settings
	return a.node.Announcer.Set(view.Member{
		Name: MemberName(s.Address), Role: view.AgentRole, Domain: s.Domain, Address: s.Packets, Peer: s.Peer,
		Service: s.Service, Slots: r.Slots, State: r.State,
	}), nil
}

// Left implements platform.Reports.
func (a *Agent) Left(instance string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reported.Instance != instance && a.reported.Instance != "" {
		return nil
	}
	a.left = true
	a.gate.Leave()
	a.node.Announcer.Withdraw(MemberName(a.settings.Address))
	a.logger.Emit(event.Leaving, event.Fields{"instance": instance, "ended": true})
	return nil
}

// backendEnded reports whether the backend server is gone, rather than this
// process being restarted beside it: the server said so, leaves offers
// unanswered, or is leaving and accepts no connections any more.
func (a *Agent) backendEnded() bool {
	a.mu.Lock()
	ended := a.left || a.gate.Vanished(time.Now())
	leaving := a.gate.Leaving()
	a.mu.Unlock()
	if ended || !leaving {
		return ended
	}
	conn, err := net.DialTimeout("tcp4", a.settings.Backend.String(), dialTimeout)
	if err != nil {
		a.logger.Failure(event.BackendConnFailed, errkind.Wrap(err, errkind.BackendDown, "connect to the backend server"), nil)
		return true
	}
	_ = conn.Close() // nothing was sent
	return false
}

// withdraw removes the member of a backend server that has ended. If
// the store doesn't answer in time the member stays until its address is used
// again.
func (a *Agent) withdraw() {
	stored := false
	select {
	case <-a.node.Announcer.Withdraw(MemberName(a.settings.Address)):
		stored = true
	case <-time.After(storeTimeout):
	}
	a.logger.Emit(event.Leaving, event.Fields{"ended": true, "stored": stored})
}
