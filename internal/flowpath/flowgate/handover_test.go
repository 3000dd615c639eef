package flowgate

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

// successor returns the gate of the next process of g's agent after the handover.
func successor(t rapid.TB, g *Gate, now time.Time) *Gate {
	t.Helper()
	next := New(Options{Self: self, Service: serviceID, Limits: g.backend.limits, Learning: true, FlowLifetime: time.Minute}, now)
	next.SetMemberStored(time.Time{}, true)
	next.SetRoutes(g.routes)
	if err := next.TakeOver(now, g.Handover(now)); err != nil {
		t.Fatal(err)
	}
	return next
}

// randomPacket draws a packet of one of a few flows and reports whether the backend
// server sent it. Sequence numbers move forward by chance.
func randomPacket(t *rapid.T) (p flow.Packet, sentByBackend bool) {
	port := rapid.IntRange(1, 6).Draw(t, "port")
	seq := uint32(rapid.IntRange(0, 4).Draw(t, "seq")) * 10
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1:
		return openingPacket(port), false
	case 2:
		return backendPacket(port, orders, flow.Open|flow.Ack, 0), true
	case 3:
		p = backendPacket(port, orders, flow.Ack|flow.Close, 0)
		return p, true
	case 4, 5:
		p = backendPacket(port, orders, flow.Ack, 10)
		p.Seq += seq
		return p, true
	case 6:
		p = dataPacket(port, orders, 101+seq, 0)
		p.Flags |= flow.Close
		return p, false
	case 7:
		p = dataPacket(port, orders, 101, 0)
		p.Ack += seq
		return p, false
	}
	return dataPacket(port, orders, 101+seq, 10), false
}

// decide passes a packet to g and returns what is done with it. A packet that is held
// for a slot counts as delivered, as it is after the handover.
func decide(g *Gate, now time.Time, p flow.Packet, sentByBackend bool) Verdict {
	var a Action
	if sentByBackend {
		a = g.FromBackend(now, p)
	} else {
		a = g.FromPeer(now, forward(self, other), p)
	}
	if a.Verdict == Hold {
		return Deliver
	}
	return a.Verdict
}

// Guards against flows that the next process of an agent denies, resets or offers to
// its backend server, and against counts of flows and requests that differ from those of
// the earlier process.
func TestSuccessorDecidesAsItsPredecessor(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		g := newGate(false)
		_, _ = g.Report(start, report(1))
		now := start
		step := func() (flow.Packet, bool) {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "gap ms")) * time.Millisecond)
			return randomPacket(t)
		}
		for range rapid.IntRange(0, 40).Draw(t, "packets before") {
			p, sentByBackend := step()
			g.Release(now)
			decide(g, now, p, sentByBackend)
		}
		g.RefuseNewFlows()
		nothingQueued := g.QueuedRequests() == 0
		next := successor(t, g, now)
		next.RestoreAnnounced(Report{State: view.Leaving, Slots: 2})
		if g.InProgress() != next.InProgress() || g.OpenFlows() != next.OpenFlows() || g.flows.openingFlows != next.flows.openingFlows {
			t.Fatalf("%d requests of %d flows in progress, before the handover %d of %d", next.InProgress(), next.OpenFlows(), g.InProgress(), g.OpenFlows())
		}
		for range rapid.IntRange(1, 40).Draw(t, "packets after") {
			p, sentByBackend := step()
			if got, want := decide(next, now, p, sentByBackend), decide(g, now, p, sentByBackend); got != want {
				t.Fatalf("verdict about %+v: %v, before the handover %v", p, got, want)
			}
			for _, gate := range []*Gate{g, next} {
				confirmIdleTimeout(gate, 15*time.Second, now)
				gate.sweepFlows(now)
				gate.Release(now)
			}
			if nothingQueued && (g.InProgress() != next.InProgress() || g.OpenFlows() != next.OpenFlows()) {
				t.Fatalf("after %+v %d requests of %d flows in progress, before the handover %d of %d",
					p, next.InProgress(), next.OpenFlows(), g.InProgress(), g.OpenFlows())
			}
			for _, o := range next.offers {
				if o.raw != nil {
					t.Fatalf("a packet of %v was offered", o.key)
				}
			}
		}
	})
}

// Guards against a queued request that the next process takes for one which the
// backend server has, so that the caller's copies are not counted as a request.
func TestHandoverLacksQueuedRequests(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	for port := range 4 {
		establishFlow(g, start, port+1, orders)
		g.FromPeer(start, forward(self), dataPacket(port+1, orders, 101, 10))
	}
	is.Equal(g.QueuedRequests(), 1)
	next := successor(t, g, start)
	is.Equal(next.InProgress(), 3)
	is.True(next.FromPeer(start, forward(self), dataPacket(4, orders, 101, 10)).Progress.RequestStarted)
	is.True(!next.FromPeer(start, forward(self), dataPacket(1, orders, 101, 10)).Progress.RequestStarted)
}

// Guards against a handover that makes the backend server count as reported, so that it
// gets new flows without the limits of a cold one.
func TestHandoverIsNoReport(t *testing.T) {
	is := is.New(t)
	next := successor(t, readyGate(t, false), start)
	is.Equal(next.Refusal(start), errkind.BackendDown)
	is.True(next.backend.maybeCold)
	is.Equal(next.ReportAge(start.Add(time.Second)), time.Duration(0))
}

// Guards against flows of an earlier run of the backend server that count as open: their
// callers would wait instead of getting a reset.
func TestHandedOverFlowsAreLostWithTheirRun(t *testing.T) {
	newRun := Report{Instance: "i-2", Started: start.Add(time.Second), Sequence: 1, Slots: 2}
	now := start.Add(2 * time.Second)
	for name, c := range map[string]struct {
		report Report
		lost   int
	}{"same run": {report(2), 0}, "new run": {newRun, 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := readyGate(t, false)
			establishFlow(g, start, 1, orders)
			next := successor(t, g, now)
			lost, err := next.Report(now, c.report)
			is.NoErr(err)
			is.Equal(len(lost), c.lost)
		})
	}
	is := is.New(t)
	g := readyGate(t, false)
	establishFlow(g, start, 1, orders)
	next := newGate(true)
	_, err := next.Report(now, newRun)
	is.NoErr(err)
	is.True(errkind.Is(next.TakeOver(now, g.Handover(now)), errkind.HandoverUnusable))
	is.Equal(next.OpenFlows(), 0)
}

// Guards against the loss of flows that the current run of the backend server opened: it
// had not reported before the agent restarted, so they were handed over with those of the
// earlier run, or it answered a copy of an opening that was handed over.
func TestHandedOverFlowsOfTheCurrentRunAreNotLost(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	establishFlow(g, start, 1, orders)
	current := Report{Instance: "i-2", Started: start.Add(time.Second), Sequence: 1, Slots: 2}
	establishFlow(g, start.Add(1500*time.Millisecond), 2, orders)
	answer := backendPacket(3, orders, flow.Open|flow.Ack, 0)
	g.FromPeer(start, forward(self), openingPacket(3))
	g.FromBackend(start, answer)
	next := successor(t, g, start.Add(2*time.Second))
	answer.Seq = 9000
	now := start.Add(2100 * time.Millisecond)
	next.FromBackend(now, answer)
	is.Equal(next.FromPeer(now, forward(self), ackPacket(3, 9001, 10)).Verdict, Deliver)
	lost, err := next.Report(now, current)
	is.NoErr(err)
	is.Equal(len(lost), 1)
	is.Equal(lost[0].Key.Caller, caller(1))
}

// Guards against the loss of a flow that the current run of the backend server opened before it
// had reported, and that was handed over: the clock was ahead at the start of the run, so that
// it seems to have started after the flow was opened.
func TestSteppedClockLosesNoHandedOverFlow(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	establishFlow(g, start, 1, orders) // at the run that reports at the same time
	establishFlow(g, start.Add(1500*time.Millisecond), 2, orders)
	next := successor(t, g, start.Add(2*time.Second))
	last := successor(t, next, start.Add(3*time.Second)) // without a report in between
	current := Report{Instance: "i-2", Started: start.Add(3 * time.Second), Sequence: 2, Slots: 2}
	lost, err := last.Report(start.Add(3100*time.Millisecond), current)
	is.NoErr(err)
	is.Equal(len(lost), 1)
	is.Equal(lost[0].Key.Caller, caller(1))
}

// Guards against a report of an earlier run, or an older one of the same run, that
// arrives after the restart and marks the flows as lost.
func TestLateReportAfterHandoverIsStale(t *testing.T) {
	for _, r := range []Report{report(1), {Instance: "i-0", Started: start.Add(-time.Hour), Sequence: 9}} {
		is := is.New(t)
		_, err := successor(t, readyGate(t, false), start).Report(start, r)
		is.True(errkind.Is(err, errkind.ReportStale))
	}
}

// Guards against an agent that restarts twice within the idle timeout and then denies
// flows which it has not learned yet.
func TestHandoverOfALearningAgentIsNotComplete(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true) // learns for the idle timeout and minIdleMargin, 20 s
	now := start.Add(5 * time.Second)
	next := successor(t, g, now)
	unknown := func(now time.Time) Verdict {
		confirmIdleTimeout(next, 15*time.Second, now)
		return next.FromPeer(now, forward(self, other), dataPacket(1, orders, 200, 10)).Verdict
	}
	is.Equal(unknown(now.Add(14*time.Second)), Deliver)
	is.Equal(unknown(now.Add(16*time.Second)), PassOn)
}

// Guards against a flow that is denied because the next process made an entry for it,
// from a copy of its opening, before it took the handover over.
func TestHandoverCompletesEntriesOfOpenings(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	establishFlow(g, start, 1, orders)
	next := readyGate(t, true)
	next.FromPeer(start, forward(self, other), openingPacket(1))
	is.NoErr(next.TakeOver(start, g.Handover(start)))
	is.Equal(next.OpenFlows(), 1)
	is.Equal(next.FromPeer(start, forward(self, other), ackPacket(1, 5001+2_000_000, 10)).Verdict, Deliver)
}

// Guards against packets that were offered before the handover was taken over and are
// passed on to other backend servers although their flow is held here.
func TestOfferOfHandedOverFlowIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	establishFlow(g, start, 1, orders)
	next := readyGate(t, true)
	now := start.Add(time.Millisecond)
	is.True(next.FromPeer(now, forward(self, other), dataPacket(1, orders, 101, 10)).LookupFrom.IsValid())
	is.NoErr(next.TakeOver(now, g.Handover(now)))
	is.Equal(len(next.PassOnUnanswered(now.Add(time.Second))), 0)
}

// Guards against an agent that denies the flows of the current run, because it took over
// the handover of an earlier run before the first report.
func TestHandoverOfEarlierRunDoesNotEndLearning(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	now := start.Add(5 * time.Second)
	next := successor(t, g, now)
	current := Report{Instance: "i-2", Started: start.Add(time.Second), Sequence: 3, Slots: 2, State: view.Ready}
	_, err := next.Report(now.Add(time.Second), current)
	is.NoErr(err)
	is.Equal(next.FromPeer(now.Add(2*time.Second), forward(self, other), dataPacket(1, feeds, 900, 10)).Verdict, Deliver)
}

// Guards against new flows at a process whose successor may deny them, because it may use a
// handover of the process before. Flows that are open are served meanwhile.
func TestNoNewFlowsWhileAHandoverIsPending(t *testing.T) {
	is := is.New(t)
	g := New(Options{Self: self, Service: serviceID, Learning: true, FlowLifetime: time.Minute, HandoverPending: true}, start)
	g.SetMemberStored(time.Time{}, true)
	_, err := g.Report(start, report(1))
	is.NoErr(err)
	a := g.FromPeer(start, forward(self, other), openingPacket(1))
	is.Equal(a.Verdict, PassOn)
	is.Equal(a.To, other)
	is.Equal(a.Kind, errkind.HandoverPending)
	is.Equal(g.FromPeer(start, forward(self, other), dataPacket(2, orders, 101, 10)).Verdict, Deliver)
	g.EndHandoverPending()
	is.Equal(g.FromPeer(start, forward(self, other), openingPacket(1)).Verdict, Deliver)
}

// Guards against the denial of a flow that was being opened when the handover was written,
// and has passed packets through another process since. That process left no handover.
func TestFlowOpenedAfterAStaleHandoverIsNotDenied(t *testing.T) {
	for name, answered := range map[string]bool{"answered before": true, "answered since": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := readyGate(t, false)
			g.FromPeer(start, forward(self), openingPacket(1))
			if answered {
				g.FromBackend(start, backendPacket(1, orders, flow.Open|flow.Ack, 0))
			}
			now := start.Add(2 * time.Second)
			h := g.Handover(start)
			h.MayBeStale = true
			next := New(Options{Self: self, Service: serviceID, Learning: true, FlowLifetime: time.Minute}, now)
			is.NoErr(next.TakeOver(now, h))
			progressed := ackPacket(1, 9000, 10)
			for _, g := range []*Gate{next, staleSuccessor(t, next, now)} {
				// The entry of the opening has expired, that of the flow hasn't.
				g.Tick(now.Add(openingTimeout))
				is.Equal(g.FromPeer(now, forward(self, other), dataPacket(2, orders, 101, 10)).Verdict, PassOn)
				is.Equal(g.FromPeer(now, forward(self, other), progressed).Verdict, Deliver)
				is.Equal(g.FromBackend(now, backendPacket(1, orders, flow.Ack, 10)).Verdict, ToCaller)
				is.Equal(g.OpenFlows(), 1)
			}
		})
	}
}

// staleSuccessor returns the gate of the process after the next one of g's agent.
func staleSuccessor(t *testing.T, g *Gate, now time.Time) *Gate {
	t.Helper()
	h := g.Handover(now)
	h.MayBeStale = true
	next := New(Options{Self: self, Service: serviceID, Learning: true, FlowLifetime: time.Minute}, now)
	if err := next.TakeOver(now, h); err != nil {
		t.Fatal(err)
	}
	return next
}

// Guards against packets of a flow that are offered again and again to a backend server that
// the caller did not choose.
func TestFlowOfAStaleHandoverIsOfferedOnce(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	g.FromPeer(start, forward(self), openingPacket(1))
	next := staleSuccessor(t, g, start)
	a := next.FromPeer(start, forward(self, other), ackPacket(1, 9000, 10))
	is.Equal(a.Verdict, Deliver)
	bounced := ackPacket(1, 9000, 10)
	bounced.Flags |= flow.Bounced
	bounced.Mark = a.Mark
	is.Equal(next.FromBackend(start, bounced).Verdict, PassOn)
	for range 2 {
		is.Equal(next.FromPeer(start, forward(self, other), ackPacket(1, 9000, 10)).Verdict, PassOn)
		next.Tick(start.Add(time.Second))
	}
}
