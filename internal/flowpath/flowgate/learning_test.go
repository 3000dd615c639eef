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

// Guards against packets of other servers' flows that an agent offers to its backend server
// for a whole flow lifetime after a restart: a flow of which it has seen nothing for longer
// than the idle timeout has ended.
func TestLearningEndsWithTheIdleTimeout(t *testing.T) {
	is := is.New(t)
	const idle = 15 * time.Second
	offers := func(g *Gate, now time.Time) bool {
		m := forward(self, other)
		m.ReportHolder = true
		return g.FromPeer(now, m, dataPacket(1, orders, 910, 10)).Verdict == Deliver
	}
	g := New(Options{Self: self, Service: serviceID, Learning: true, LearnFor: time.Minute}, start)
	is.True(offers(g, start.Add(idle+minIdleMargin))) // the idle timeout isn't known yet
	g.SetService(view.Service{Name: "comptoir"}, idle)
	is.True(offers(g, start.Add(idle+minIdleMargin-time.Millisecond)))
	is.True(!offers(g, start.Add(idle+minIdleMargin)))
}

// Guards against a flow that its agent forgets, so that balancers reset it, while its caller
// still sends a request: a saturated link loses the packets for as long as the request lasts.
func TestFlowOutlivesRequestWhosePacketsAreLost(t *testing.T) {
	const idle, timeout = 4 * time.Second, 8 * time.Second
	for _, sinceLastPacket := range []time.Duration{idle + minIdleMargin + time.Second, idle + timeout - time.Second} {
		is := is.New(t)
		g := readyGate(t, false)
		g.SetRoutes(map[netip.AddrPort]view.Route{orders: {Address: orders, Timeout: timeout}})
		g.SetService(view.Service{Name: "comptoir", MaxFlows: 100}, idle)
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
