package flowgate

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

// Run identifies a run of the backend server and its last report.
type Run struct {
	Instance string
	Started  time.Time
	Sequence uint64 // sequence number of the last report
}

// sameAs reports whether a and b are the same run.
func (r Run) sameAs(b Run) bool { return r.Instance == b.Instance && r.Started.Equal(b.Started) }

// isKnown reports whether r identifies a run: reports always name an instance.
func (r Run) isKnown() bool { return r.Instance != "" }

// Handover is what an agent that restarts as planned knows of the flows of its
// backend server. The next process of the agent takes it over.
type Handover struct {
	Run Run
	// ReportAge is the time before the handover at which the last report of Run was received, 0
	// if it is unknown.
	ReportAge time.Duration
	// LearnFor is how much longer the backend server may hold flows that are not
	// in Flows at most, 0 if the agent knew all flows.
	LearnFor time.Duration
	// UnseenFor is the time before the handover in which the agent has seen no packet of those
	// flows, 0 if it is unknown. The next process compares it with the idle timeout then in force.
	UnseenFor time.Duration
	// MayLackFlows is set if a process between may have opened flows that are not in Flows.
	MayLackFlows bool
	// MayBeStale is set if a process between may have passed packets of the flows. It has
	// opened none, but those that were being opened may be open.
	MayBeStale bool
	Flows      []FlowRecord
}

// isComplete reports whether Flows holds all flows that the backend server may hold.
func (h *Handover) isComplete() bool { return h.LearnFor == 0 && !h.MayLackFlows }

// FlowRecord is one flow of a handover. Times are durations before the handover,
// because the two processes share no monotonic clock.
type FlowRecord struct {
	Key             flow.Key
	Opened          bool // the backend server holds the flow; otherwise it is being opened
	Ended           bool // both sides closed the flow, or one side reset it
	Age             time.Duration
	IdleFor         time.Duration // since the last packet
	OpeningAge      time.Duration // since the caller sent its first opening, unless Adopted
	OpeningAnswered bool
	BackendSeq      uint32 // valid if OpeningAnswered
	Adopted         bool   // the first packet seen was one of the backend server
	MaybeOpen       bool   // an earlier process may have seen the flow being opened
	CallerAck       uint32
	CallerSentData  bool
	CallerEndSeq    uint32 // valid if CallerSentData
	CallerClosed    bool
	BackendSentData bool
	BackendEndSeq   uint32 // valid if BackendSentData
	BackendAcked    bool
	BackendAck      uint32 // valid if BackendAcked
	BackendClosed   bool
	AwaitsAnswer    bool          // the answer to a delivered request has not started
	RequestAge      time.Duration // since that request was delivered, if AwaitsAnswer
	OverdueCounted  bool          // that request was counted as a failure
}

// Handover returns what the next process of this agent has to know. The caller must
// pass no packets to g afterwards: the next process would not know what they change.
func (g *Gate) Handover(now time.Time) Handover {
	h := Handover{Run: g.knownRun(), ReportAge: g.runReportAge(now), Flows: make([]FlowRecord, 0, len(g.flows.entries))}
	if g.learns(now) {
		h.UnseenFor, h.LearnFor = now.Sub(g.backend.learning.unseenSince), g.LearnFor(now)
	}
	for key, f := range g.flows.entries {
		if f.state != stateLost {
			h.Flows = append(h.Flows, f.record(key, now))
		}
	}
	for key := range g.maybeOpened {
		if g.flows.get(key) == nil {
			h.Flows = append(h.Flows, FlowRecord{Key: key, IdleFor: openingTimeout})
		}
	}
	return h
}

// record returns the record of a flow. The data of a queued request was not
// delivered, so the record doesn't contain it.
func (f *entry) record(key flow.Key, now time.Time) FlowRecord {
	r := FlowRecord{
		Key: key, Opened: f.state == stateOpen, Ended: f.state == stateEnded,
		Age: now.Sub(f.openedAt), IdleFor: now.Sub(f.lastPacketAt),
		OpeningAnswered: f.openingAnswered, BackendSeq: f.backendSeq, Adopted: f.adopted, MaybeOpen: f.maybeOpen,
		CallerAck: f.callerAck, CallerSentData: f.callerSentData, CallerEndSeq: f.callerEndSeq, CallerClosed: f.callerClosed,
		BackendSentData: f.backendSentData, BackendEndSeq: f.backendEndSeq, BackendClosed: f.backendClosed,
		BackendAcked: f.backendAcked, BackendAck: f.backendAck,
	}
	if !f.adopted {
		r.OpeningAge = now.Sub(f.firstOpeningAt)
	}
	if f.awaitsAnswer {
		r.AwaitsAnswer, r.RequestAge, r.OverdueCounted = true, now.Sub(f.requestDeliveredAt), f.overdueCounted
	}
	if f.queued != nil {
		before := f.queued.before
		r.CallerSentData, r.CallerEndSeq, r.CallerClosed = before.callerSentData, before.callerEndSeq, before.callerClosed
	}
	return r
}

// TakeOver adds the flows of an earlier process of this agent that this one doesn't
// know yet, and ends learning if they are all that its backend server may hold. The
// backend server doesn't count as reported. Errors have kind HandoverUnusable; the
// gate is then unchanged.
func (g *Gate) TakeOver(now time.Time, h Handover) error {
	if !h.Run.isKnown() {
		return errkind.New(errkind.HandoverUnusable, "handover names no run of the backend server")
	}
	if run := g.knownRun(); run.isKnown() && !run.sameAs(h.Run) {
		return errkind.New(errkind.HandoverUnusable, "handover is of another run of the backend server")
	}
	for i := range h.Flows {
		r := &h.Flows[i]
		g.flows.takeOver(now, r)
		if h.MayBeStale && !r.Opened && !r.Ended {
			g.maybeOpened[r.Key] = now
		}
	}
	var unseenSince time.Time
	if h.UnseenFor > 0 && !h.MayLackFlows {
		unseenSince = now.Add(-h.UnseenFor)
	}
	g.backend.learning.takeOver(h.isComplete(), unseenSince)
	g.backend.takenOver = h.Run
	if h.ReportAge > 0 {
		g.backend.takenOverReportAt = now.Add(-h.ReportAge)
	}
	g.keepOffersOfOpenFlows()
	return nil
}

// keepOffersOfOpenFlows makes sure that packets which were offered before the
// handover was taken over are not passed on if their flows are open here.
func (g *Gate) keepOffersOfOpenFlows() {
	for mark, o := range g.offers {
		if f := g.flows.get(o.key); f != nil && f.state == stateOpen && o.raw != nil {
			o.raw = nil
			g.offers[mark] = o
		}
	}
}

// takeOver adds a flow, unless the table knows as much about it: copies of the
// opening or of its answer may have made an entry since the restart.
func (t *table) takeOver(now time.Time, r *FlowRecord) {
	if f := t.get(r.Key); f != nil {
		moreIsKnown := r.Opened || r.Ended || (r.OpeningAnswered && !f.openingAnswered)
		if f.state != stateOpening || !moreIsKnown {
			return
		}
	}
	f := t.add(r.Key, now)
	f.openedAt, f.lastPacketAt = now.Add(-r.Age), now.Add(-r.IdleFor)
	if !r.Adopted {
		f.firstOpeningAt = now.Add(-r.OpeningAge)
	}
	f.openingAnswered, f.backendSeq, f.adopted, f.maybeOpen = r.OpeningAnswered, r.BackendSeq, r.Adopted, r.MaybeOpen
	f.callerAck, f.callerSentData, f.callerEndSeq, f.callerClosed = r.CallerAck, r.CallerSentData, r.CallerEndSeq, r.CallerClosed
	f.backendSentData, f.backendEndSeq, f.backendClosed = r.BackendSentData, r.BackendEndSeq, r.BackendClosed
	f.backendAcked, f.backendAck = r.BackendAcked, r.BackendAck
	switch {
	case r.Ended:
		t.end(f, stateEnded)
	case r.Opened:
		t.open(f)
	}
	if r.AwaitsAnswer && f.state == stateOpen {
		t.beginRequest(now.Add(-r.RequestAge), f)
		f.requestSeenAt, f.overdueCounted = f.requestDeliveredAt, r.OverdueCounted
	}
}

// knownRun returns the run of the backend server's last report or, before the first
// report, that of the handover; the zero value if there was neither.
func (g *Gate) knownRun() Run {
	if g.backend.reportedAt.IsZero() {
		return g.backend.takenOver
	}
	return g.backend.report.run()
}

// runReportedAt returns when the last report of the known run was received, by this process or by
// the one that handed it over; the zero time if that is unknown.
func (g *Gate) runReportedAt() time.Time {
	if g.backend.reportedAt.IsZero() {
		return g.backend.takenOverReportAt
	}
	return g.backend.reportedAt
}

// runReportAge returns the time since runReportedAt, 0 if that is unknown.
func (g *Gate) runReportAge(now time.Time) time.Duration {
	at := g.runReportedAt()
	if at.IsZero() {
		return 0
	}
	return max(now.Sub(at), time.Nanosecond)
}
