package flowgate

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

const serviceID = 7

var (
	self     = netip.MustParseAddrPort("10.1.0.12:8172")
	other    = netip.MustParseAddrPort("10.1.0.13:8172")
	balancer = netip.MustParseAddrPort("10.1.0.10:7720")
	orders   = netip.MustParseAddrPort("198.18.0.1:8080")
	feeds    = netip.MustParseAddrPort("198.18.0.1:8443")
	start    = time.Unix(1_790_000_000, 0)
)

func caller(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port))
}

// newGate returns the gate of an agent that balancers know. It has no report of its
// backend server yet.
func newGate(learning bool) *Gate {
	g := New(Options{
		Self: self, Service: serviceID, Limits: Limits{ReportInterval: time.Second, ColdBurst: 2},
		Learning: learning, FlowLifetime: time.Minute,
	}, start)
	g.SetMemberStored(time.Time{}, true)
	g.SetService(view.Service{Name: "comptoir", MaxFlows: 100}, 15*time.Second, start)
	g.SetRoutes(map[netip.AddrPort]view.Route{
		orders: {Address: orders, Priority: 1, Objective: 300 * time.Millisecond, Timeout: 2 * time.Second},
		feeds:  {Address: feeds, Priority: 2, Objective: 250 * time.Millisecond, Timeout: 1500 * time.Millisecond},
	})
	return g
}

func report(sequence uint64) Report {
	return Report{Instance: "i-1", Started: start.Add(-time.Minute), Sequence: sequence, State: view.Ready, Slots: 2}
}

// readyGate returns the gate of a warm backend server with 2 slots.
func readyGate(t *testing.T, learning bool) *Gate {
	t.Helper()
	g := newGate(learning)
	if _, err := g.Report(start, report(1)); err != nil {
		t.Fatal(err)
	}
	return g
}

func forward(candidates ...netip.AddrPort) *hop.Message {
	return &hop.Message{Type: hop.Forward, Service: serviceID, Balancer: balancer, Candidates: candidates, Packet: []byte("packet")}
}

// openingPacket returns the opening of a flow to orders.
func openingPacket(port int) flow.Packet {
	return flow.Packet{From: caller(port), To: orders, Flags: flow.Open, Seq: 100}
}

// dataPacket returns a packet with data from a caller.
func dataPacket(port int, to netip.AddrPort, seq uint32, length int) flow.Packet {
	return flow.Packet{From: caller(port), To: to, Flags: flow.Ack, Seq: seq, Ack: 5001, Length: length}
}

// backendPacket returns a packet of the backend server to a caller.
func backendPacket(port int, from netip.AddrPort, flags flow.Flags, length int) flow.Packet {
	return flow.Packet{From: from, To: caller(port), Flags: flags, Seq: 5000, Length: length}
}

// establishFlow opens a flow at g and completes its handshake.
func establishFlow(g *Gate, now time.Time, port int, to netip.AddrPort) {
	p := openingPacket(port)
	p.To = to
	g.FromPeer(now, forward(self), p)
	g.FromBackend(now, backendPacket(port, to, flow.Open|flow.Ack, 0))
	g.FromPeer(now, forward(self), dataPacket(port, to, 101, 0))
}

// Guards against new flows for a backend server that must not get any, because it
// is leaving, evacuated, full or of another service.
func TestRefusedOpeningIsPassedOn(t *testing.T) {
	cases := []struct {
		name   string
		change func(g *Gate)
		kind   errkind.Kind
	}{
		{"leaving", func(g *Gate) { g.RefuseNewFlows() }, errkind.BackendLeaving},
		{"evacuated", func(g *Gate) { g.SetEvacuation(true, 0) }, errkind.DomainOut},
		{"all flows taken", func(g *Gate) { g.SetService(view.Service{Name: "comptoir", MaxFlows: 1}, 0, start) }, errkind.ConnectionsFull},
		{"other service", func(g *Gate) { g.service = 8 }, errkind.PacketWrongTarget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := readyGate(t, false)
			establishFlow(g, start, 1, feeds)
			c.change(g)
			a := g.FromPeer(start, forward(self, other), openingPacket(2))
			is.Equal(a.Verdict, PassOn)
			is.Equal(a.To, other)
			is.Equal(a.Message.Position, uint8(1))
			is.Equal(a.Kind, c.kind)
			last := g.FromPeer(start, forward(self), openingPacket(2))
			is.Equal(last.To, balancer)
			is.Equal(last.Message.Type, hop.Declined)
			// The open flow stays.
			is.Equal(g.FromPeer(start, forward(self), dataPacket(1, feeds, 101, 10)).Verdict, Deliver)
		})
	}
}

// Guards against flows at an agent that some balancers don't know yet: they would
// find no holder for such a flow and reset it.
func TestNewAgentTakesNoFlowsAtFirst(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	g.SetMemberStored(time.Time{}, false)
	is.Equal(g.FromPeer(start, forward(self), openingPacket(1)).Kind, errkind.AgentNew)
	g.SetMemberStored(start, true)
	a := g.FromPeer(start.Add(NewAgentDelay-time.Millisecond), forward(self), openingPacket(1))
	is.Equal(a.Verdict, PassOn)
	is.Equal(a.Kind, errkind.AgentNew)
	is.Equal(g.FromPeer(start.Add(NewAgentDelay), forward(self), openingPacket(1)).Verdict, Deliver)
}

// Guards against a gate that accepts flows before it is told whether the store holds
// the agent's member.
func TestNoFlowsBeforeTheMemberIsKnown(t *testing.T) {
	is := is.New(t)
	g := New(Options{Self: self, Service: serviceID, Limits: Limits{ReportInterval: time.Second}}, start)
	_, err := g.Report(start, report(1))
	is.NoErr(err)
	is.Equal(g.FromPeer(start.Add(time.Second), forward(self), openingPacket(1)).Kind, errkind.AgentNew)
}

// Guards against openings for a backend server that has not reported yet.
func TestNoOpeningBeforeTheFirstReport(t *testing.T) {
	is := is.New(t)
	g := newGate(false)
	is.Equal(g.FromPeer(start, forward(self, other), openingPacket(1)).Kind, errkind.BackendDown)
}

// Guards against new flows for a backend server that has stopped reporting.
func TestNoOpeningAfterReportsStop(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	is.Equal(g.FromPeer(start.Add(3*time.Second), forward(self, other), openingPacket(1)).Verdict, Deliver)
	is.Equal(g.FromPeer(start.Add(5*time.Second), forward(self, other), openingPacket(2)).Kind, errkind.BackendDown)
}

// Guards against a reset of a flow that is open at another agent. It comes about
// when two backend servers answer copies of one opening and the caller continues
// with the other one.
func TestAckOfAnotherBackendIsPassedOn(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	g.FromPeer(start, forward(self), openingPacket(1))
	synAck := backendPacket(1, orders, flow.Open|flow.Ack, 0)
	synAck.Seq = 3_000_000_000
	g.FromBackend(start, synAck)
	a := g.FromPeer(start, forward(self, other), dataPacket(1, orders, 101, 10))
	is.Equal(a.Verdict, PassOn)
	is.Equal(a.To, other)
	is.Equal(g.OpenFlows(), 0)
}

// otherAck is a number in the answer of another backend server.
const otherAck = 3_000_000_000

// ackPacket returns a packet of a caller that acknowledges ack.
func ackPacket(port int, ack uint32, length int) flow.Packet {
	p := dataPacket(port, orders, 101, length)
	p.Ack = ack
	return p
}

// Guards against a reset of a flow that is open at another agent after this
// agent's backend server has retransmitted its answer to the opening.
func TestRetransmittedAnswerDoesNotOpenFlow(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	answer := backendPacket(1, orders, flow.Open|flow.Ack, 0)
	g.FromPeer(start, forward(self, other), openingPacket(1))
	g.FromBackend(start, answer)
	now := start
	for range 3 {
		is.Equal(g.FromPeer(now, forward(self, other), ackPacket(1, otherAck, 10)).Verdict, PassOn)
		now = now.Add(200 * time.Millisecond)
		is.Equal(g.FromBackend(now, answer).Verdict, ToCaller)
	}
}

// Guards against a reset of a flow that is open at another agent while this
// agent's backend server has left the opening unanswered, by itself or in a new
// run.
func TestPacketBeforeAnswerDoesNotOpenFlow(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	now := start.Add(100 * time.Millisecond)
	g.FromPeer(now, forward(self, other), openingPacket(1))
	a := g.FromPeer(now, forward(self, other), ackPacket(1, otherAck, 10))
	is.Equal(a.Verdict, PassOn)
	is.Equal(a.To, other)
	_, err := g.Report(now.Add(100*time.Millisecond), report(2))
	is.NoErr(err)
	newRun := report(1)
	newRun.Started = now.Add(200 * time.Millisecond)
	lost, err := g.Report(now.Add(300*time.Millisecond), newRun)
	is.NoErr(err)
	is.Equal(len(lost), 0)
}

// Guards against a reset of a flow that is open at another agent after an answer to
// the opening that this process didn't deliver, or has forgotten.
func TestAnswerWithoutEntryDoesNotOpenFlow(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(g *Gate)
	}{
		{"agent restarted", func(*Gate) {}},
		{"opening expired", func(g *Gate) {
			g.FromPeer(start, forward(self, other), openingPacket(1))
			g.Tick(start.Add(openingTimeout + time.Second))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := readyGate(t, false)
			c.prepare(g)
			now := start.Add(openingTimeout + 2*time.Second)
			is.Equal(g.FromBackend(now, backendPacket(1, orders, flow.Open|flow.Ack, 0)).Verdict, ToCaller)
			is.Equal(g.FromPeer(now, forward(self, other), ackPacket(1, otherAck, 10)).Verdict, PassOn)
		})
	}
}

// Guards against a flow that is taken for this backend server's because the number
// of another one's answer is near that of its own, and against one that is denied
// although its caller acknowledged this backend server's answer. The protocol
// doesn't state whether an opening counts as one.
func TestFirstAcknowledgementDecidesWhoseFlowItIs(t *testing.T) {
	answer := backendPacket(1, orders, flow.Open|flow.Ack, 0)
	cases := []struct {
		ack     uint32
		verdict Verdict
	}{
		{answer.Seq - 1, PassOn},
		{answer.Seq, Deliver},
		{answer.Seq + 1, Deliver},
		{answer.Seq + 2, PassOn},
		{answer.Seq + 1<<20, PassOn},
	}
	for _, c := range cases {
		is := is.New(t)
		g := readyGate(t, false)
		g.FromPeer(start, forward(self, other), openingPacket(1))
		g.FromBackend(start, answer)
		is.Equal(g.FromPeer(start, forward(self, other), ackPacket(1, c.ack, 10)).Verdict, c.verdict)
	}
}

// Guards against packets of a flow at another agent that are delivered here, and
// dropped when they bounce, because this agent's backend server reset the flow
// before it was open.
func TestResetBeforeFlowIsOpenLeavesNoEntry(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	g.FromPeer(start, forward(self, other), openingPacket(1))
	g.FromBackend(start, backendPacket(1, orders, flow.Open|flow.Ack, 0))
	is.Equal(g.FromBackend(start, backendPacket(1, orders, flow.Reset, 0)).Verdict, Drop)
	is.Equal(g.OpenFlows(), 0)
	is.Equal(g.FromPeer(start, forward(self, other), ackPacket(1, otherAck, 10)).Verdict, PassOn)
}

// Guards against an agent that denies a flow whose caller continues with its
// backend server, because the agent restarted between the opening and the first
// packet after it.
func TestRestartedAgentKeepsFlowThatIsBeingOpened(t *testing.T) {
	answer := backendPacket(1, orders, flow.Open|flow.Ack, 0)
	cases := []struct {
		name    string
		prepare func(g *Gate)
		offered bool
	}{
		{"nothing seen", func(*Gate) {}, true},
		{"answer retransmitted", func(g *Gate) { g.FromBackend(start, answer) }, false},
		{"copy of the opening not answered", func(g *Gate) { g.FromPeer(start, forward(self, other), openingPacket(1)) }, true},
		{"copy of the opening answered", func(g *Gate) {
			g.FromPeer(start, forward(self, other), openingPacket(1))
			g.FromBackend(start, answer)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := readyGate(t, true)
			c.prepare(g)
			m := forward(self, other)
			m.ReportHolder = true
			a := g.FromPeer(start, m, ackPacket(1, answer.Seq+1, 10))
			is.Equal(a.Verdict, Deliver)
			is.Equal(a.Mark != 0, c.offered)
			b := g.FromBackend(start, backendPacket(1, orders, flow.Ack, 0))
			// The balancer that looks for the flow is told once.
			is.Equal(a.NotifyBalancer == balancer, !c.offered)
			is.Equal(b.NotifyBalancer == balancer, c.offered)
			is.Equal(g.FromPeer(start, m, ackPacket(1, answer.Seq+1, 10)).Mark, uint32(0))
		})
	}
}

// Guards against an agent that, after a restart, denies an open flow because the
// backend server answered a late copy of its opening again: the caller
// acknowledges data that was sent before the restart.
func TestAnswerToLateCopyDoesNotDenyOpenFlow(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	g.FromPeer(start, forward(self, other), openingPacket(1))
	g.FromBackend(start, backendPacket(1, orders, flow.Open|flow.Ack, 0))
	m := forward(self, other)
	m.ReportHolder = true
	a := g.FromPeer(start, m, ackPacket(1, 5001+2_000_000, 10))
	is.Equal(a.Verdict, Deliver)
	is.True(a.Mark != 0)
	// A further copy of the answer is no sign that the flow is held.
	is.True(!g.FromBackend(start, backendPacket(1, orders, flow.Open|flow.Ack, 0)).NotifyBalancer.IsValid())
	is.Equal(g.FromBackend(start, backendPacket(1, orders, flow.Ack, 20)).NotifyBalancer, balancer)
	is.Equal(g.FromPeer(start, m, ackPacket(1, 5001+2_000_020, 10)).Mark, uint32(0))
}

// Guards against an agent that, after a restart, denies flows that its backend
// server still holds.
func TestLearningAgentOffersUnknownPackets(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	p := dataPacket(1, feeds, 900, 10)
	offered := g.FromPeer(start, forward(self, other), p)
	is.Equal(offered.Verdict, Deliver)
	is.True(offered.Mark != 0)
	// The backend server answers, so it holds the flow.
	is.Equal(g.FromBackend(start, backendPacket(1, feeds, flow.Ack, 20)).Verdict, ToCaller)
	is.Equal(g.FromPeer(start, forward(self, other), dataPacket(1, feeds, 910, 10)).Mark, uint32(0))

	// A bounced packet goes to the next candidate of its own list.
	q := dataPacket(2, feeds, 900, 10)
	back := g.FromPeer(start, forward(self, other), q)
	q.Flags |= flow.Bounced
	q.Mark = back.Mark
	a := g.FromBackend(start, q)
	is.Equal(a.Verdict, PassOn)
	is.Equal(a.To, other)
}

// Guards against packets of a flow that reach other backend servers while its own agent
// knows it: agents that learn must not offer them before all agents were asked
// (issue 17).
func TestLearningAgentIsUnsureBeforeItOffers(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	m := forward(other, self)
	m.KnownOnly, m.Position = true, 1
	a := g.FromPeer(start, m, dataPacket(1, feeds, 900, 10))
	is.Equal(a.Verdict, PassOn)
	is.Equal(a.Message.Type, hop.Declined)
	is.Equal(a.Message.Unsure, uint8(1<<1))
	// It knows a flow of which its backend server has sent a packet.
	g.FromBackend(start, backendPacket(1, feeds, flow.Ack, 20))
	is.Equal(g.FromPeer(start, m, dataPacket(1, feeds, 900, 10)).Verdict, Deliver)
}

// Guards against an agent that goes on learning beside a backend server that started
// after it or just before, as on a new host or after a power cut: lookups of lost flows
// take longer, and the backend server gets packets of others' flows. A gate that replaces
// another one learns the flows of a run that began just before.
func TestBackendServerThatStartedLaterEndsLearning(t *testing.T) {
	for name, c := range map[string]struct {
		started  time.Time
		replaces bool
		verdict  Verdict
	}{
		"before the agent":              {start.Add(-minProcessGap), false, Deliver},
		"with the agent":                {start.Add(-2 * time.Millisecond), false, PassOn},
		"after the agent":               {start.Add(time.Millisecond), false, PassOn},
		"just before the gate replaced": {start.Add(-2 * time.Millisecond), true, Deliver},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGate(true)
			g.replaces = c.replaces
			r := report(1)
			r.Started = c.started
			_, err := g.Report(start.Add(time.Second), r)
			is.NoErr(err)
			is.Equal(g.FromPeer(start.Add(time.Second), forward(self, other), dataPacket(1, feeds, 900, 10)).Verdict, c.verdict)
		})
	}
}

// Guards against an agent that offers packets of unknown flows to its backend
// server after the learning period.
func TestLearningEnds(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	late := start.Add(61 * time.Second)
	is.Equal(g.FromPeer(late, forward(self, other), dataPacket(1, feeds, 900, 10)).Verdict, PassOn)
}

// Guards against a caller that waits until its deadline for an answer on a flow
// that the backend server has lost.
func TestBouncedPacketResetsOpenFlow(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	establishFlow(g, start, 1, feeds)
	p := dataPacket(1, feeds, 101, 10)
	is.Equal(g.FromPeer(start, forward(self), p).Verdict, Deliver)
	p.Flags |= flow.Bounced
	is.Equal(g.FromBackend(start, p).Verdict, Reset)
	is.Equal(g.InProgress(), 0)
	again := g.FromPeer(start, forward(self), dataPacket(1, feeds, 101, 10))
	is.Equal(again.Verdict, Reset)
	is.Equal(again.Kind, errkind.PacketFlowLost)
}

// Guards against an opening that is dropped after the backend server returned it,
// although another candidate could accept it.
func TestBouncedOpeningGoesToNextAgent(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	p := openingPacket(1)
	a := g.FromPeer(start, forward(self, other), p)
	p.Flags |= flow.Bounced
	p.Mark = a.Mark
	next := g.FromBackend(start, p)
	is.Equal(next.Verdict, PassOn)
	is.Equal(next.To, other)
	is.Equal(g.OpenFlows(), 0)
}

// Guards against copies of an opening that all go to a backend server which hangs.
func TestOpeningCopyLeavesUnresponsiveBackend(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	is.Equal(g.FromPeer(start, forward(self, other), openingPacket(1)).Verdict, Deliver)
	is.Equal(g.FromPeer(start.Add(200*time.Millisecond), forward(self, other), openingPacket(1)).Verdict, PassOn)
}

// Guards against the reset of a flow that is open or about to be: another balancer
// sends a copy of the opening after the agent began to refuse new flows, and resets
// the flow if all candidates pass the copy on.
func TestCopyOfOpeningIsNotDeclinedByItsAgent(t *testing.T) {
	for _, answered := range []bool{true, false} {
		is := is.New(t)
		g := readyGate(t, false)
		g.FromPeer(start, forward(self), openingPacket(1))
		if answered {
			g.FromBackend(start, backendPacket(1, orders, flow.Open|flow.Ack, 0))
		}
		g.RefuseNewFlows()
		a := g.FromPeer(start.Add(50*time.Millisecond), forward(self), openingPacket(1))
		is.Equal(a.Verdict, Drop)
		is.Equal(a.NotifyBalancer, balancer)
		late := g.FromPeer(start.Add(openingResponseTimeout), forward(self), openingPacket(1))
		is.Equal(late.Verdict == PassOn, !answered)
	}
}

// Guards against a packet with the flags of a backend server's answer that is
// delivered to a backend server.
func TestForgedAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	p := dataPacket(1, orders, 1, 0)
	p.Flags = flow.Open | flow.Ack
	is.Equal(g.FromPeer(start, forward(self, other), p).Kind, errkind.PacketForged)
}

// Guards against reports that arrive out of order, and against reports of an
// earlier run of the backend server.
func TestStaleReports(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	leaving := report(3)
	leaving.State = view.Leaving
	_, err := g.Report(start, leaving)
	is.NoErr(err)
	_, err = g.Report(start, report(2))
	is.True(errkind.Is(err, errkind.ReportStale))
	is.Equal(g.FromPeer(start, forward(self, other), openingPacket(1)).Kind, errkind.BackendLeaving)

	next := report(1)
	next.Instance, next.Started = "i-2", start.Add(time.Second)
	_, err = g.Report(start, next)
	is.NoErr(err) // sequence numbers start anew with a new run
	_, err = g.Report(start, report(9))
	is.True(errkind.Is(err, errkind.ReportStale))
}

// Guards against flows that stay open at the agent after the backend server has
// restarted under the same name.
func TestNewRunMarksEarlierFlowsLost(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	establishFlow(g, start.Add(100*time.Millisecond), 1, feeds)
	_, err := g.Report(start.Add(time.Second), report(2))
	is.NoErr(err)
	establishFlow(g, start.Add(1500*time.Millisecond), 2, feeds)
	again := report(1)
	again.Started = start.Add(1200 * time.Millisecond)
	lost, err := g.Report(start.Add(2*time.Second), again)
	is.NoErr(err)
	// The second flow may belong to the new run, so it is not reported lost.
	is.Equal(len(lost), 1)
	is.Equal(lost[0].Key.Caller, caller(1))
}

// Guards against the loss of flows of the current run: the last report of an earlier run
// arrives late, after flows of the current run were opened.
func TestLateReportOfEarlierRunLosesNoFlow(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	establishFlow(g, start.Add(100*time.Millisecond), 1, feeds)
	current := report(1)
	current.Started = start.Add(time.Second)
	establishFlow(g, start.Add(1500*time.Millisecond), 2, feeds)
	_, err := g.Report(start.Add(1600*time.Millisecond), report(2))
	is.NoErr(err)
	lost, err := g.Report(start.Add(2*time.Second), current)
	is.NoErr(err)
	is.Equal(len(lost), 1)
	is.Equal(lost[0].Key.Caller, caller(1))
}

// Guards against the loss of a flow of the current run: the earlier run answered the
// opening, but only the answer of the current run to a copy reached the caller.
func TestFlowOpenedByCopyAfterRestartOfBackendServerIsNotLost(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	answer := backendPacket(1, orders, flow.Open|flow.Ack, 0)
	g.FromPeer(start.Add(100*time.Millisecond), forward(self), openingPacket(1))
	g.FromBackend(start.Add(110*time.Millisecond), answer)
	_, err := g.Report(start.Add(150*time.Millisecond), report(2))
	is.NoErr(err)
	is.Equal(g.FromPeer(start.Add(700*time.Millisecond), forward(self), openingPacket(1)).Verdict, Deliver)
	answer.Seq = 9000
	g.FromBackend(start.Add(710*time.Millisecond), answer)
	is.Equal(g.FromPeer(start.Add(720*time.Millisecond), forward(self), ackPacket(1, 9001, 10)).Verdict, Deliver)
	current := report(1)
	current.Started = start.Add(400 * time.Millisecond)
	lost, err := g.Report(start.Add(time.Second), current)
	is.NoErr(err)
	is.Equal(len(lost), 0)
}

// Guards against an agent that denies flows of the current run: it has restarted, and the
// last report of an earlier run arrives before one of the current run.
func TestLateReportOfEarlierRunDoesNotEndLearning(t *testing.T) {
	is := is.New(t)
	g := newGate(true)
	for _, age := range []time.Duration{time.Minute, time.Second} {
		r := report(1)
		r.Started = start.Add(-age)
		_, err := g.Report(start.Add(time.Second), r)
		is.NoErr(err)
	}
	is.Equal(g.FromPeer(start.Add(2*time.Second), forward(self, other), dataPacket(1, feeds, 900, 10)).Verdict, Deliver)
}

// Guards against a backend server that gets no flows until its next start, and whose leave is not
// confirmed: it started while the time of day was set back, so that its reports seemed to be of an
// earlier run.
func TestRunOfSteppedClockReplacesASilentOne(t *testing.T) {
	for name, known := range map[string]func() *Gate{
		"reported":    func() *Gate { return readyGate(t, false) },
		"handed over": func() *Gate { return successor(t, readyGate(t, false), start) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := known()
			r := Report{Instance: "i-2", Started: report(1).Started.Add(-time.Second), Sequence: 1, State: view.Ready, Slots: 2}
			silentFrom := start.Add(maxMissedReports * time.Second)
			_, err := g.Report(silentFrom.Add(-time.Millisecond), r)
			is.True(errkind.Is(err, errkind.ReportStale))
			_, err = g.Report(silentFrom.Add(time.Second), r)
			is.NoErr(err)
			is.Equal(g.Refusal(silentFrom.Add(time.Second)), errkind.Kind(0))
		})
	}
}

// Guards against a cold backend server that gets more new flows than its cold rate
// and burst allow. After a restart of the agent and after an evacuation, also one that the
// agent has never seen (review/3), the backend server counts as cold until it reports.
func TestColdBackendStaysWithinItsRate(t *testing.T) {
	const rate, burst = 6.0, 2.0
	proptest.Check(t, func(t *rapid.T) {
		g := newGate(false)
		g.SetService(view.Service{Name: "comptoir", ColdPerSecond: rate}, 0, start)
		switch rapid.IntRange(0, 3).Draw(t, "case") {
		case 0:
			r := report(1)
			r.ColdFor = time.Hour
			_, _ = g.Report(start, r)
		case 1:
			g.RestoreAnnounced(Report{State: view.Ready, Slots: 2})
		case 2:
			_, _ = g.Report(start, report(1))
			g.SetEvacuation(true, 1)
			g.SetEvacuation(false, 2)
		case 3:
			g.SetEvacuation(false, 1)
			_, _ = g.Report(start, report(1))
			g.SetEvacuation(false, 2)
		}
		var delivered []time.Time
		now := start
		for port := range rapid.IntRange(1, 80).Draw(t, "openings") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "gap ms")) * time.Millisecond)
			if g.FromPeer(now, forward(self), openingPacket(port+1)).Verdict == Deliver {
				delivered = append(delivered, now)
				g.FromBackend(now, backendPacket(port+1, orders, flow.Open|flow.Ack, 0))
			}
			if g.backend.reportedAt.IsZero() {
				continue
			}
			g.backend.reportedAt = now // reports continue but are unchanged
		}
		for i, first := range delivered {
			n := 0
			for _, at := range delivered[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			if float64(n) > rate+burst {
				t.Fatalf("%d openings were delivered within a second, more than the cold rate and burst allow", n)
			}
		}
	})
}

// Guards against a service without a cold rate that gets no flows while its backend
// servers are cold, as after a power cut.
func TestColdBackendWithoutRateIsNotLimited(t *testing.T) {
	is := is.New(t)
	g := newGate(false)
	r := report(1)
	r.ColdFor = 2 * time.Second
	_, err := g.Report(start, r)
	is.NoErr(err)
	for port := 1; port <= 20; port++ {
		is.Equal(g.FromPeer(start, forward(self), openingPacket(port)).Verdict, Deliver)
	}
}

// Guards against a slot that counts as free because the end of the previous answer
// was retransmitted.
func TestRetransmittedAnswerFreesNoSlot(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	establishFlow(g, start, 1, feeds)
	g.FromPeer(start, forward(self), dataPacket(1, feeds, 101, 10))
	answer := backendPacket(1, feeds, flow.Ack, 100)
	is.True(g.FromBackend(start, answer).Progress.AnswerStarted)
	g.FromPeer(start, forward(self), dataPacket(1, feeds, 111, 10))
	is.True(!g.FromBackend(start, answer).Progress.AnswerStarted)
	is.Equal(g.InProgress(), 1)
	answer.Seq += 100
	is.True(g.FromBackend(start, answer).Progress.AnswerStarted)
	is.Equal(g.InProgress(), 0)
}

// Guards against lookups that stop at an agent whose backend server is down: a
// packet offered there is neither accepted nor returned.
func TestUnansweredOfferIsPassedOn(t *testing.T) {
	is := is.New(t)
	g := newGate(true)
	p := dataPacket(1, feeds, 900, 10)
	is.Equal(g.FromPeer(start, forward(self, other), p).Verdict, Deliver)
	is.True(!g.ConnAttemptDue(start.Add(300 * time.Millisecond)))
	is.Equal(len(g.PassOnUnanswered(start.Add(300*time.Millisecond))), 0)
	is.True(g.ConnAttemptDue(start.Add(500 * time.Millisecond)))
	unsure := g.PassOnUnanswered(start.Add(500 * time.Millisecond)) // it may be processing the request
	is.Equal(len(unsure), 1)
	is.Equal(unsure[0].Message.Unsure, uint8(1))
	g.RecordConnAttempt(start.Add(500*time.Millisecond), true)
	is.True(!g.ConnAttemptDue(start.Add(500 * time.Millisecond)))
	passedOn := g.PassOnUnanswered(start.Add(500 * time.Millisecond))
	is.Equal(len(passedOn), 1)
	is.Equal(passedOn[0].Verdict, PassOn)
	is.Equal(passedOn[0].To, other)
	is.Equal(string(passedOn[0].Message.Packet), "packet")
	is.Equal(len(g.PassOnUnanswered(start.Add(600*time.Millisecond))), 0)
	// Nothing more is offered while the backend server sends nothing.
	is.Equal(g.FromPeer(start.Add(600*time.Millisecond), forward(self, other), dataPacket(2, feeds, 900, 10)).Verdict, PassOn)
	// A packet of its own shows that the backend server is up.
	g.FromBackend(start.Add(700*time.Millisecond), backendPacket(3, feeds, flow.Ack, 10))
	is.Equal(g.FromPeer(start.Add(800*time.Millisecond), forward(self, other), dataPacket(2, feeds, 900, 10)).Verdict, Deliver)
}

// Guards against a packet that is passed on as well although the backend server
// accepted it and is still processing it.
func TestOfferToRespondingBackendIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	g := newGate(true)
	g.FromPeer(start, forward(self, other), dataPacket(1, feeds, 900, 10))
	g.FromBackend(start.Add(10*time.Millisecond), backendPacket(3, feeds, flow.Ack, 10))
	is.Equal(len(g.PassOnUnanswered(start.Add(time.Second))), 0)
}

// Guards against an agent that stays announced after its backend server ended while
// no agent was running, and against one that withdraws a running backend server.
func TestVanishedBackendServer(t *testing.T) {
	is := is.New(t)
	g := newGate(true)
	is.True(!g.BackendVanished()) // nothing was offered
	g.FromPeer(start, forward(self, other), dataPacket(1, feeds, 900, 10))
	is.True(!g.BackendVanished())
	g.RecordConnAttempt(start.Add(500*time.Millisecond), true)
	is.True(g.BackendVanished())
	_, err := g.Report(start.Add(600*time.Millisecond), report(1))
	is.NoErr(err)
	is.True(!g.BackendVanished())
}

// Guards against the reset of an open flow after a restart of its agent: a backend
// server that holds the flow doesn't answer an acknowledgement, and answers a
// request of one packet only after it has processed it.
func TestSilentBackendServerKeepsItsFlows(t *testing.T) {
	for name, length := range map[string]int{"acknowledgement": 0, "slow request": 10} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGate(true)
			is.Equal(g.FromPeer(start, forward(self), dataPacket(1, feeds, 900, length)).Verdict, Deliver)
			at := start.Add(500 * time.Millisecond)
			is.True(g.ConnAttemptDue(at))
			g.RecordConnAttempt(at, false)
			is.True(!g.ConnAttemptDue(at))
			passedOn := g.PassOnUnanswered(at)
			is.Equal(len(passedOn), 1)
			is.Equal(passedOn[0].Message.Unsure, uint8(1)) // not a denial
			is.Equal(len(g.PassOnUnanswered(at)), 0)
			is.Equal(g.FromPeer(at, forward(self), dataPacket(1, feeds, 900, 10)).Verdict, Deliver)
			is.True(!g.BackendVanished())
		})
	}
}

// Guards against a reset that reaches the caller of a flow which is open at another
// backend server: this one gives up on an opening whose caller continued elsewhere.
func TestResetOfUnusedBackendServerIsDropped(t *testing.T) {
	for name, passPacket := range map[string]bool{"before the caller's packet": false, "after the caller's packet": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := readyGate(t, false)
			g.FromPeer(start, forward(self, other), openingPacket(1))
			g.FromBackend(start, backendPacket(1, orders, flow.Open|flow.Ack, 0))
			if passPacket {
				p := ackPacket(1, 99_000_000, 10) // acknowledges another backend server's answer
				is.Equal(g.FromPeer(start, forward(self, other), p).Verdict, PassOn)
			}
			a := g.FromBackend(start.Add(time.Second), backendPacket(1, orders, flow.Reset, 0))
			is.Equal(a.Verdict, Drop)
		})
	}
}

// Guards against a late packet of a former flow that counts as one of a new flow from the
// same address and port: the agent would take the new flow for open, answer its first
// request before it arrives, and reset it when the backend server returns a packet, although
// the caller may have opened it at another backend server.
func TestLatePacketOfFormerFlowOpensNoFlow(t *testing.T) {
	for name, answered := range map[string]bool{"before the answer to the opening": false, "after it": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := readyGate(t, false)
			g.FromPeer(start, forward(self), openingPacket(1))
			if answered {
				g.FromBackend(start, backendPacket(1, orders, flow.Open|flow.Ack, 0))
			}
			late := backendPacket(1, orders, flow.Ack, 600)
			late.Seq = 4_000_000_000
			is.Equal(g.FromBackend(start, late).Verdict, ToCaller) // the ends check sequence numbers
			bounced := dataPacket(1, orders, 101, 10)
			bounced.Flags |= flow.Bounced
			is.Equal(g.FromBackend(start, bounced).Verdict, Drop) // no reset
		})
	}
}
