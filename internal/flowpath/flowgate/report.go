package flowgate

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

// Report is the state that a backend server reports about itself.
type Report struct {
	Instance string
	Started  time.Time // start of the current run of the backend server
	Sequence uint64
	State    view.State
	Slots    int
	ColdFor  time.Duration // how much longer the backend server will be cold
}

// Report applies a report of the backend server. It returns the flows that were
// lost with an earlier run. Errors have kind ReportStale.
func (g *Gate) Report(now time.Time, r Report) ([]LostFlow, error) {
	b := &g.backend
	reportedBefore, known, reported := !b.reportedAt.IsZero(), g.knownRun(), Run{Instance: r.Instance, Started: r.Started}
	if known.isKnown() && r.Started.Before(known.Started) {
		return nil, errkind.New(errkind.ReportStale, "report is of an earlier run of the backend server")
	}
	sameRun := known.sameAs(reported)
	if sameRun && r.Sequence <= known.Sequence {
		return nil, errkind.New(errkind.ReportStale, "sequence number is not above that of the last report")
	}
	if reportedBefore && sameRun && b.report.State == view.Leaving {
		r.State = view.Leaving
	}
	newRun, lastOfOldRun := known.isKnown() && !sameRun, b.reportedAt
	b.stateKnown, b.reportedAt, b.report = true, now, r
	b.sentOffers.answeredAt = now
	b.maybeCold = false
	b.coldUntil = now.Add(r.ColdFor)
	if g.sawWholeRun(r.Started) {
		b.learning.end(LearnedByRunSinceStart)
		clear(g.maybeOpened)
	}
	if !newRun {
		return nil, nil
	}
	if !g.sawWholeRun(r.Started) {
		b.learning.resume()
	}
	b.learning.withoutHandover = time.Time{}
	b.sentOpenings.sentAt = time.Time{}
	g.health.reset(now)
	return g.markLost(lastOfOldRun, r.Started, now), nil
}

// sawWholeRun reports whether all packets of a run of the backend server that began at
// started have passed through this gate. When a host starts, its backend server may begin
// a little sooner than its agent; an earlier process of the agent ended at least
// minProcessGap before this one began.
func (g *Gate) sawWholeRun(started time.Time) bool {
	if g.replaces {
		return started.After(g.started)
	}
	return started.After(g.started.Add(-minProcessGap))
}

// ReportAge returns the time since the last report, 0 if there was none.
func (g *Gate) ReportAge(now time.Time) time.Duration {
	if g.backend.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(g.backend.reportedAt)
}

// LostFlow is a flow that the backend server lost and whose caller is to get a
// reset.
type LostFlow struct {
	Key flow.Key
	Ack uint32 // the caller's last acknowledgement number
}

// markLost marks as lost the flows that were opened before the current run started and
// were taken over or opened before the last report of an earlier run, and returns them.
// Others may belong to the current run, because a report may arrive after its run has
// ended; the backend server returns their packets if they don't.
func (g *Gate) markLost(lastReport, started, now time.Time) []LostFlow {
	var lostFlows []LostFlow
	for key, f := range g.flows.entries {
		ofEarlierRun := f.openedAt.Before(started) && (f.takenOver || f.openedAt.Before(lastReport))
		if f.state != stateOpen || !ofEarlierRun {
			continue
		}
		g.flows.markLost(f)
		f.lastPacketAt = now
		lostFlows = append(lostFlows, LostFlow{Key: key, Ack: f.callerAck})
	}
	return lostFlows
}

// RestoreAnnounced applies the state that an earlier process of this agent
// announced, unless a state is known already. The backend server counts as cold
// until it reports.
func (g *Gate) RestoreAnnounced(r Report) {
	if g.backend.stateKnown {
		return
	}
	g.backend.stateKnown, g.backend.report = true, r
}
