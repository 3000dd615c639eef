package flowgate

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// answerOffered offers a request of an unknown flow to the backend server of a learning
// agent, which answers it.
func answerOffered(t *testing.T, g *Gate, now time.Time, port int) {
	t.Helper()
	m := forward(self)
	m.ReportHolder = true
	if a := g.FromPeer(now, m, dataPacket(port, orders, 910, 10)); a.Mark == 0 {
		t.Fatal("the request was not offered")
	}
	answer := backendPacket(port, orders, flow.Ack, 100)
	answer.Ack = 920
	if a := g.FromBackend(now.Add(250*time.Millisecond), answer); a.NotifyBalancer != balancer {
		t.Fatal("the balancer was not notified")
	}
}

// Guards against a request that takes a slot although it was answered: after a restart
// of the agent its retransmission, which waited at the balancer, arrives after the answer.
func TestRetransmissionAfterAnswerIsNoRequest(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	answerOffered(t, g, start, 1)
	a := g.FromPeer(start.Add(252*time.Millisecond), forward(self), dataPacket(1, orders, 910, 10))
	is.Equal(a.Verdict, Deliver)
	is.True(!a.Progress.RequestStarted)
	is.Equal(g.InProgress(), 0)
}

// Guards against requests that wait in the queue while the backend server is idle,
// because answered requests of flows that a restarted agent has learned take all slots.
func TestAnsweredRequestsHoldNoOtherBack(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	for port := 1; port <= g.slots()+1; port++ {
		answerOffered(t, g, start, port)
		g.FromPeer(start.Add(252*time.Millisecond), forward(self), dataPacket(port, orders, 910, 10))
	}
	establishFlow(g, start.Add(300*time.Millisecond), 50, orders)
	is.Equal(g.FromPeer(start.Add(300*time.Millisecond), forward(self), dataPacket(50, orders, 101, 10)).Verdict, Deliver)
}

// Guards against answered requests that count as failures of the backend server a
// second later, so that it gets few new flows.
func TestRetransmissionAfterAnswerIsNoFailure(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	for port := 1; port <= minFailures; port++ {
		answerOffered(t, g, start, port)
		g.FromPeer(start.Add(252*time.Millisecond), forward(self), dataPacket(port, orders, 910, 10))
	}
	g.Tick(start.Add(2 * time.Second))
	failures, _ := g.RecentOutcomes()
	is.Equal(failures, 0.0)
}

// Guards against a packet that is passed on with the message of another flow, whose
// candidates then count as denying it: the packet was delivered by an earlier process of
// the agent, whose marks this process uses again.
func TestBounceOfEarlierProcessMatchesNoOffer(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	m := forward(self, other)
	m.ReportHolder = true
	mark := g.FromPeer(start, m, dataPacket(1, orders, 910, 10)).Mark
	earlier := dataPacket(2, orders, 500, 10)
	earlier.Flags |= flow.Bounced
	earlier.Mark = mark
	is.Equal(g.FromBackend(start, earlier).Verdict, Drop)
	own := dataPacket(1, orders, 910, 10)
	own.Flags |= flow.Bounced
	own.Mark = mark
	is.Equal(g.FromBackend(start, own).Verdict, PassOn)
}

// Guards against a reset that reaches the caller of a flow at another agent: the backend
// server answers data of a flow that ended here, such as an opening it gave up on, with a
// reset, and its agent has restarted since.
func TestResetInReplyToOfferReachesNoCaller(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	m := forward(self, other)
	m.ReportHolder = true
	is.True(g.FromPeer(start, m, dataPacket(1, orders, 910, 10)).Mark != 0)
	is.True(g.FromBackend(start, backendPacket(1, orders, flow.Reset, 0)).Verdict != ToCaller)
}

// Guards against an agent that offers further packets of a flow to a backend server that
// has returned one, and against one that denies the flow after it was opened here.
func TestReturnedFlowIsNotOfferedAgain(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	m := forward(self, other)
	m.ReportHolder = true
	p := dataPacket(1, orders, 910, 10)
	returned := p
	returned.Mark = g.FromPeer(start, m, p).Mark
	returned.Flags |= flow.Bounced
	is.Equal(g.FromBackend(start, returned).Verdict, PassOn)
	is.Equal(g.FromPeer(start, m, p).Verdict, PassOn)
	m.KnownOnly = true
	is.Equal(g.FromPeer(start, m, p).Message.Unsure, uint8(0))
	establishFlow(g, start, 1, orders)
	is.Equal(g.FromPeer(start, m, p).Verdict, Deliver)
}

// Guards against balancers that look for a flow again and have its packets offered to
// other backend servers, because only one of those that asked was told who holds it.
func TestEachBalancerThatLooksIsNotified(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	second := netip.MustParseAddrPort("10.1.0.11:7720")
	for _, b := range []netip.AddrPort{balancer, second} {
		m := forward(self)
		m.ReportHolder, m.Balancer = true, b
		is.True(g.FromPeer(start, m, dataPacket(1, orders, 910, 10)).Mark != 0)
	}
	notified := map[netip.AddrPort]bool{}
	for i := range 2 {
		at := start.Add(time.Duration(250+i) * time.Millisecond)
		answer := backendPacket(1, orders, flow.Ack, 100)
		answer.Seq += uint32(100 * i)
		if a := g.FromBackend(at, answer); a.NotifyBalancer.IsValid() {
			notified[a.NotifyBalancer] = true
		}
	}
	is.Equal(len(notified), 2)
}

// Guards against a request that takes a slot although it was answered: its retransmission
// waited in the queue of the restarted agent when the answer to the offered packet came.
func TestAnsweredRequestLeavesTheQueueUncounted(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	m := forward(self)
	m.ReportHolder = true
	is.True(g.FromPeer(start, m, dataPacket(1, orders, 910, 10)).LookupFrom.IsValid())
	earlier := backendPacket(1, orders, flow.Ack, 10) // repeated end of the answer to an earlier request
	earlier.Ack = 910
	g.FromBackend(start.Add(10*time.Millisecond), earlier)
	for port := 50; port <= 50+g.slots(); port++ {
		establishFlow(g, start, port, orders)
		g.FromPeer(start, forward(self), dataPacket(port, orders, 101, 10))
	}
	is.Equal(g.FromPeer(start.Add(200*time.Millisecond), forward(self), dataPacket(1, orders, 910, 10)).Verdict, Hold)
	answer := backendPacket(1, orders, flow.Ack, 100)
	answer.Seq, answer.Ack = earlier.Seq+10, 920
	g.FromBackend(start.Add(250*time.Millisecond), answer)
	for port := 50; port <= 50+g.slots(); port++ {
		g.FromBackend(start.Add(300*time.Millisecond), backendPacket(port, orders, flow.Ack, 10))
	}
	g.Release(start.Add(300 * time.Millisecond))
	is.Equal(g.InProgress(), 0)
}

// confirmIdleTimeout makes a gate receive that an idle timeout is in force.
func confirmIdleTimeout(g *Gate, idle time.Duration, at time.Time) {
	g.SetService(view.Service{Name: "comptoir", MaxFlows: 100}, idle, at)
}

// offersUnknown reports whether a gate offers a packet of an unknown flow to its backend server.
func offersUnknown(g *Gate, now time.Time) bool {
	m := forward(self, other)
	m.ReportHolder = true
	return g.FromPeer(now, m, dataPacket(1, orders, 910, 10)).Verdict == Deliver
}

// startedGate returns the gate of an agent that has just started beside a backend server that
// may hold flows. No configuration is known.
func startedGate(now time.Time) *Gate {
	return New(Options{Self: self, Service: serviceID, Learning: true, FlowLifetime: time.Minute}, now)
}

// Guards against packets of other servers' flows that an agent offers to its backend server
// for a whole flow lifetime after a restart: a flow of which it has seen nothing for longer
// than the idle timeout has ended.
func TestLearningEndsWithTheIdleTimeout(t *testing.T) {
	is := is.New(t)
	const idle = 15 * time.Second
	g := startedGate(start)
	is.True(offersUnknown(g, start.Add(idle+minIdleMargin))) // the idle timeout isn't known yet
	before := start.Add(idle + minIdleMargin - time.Millisecond)
	confirmIdleTimeout(g, idle, before)
	is.True(offersUnknown(g, before))
	confirmIdleTimeout(g, idle, start.Add(idle+minIdleMargin))
	is.True(!offersUnknown(g, start.Add(idle+minIdleMargin)))
}

// Guards against an agent that denies flows because they have been idle for longer than a former
// idle timeout: the operator raised it while the agent was learning.
func TestLearningFollowsARaisedIdleTimeout(t *testing.T) {
	is := is.New(t)
	const idle, raised = 15 * time.Second, 40 * time.Second
	g := startedGate(start)
	confirmIdleTimeout(g, idle, start.Add(time.Second))
	confirmIdleTimeout(g, raised, start.Add(3*time.Second))
	for _, after := range []time.Duration{idle + minIdleMargin, raised, raised + minIdleMargin - time.Millisecond} {
		confirmIdleTimeout(g, raised, start.Add(after))
		g.Tick(start.Add(after))
		is.True(offersUnknown(g, start.Add(after)))
	}
	confirmIdleTimeout(g, raised, start.Add(raised+minIdleMargin))
	is.True(!offersUnknown(g, start.Add(raised+minIdleMargin)))
}

// Guards against an agent that denies flows by a former idle timeout after a planned restart: the
// earlier process was learning, and handed over how long it would have learned by that timeout.
func TestHandedOverLearningFollowsARaisedIdleTimeout(t *testing.T) {
	is := is.New(t)
	const idle, raised = 15 * time.Second, 40 * time.Second
	g := readyGate(t, true)
	now := start.Add(5 * time.Second)
	confirmIdleTimeout(g, idle, now)
	next := successor(t, g, now)
	confirmIdleTimeout(next, raised, now.Add(time.Second))
	for _, after := range []time.Duration{idle + minIdleMargin, raised + minIdleMargin - 6*time.Second} {
		confirmIdleTimeout(next, raised, now.Add(after))
		next.Tick(now.Add(after))
		is.True(offersUnknown(next, now.Add(after)))
	}
	// The earlier process had learned for 5 s.
	confirmIdleTimeout(next, raised, now.Add(raised))
	is.True(!offersUnknown(next, now.Add(raised)))
}

// Guards against an agent that denies flows by an idle timeout that may have been raised since
// its configuration was last known to be current, because the store is away.
func TestOldConfigurationEndsNoFlow(t *testing.T) {
	is := is.New(t)
	const idle = 15 * time.Second
	confirmed := start.Add(idle)
	g := startedGate(start)
	confirmIdleTimeout(g, idle, confirmed)
	known := readyGate(t, false)
	establishFlow(known, start, 1, orders)
	confirmIdleTimeout(known, idle, confirmed)
	for _, after := range []time.Duration{idle + minIdleMargin, 50 * time.Second} {
		g.Tick(start.Add(after))
		is.True(offersUnknown(g, start.Add(after)))
		known.Tick(start.Add(after))
		is.Equal(known.OpenFlows(), 1)
	}
	// Flows of before the start are older than flows may be, and the table doesn't grow for
	// as long as the store is away.
	is.True(!offersUnknown(g, start.Add(time.Minute)))
	known.Tick(start.Add(time.Minute + minIdleMargin + time.Second))
	is.Equal(known.OpenFlows(), 0)
}

// Guards against the end of a flow that sent a packet under an idle timeout which was lowered
// before the packet arrived.
func TestLoweredIdleTimeoutLeavesTimeForPacketsOnTheWay(t *testing.T) {
	is := is.New(t)
	const idle, lowered = 40 * time.Second, 15 * time.Second
	g, known := startedGate(start), readyGate(t, false)
	establishFlow(known, start, 1, orders)
	for _, gate := range []*Gate{g, known} {
		loweredAt := start.Add(30 * time.Second)
		confirmIdleTimeout(gate, idle, start)
		confirmIdleTimeout(gate, idle, loweredAt)
		confirmIdleTimeout(gate, lowered, loweredAt.Add(time.Millisecond))
		confirmIdleTimeout(gate, lowered, loweredAt.Add(minIdleMargin))
	}
	arrival := start.Add(30*time.Second + minIdleMargin)
	known.Tick(arrival)
	is.Equal(known.OpenFlows(), 1)
	is.True(offersUnknown(g, arrival))
	for _, gate := range []*Gate{g, known} {
		confirmIdleTimeout(gate, lowered, arrival.Add(time.Second))
	}
	known.Tick(arrival.Add(time.Second))
	is.Equal(known.OpenFlows(), 0)
	is.True(!offersUnknown(g, arrival.Add(time.Second)))
}

// Guards against a flow that its agent forgets, so that balancers reset it, while its caller
// still sends a request: a saturated link loses the packets for as long as the request lasts.
func TestFlowOutlivesRequestWhosePacketsAreLost(t *testing.T) {
	const idle, timeout = 4 * time.Second, 8 * time.Second
	for _, sinceLastPacket := range []time.Duration{idle + minIdleMargin + time.Second, idle + timeout - time.Second} {
		is := is.New(t)
		g := readyGate(t, false)
		g.SetRoutes(map[netip.AddrPort]view.Route{orders: {Address: orders, Timeout: timeout}})
		confirmIdleTimeout(g, idle, start)
		confirmIdleTimeout(g, idle, start.Add(sinceLastPacket))
		establishFlow(g, start, 1, orders)
		g.Tick(start.Add(sinceLastPacket))
		is.Equal(g.FromPeer(start.Add(sinceLastPacket), forward(self), dataPacket(1, orders, 101, 10)).Verdict, Deliver)
	}
}

// Guards against a balancer that has a packet offered by further agents because it isn't aware
// of the offers that another balancer has caused.
func TestAnswerReportsEarlierOffer(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	ask := func(now time.Time, knownOnly bool) Action {
		m := forward(self, other)
		m.ReportHolder, m.KnownOnly = true, knownOnly
		return g.FromPeer(now, m, dataPacket(1, orders, 910, 10))
	}
	is.True(!ask(start, true).Message.Offered)
	is.Equal(ask(start, false).Verdict, Deliver)
	is.True(ask(start.Add(time.Second), true).Message.Offered)
	is.True(!ask(start.Add(hop.OfferWindow), true).Message.Offered)
	g.Tick(start.Add(hop.OfferWindow))
	is.Equal(len(g.lastOffers), 0)
}

// Guards against an agent that denies flows by a former lifetime of flows: the operator raised it
// in the settings while the agent was learning.
func TestLearningFollowsARaisedFlowLifetime(t *testing.T) {
	is := is.New(t)
	g := startedGate(start)
	g.SetFlowLifetime(2 * time.Minute)
	is.True(offersUnknown(g, start.Add(time.Minute)))
	is.True(!offersUnknown(g, start.Add(2*time.Minute)))
}

// Guards against an agent that denies flows because its clock was behind when it started, or was
// ahead when its backend server did: the server seems to have started later, although an earlier
// process of the agent has opened flows at it.
func TestSteppedClockEndsNoLearning(t *testing.T) {
	for name, c := range map[string]struct {
		sequence uint64
		started  time.Duration // of the backend server, after the start of the agent by the time of day
		learns   bool
	}{
		"an earlier process has had a report":      {2, 2 * time.Second, true},
		"first report of a run of before":          {firstSequence, -time.Second, true},
		"first report of a run that started since": {firstSequence, time.Second, false},
		"server and agent start with their host":   {firstSequence, -minProcessGap / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := startedGate(start)
			r := report(c.sequence)
			r.Started = start.Add(c.started)
			_, err := g.Report(start.Add(time.Second), r)
			is.NoErr(err)
			is.Equal(offersUnknown(g, start.Add(2*time.Second)), c.learns)
		})
	}
}

// Guards against an agent that takes the second report of a run for proof that no earlier process
// has received one, and against one that learns for long after a loss of power: its backend server
// had sent the first report before the agent listened. Acknowledgements name another address for
// later reports.
func TestOnlyUnacknowledgedRunsEndLearning(t *testing.T) {
	const toNamedAddress, toFirstAddress = true, false
	for name, c := range map[string]struct {
		second, third bool // where these reports go
		sequence      uint64
		learns        bool
	}{
		"first report failed":                      {toFirstAddress, toNamedAddress, 2, false},
		"two reports failed":                       {toFirstAddress, toNamedAddress, 3, true},
		"first report acknowledged":                {toNamedAddress, toNamedAddress, 2, true},
		"acknowledgements are ignored":             {toFirstAddress, toFirstAddress, 2, true},
		"acknowledged by a process without a name": {toNamedAddress, toFirstAddress, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := startedGate(start)
			for i, followsAck := range []bool{c.second, c.third} {
				r := report(c.sequence + uint64(i))
				r.Started, r.FollowsAck = start, followsAck
				_, err := g.Report(start.Add(time.Duration(i)*time.Second), r)
				is.NoErr(err)
				if i == 0 {
					is.True(offersUnknown(g, start))
				}
			}
			is.Equal(offersUnknown(g, start.Add(2*time.Second)), c.learns)
		})
	}
}

// Guards against an agent that denies flows after a panic: the new gate receives the first report of
// a run from the gate before, through which packets of the run have passed.
func TestRestoredReportEndsNoLearning(t *testing.T) {
	is := is.New(t)
	g := New(Options{Self: self, Service: serviceID, Learning: true, FlowLifetime: time.Minute, Replaces: true}, start)
	r := report(firstSequence)
	r.Started = start.Add(time.Second) // the clock was ahead
	is.NoErr(g.RestoreReport(start, r))
	is.True(offersUnknown(g, start))
}
