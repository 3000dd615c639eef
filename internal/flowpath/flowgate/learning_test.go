package flowgate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
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
