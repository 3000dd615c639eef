package flowgate

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// candidateList holds the agents to which an opening is sent, in the order that a
// balancer chose.
type candidateList struct {
	gates     map[netip.AddrPort]*Gate
	addresses []netip.AddrPort
}

// newCandidateList returns agents whose backend servers have two slots each and the
// given numbers of requests in progress.
func newCandidateList(t *testing.T, requests ...int) *candidateList {
	l := &candidateList{gates: map[netip.AddrPort]*Gate{}}
	port := 1000
	for i, n := range requests {
		g := readyGate(t, false)
		g.self = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), 8172)
		for range n {
			establishFlow(g, start, port, orders)
			g.FromPeer(start, forward(self), dataPacket(port, orders, 101, 100))
			port++
		}
		l.gates[g.self] = g
		l.addresses = append(l.addresses, g.self)
	}
	return l
}

// placeFlow sends an opening along the candidates and returns the address of the
// agent that accepted it, if any, and the number of hops.
func (l *candidateList) placeFlow(now time.Time, port int) (netip.AddrPort, int) {
	m := *forward(l.addresses...)
	at := l.addresses[0]
	for hops := 1; ; hops++ {
		a := l.gates[at].FromPeer(now, &m, openingPacket(port))
		if a.Verdict == Deliver {
			return at, hops
		}
		if a.Message.Type == hop.Declined {
			return netip.AddrPort{}, hops
		}
		m, at = a.Message, a.To
	}
}

// Guards against a last candidate, the busiest one in the balancer's order, that
// accepts all new flows. After a power cut every backend server is busy and each
// new flow passes along all candidates; the last one had 130 requests in the queue
// while others had 15.
func TestBusyServersShareNewFlowsByLoad(t *testing.T) {
	is := is.New(t)
	l := newCandidateList(t, 3, 4, 5, 9)
	counts := map[netip.AddrPort]int{}
	for port := range 15 {
		at, hops := l.placeFlow(start, port+1)
		is.True(hops <= len(l.addresses)+1)
		counts[at]++
	}
	// 21 requests and 15 flows on four backend servers: 9 each.
	for i, want := range []int{6, 5, 4, 0} {
		is.Equal(counts[l.addresses[i]], want)
	}
}

// Guards against a busy backend server that accepts a flow although a later
// candidate is idle, and against a flow that is refused although a busy backend
// server could accept it.
func TestBusyServerPassesNewFlowOn(t *testing.T) {
	is := is.New(t)
	l := newCandidateList(t, 9, 0, 9)
	at, _ := l.placeFlow(start, 1)
	is.Equal(at, l.addresses[1])
	l = newCandidateList(t, 9, 4, 9)
	l.gates[l.addresses[2]].RefuseNewFlows()
	at, _ = l.placeFlow(start, 1)
	is.Equal(at, l.addresses[1])
}

// Guards against a load that counts new flows only when their requests arrive.
// When many flows are opened within one round trip, balancers would send further
// flows to the same backend server.
func TestLoadCountsOpeningFlows(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	for port := range 3 {
		g.FromPeer(start, forward(self), openingPacket(port+1))
	}
	is.Equal(g.Load(start).InProgress, uint16(3))
	g.FromBackend(start, backendPacket(1, orders, flow.Open|flow.Ack, 0))
	g.FromPeer(start, forward(self), dataPacket(1, orders, 101, 100))
	is.Equal(g.Load(start).InProgress, uint16(3)) // two flows, and the request of the third
}

// Guards against balancers that take a process which stops for the one that follows it.
func TestLoadSaysThatTheProcessStops(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	is.True(!g.Load(start).Stopping)
	g.PrepareStop()
	is.True(g.Load(start).Stopping)
}
