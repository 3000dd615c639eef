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
	// FollowsAck is set if an agent has acknowledged an earlier report of the run for certain: the
	// report was sent to the address that acknowledgements name.
	FollowsAck bool
}

// run returns the run of the report.
func (r Report) run() Run { return Run{Instance: r.Instance, Started: r.Started, Sequence: r.Sequence} }

// firstReport is what the first report of a run to this gate shows.
type firstReport struct {
	run Run
	// maybeUnacknowledged is set if no agent has acknowledged a report of the run before, provided
	// that the backend server uses the address that acknowledgements name: a report after an
	// acknowledgement arrives there, or fails there and takes a sequence number.
	maybeUnacknowledged bool
}

// firstSequence is the sequence number of the first report of a run.
const firstSequence = 1

// Report applies a report of the backend server. It returns the flows that were
// lost with an earlier run. Errors have kind ReportStale.
func (g *Gate) Report(now time.Time, r Report) ([]LostFlow, error) {
	lost, err := g.applyReport(now, r)
	if err != nil {
		return nil, err
	}
	g.backend.noteFirstReport(r)
	if g.sawWholeRun(r) {
		g.backend.learning.end(KnowsRunSinceStart)
		clear(g.maybeOpened)
	}
	return lost, nil
}

// noteFirstReport records what a report shows if it is the first of its run to this gate.
func (b *backend) noteFirstReport(r Report) {
	if run := r.run(); !b.firstReport.run.sameAs(run) {
		b.firstReport = firstReport{run: run, maybeUnacknowledged: !r.FollowsAck && r.Sequence <= firstSequence+1}
	}
}

// RestoreReport applies the last report that the gate before this one received; see
// Options.Replaces. Errors have kind ReportStale.
func (g *Gate) RestoreReport(now time.Time, r Report) error {
	_, err := g.applyReport(now, r)
	return err
}

// applyReport is Report but for what a report shows of flows that the agent doesn't know.
func (g *Gate) applyReport(now time.Time, r Report) ([]LostFlow, error) {
	b := &g.backend
	reportedBefore, known, reported := !b.reportedAt.IsZero(), g.knownRun(), r.run()
	// A run that seems to have started earlier, because the time of day was set back, replaces one
	// whose reports have stopped.
	if known.isKnown() && r.Started.Before(known.Started) && !b.isSilent(now, g.runReportedAt()) {
		return nil, errkind.New(errkind.ReportStale, "report is of an earlier run of the backend server")
	}
	sameRun := known.sameAs(reported)
	if sameRun && r.Sequence <= known.Sequence {
		return nil, errkind.New(errkind.ReportStale, "sequence number is not above that of the last report")
	}
	if reportedBefore && sameRun && b.report.State == view.Leaving {
		r.State = view.Leaving
	}
	newRun, lastOfOldRun := known.isKnown() && !sameRun, g.runReportedAt()
	b.stateKnown, b.reportedAt, b.report = true, now, r
	b.sentOffers.answeredAt = now
	b.maybeCold = false
	b.coldUntil = now.Add(r.ColdFor)
	if !newRun {
		return nil, nil
	}
	b.learning.resume()
	b.sentOpenings.sentAt = time.Time{}
	g.health.reset(now)
	return g.markLost(lastOfOldRun, r.Started, now), nil
}

// sawWholeRun reports whether all packets of the run of the backend server that has sent a report
// have passed through this gate: no earlier process of the agent has acknowledged a report of the
// run, and the run started after the gate. The times of both starts alone prove nothing, because
// the time of day may be stepped between them.
func (g *Gate) sawWholeRun(r Report) bool {
	unacknowledged := r.Sequence <= firstSequence || (g.backend.firstReport.maybeUnacknowledged && r.FollowsAck)
	return unacknowledged && g.precedes(r.Started)
}

// precedes reports whether this gate started before a run of the backend server that began at a time
// of day, by that clock. When a host starts, its backend server may begin
// a little sooner than its agent; an earlier process of the agent ended at least
// minProcessGap before this one began.
func (g *Gate) precedes(started time.Time) bool {
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

// markLost marks as lost the flows that were opened before the current run started and before the
// last report of an earlier run, and returns them. The second condition doesn't depend on the time
// of day, which may be stepped; the first covers a report that arrives after its run has ended.
// Other flows may belong to the current run; the backend server returns their packets if they
// don't.
func (g *Gate) markLost(lastReport, started, now time.Time) []LostFlow {
	var lostFlows []LostFlow
	for key, f := range g.flows.entries {
		ofEarlierRun := f.openedAt.Before(started) && !f.openedAt.After(lastReport)
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
