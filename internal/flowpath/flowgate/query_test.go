package flowgate

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

func query() *hop.Message {
	m := forward(self, other)
	m.Query, m.ReportHolder, m.KnownOnly = true, true, true
	return m
}

// Guards against a query that is taken for the packet itself: a request counts as started, or
// takes a slot, before its data has come, and its packet then as a retransmission.
func TestQueryOfKnownFlowStartsNoRequest(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	for port := 1; port <= 1+g.slots(); port++ { // all slots are taken
		establishFlow(g, start, port, orders)
		g.FromPeer(start, forward(self), dataPacket(port, orders, 101, 10))
	}
	establishFlow(g, start, 50, orders)
	busy := g.InProgress()
	request := dataPacket(50, orders, 101, 10)
	a := g.FromPeer(start, query(), request)
	is.Equal(a.Verdict, Notify)
	is.Equal(a.NotifyBalancer, balancer)
	is.Equal(a.Progress, FlowProgress{})
	is.Equal(g.QueuedRequests(), 0)
	is.Equal(g.InProgress(), busy)
	is.Equal(g.FromPeer(start, forward(self), request).Verdict, Hold)
}

// Guards against a flow that is denied because the caller's acknowledgement came by a query
// only, and against one that counts as held although the caller continues elsewhere.
func TestQueryOpensFlowAsItsPacketDoes(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	for port := 1; port <= 2; port++ {
		g.FromPeer(start, forward(self), openingPacket(port))
		g.FromBackend(start, backendPacket(port, orders, flow.Open|flow.Ack, 0))
	}
	is.Equal(g.FromPeer(start, query(), dataPacket(1, orders, 101, 10)).Verdict, Notify)
	is.True(!g.Placed(start, openingPacket(1).CallerKey()).Opening)
	elsewhere := dataPacket(2, orders, 101, 10)
	elsewhere.Ack = 900_000
	is.Equal(g.FromPeer(start, query(), elsewhere).Verdict, PassOn)
}

// Guards against a caller that waits for its deadline because the query for its lost flow is
// answered by nothing, and against an opening without its data that is delivered.
func TestQueryOfLostFlowIsReset(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	establishFlow(g, start, 1, orders)
	returned := dataPacket(1, orders, 101, 10)
	returned.Flags |= flow.Bounced
	is.Equal(g.FromBackend(start, returned).Verdict, Reset) // the backend server has restarted
	a := g.FromPeer(start, query(), dataPacket(1, orders, 101, 10))
	is.Equal(a.Verdict, Reset)
	is.Equal(a.Packet.Ack, uint32(5001))
	is.Equal(a.NotifyBalancer, balancer)
	is.Equal(g.FromPeer(start, query(), openingPacket(2)).Kind, errkind.PacketForged)
}
