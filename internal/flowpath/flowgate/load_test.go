package flowgate

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// row is a list of agents that an opening names, in the order of a balancer.
type row struct {
	gates     map[netip.AddrPort]*Gate
	addresses []netip.AddrPort
}

// newRow returns agents whose backend servers have two slots each and work on
// the given numbers of requests.
func newRow(t *testing.T, requests ...int) *row {
	r := &row{gates: map[netip.AddrPort]*Gate{}}
	port := 1000
	for i, n := range requests {
		g := readyGate(t, false)
		g.self = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i)}), 8172)
		for range n {
			established(g, start, port, orders)
			g.FromPeer(start, forward(self), data(port, orders, 101, 100))
			port++
		}
		r.gates[g.self] = g
		r.addresses = append(r.addresses, g.self)
	}
	return r
}

// place lets an opening take its way and returns who took it, and after how
// many hops.
func (r *row) place(now time.Time, port int) (netip.AddrPort, int) {
	m := *forward(r.addresses...)
	at := r.addresses[0]
	for hops := 1; ; hops++ {
		a := r.gates[at].FromPeer(now, &m, opens(port))
		if a.Verdict == Deliver {
			return at, hops
		}
		if a.Message.Type == hop.Declined {
			return netip.AddrPort{}, hops
		}
		m, at = a.Message, a.To
	}
}

// The load pattern: after a power cut every server is busy, and each new flow
// passes along all candidates. Guards against a last candidate, the busiest in
// the balancer's order, that takes all of them: it had 130 requests in the
// queue while others had 15.
func TestBusyServersTakeFlowsInTurn(t *testing.T) {
	is := is.New(t)
	r := newRow(t, 3, 4, 5, 9)
	counts := map[netip.AddrPort]int{}
	for port := range 15 {
		at, hops := r.place(start, port+1)
		is.True(hops <= len(r.addresses)+1)
		counts[at]++
	}
	// 21 requests and 15 flows on four servers: 9 each.
	for i, want := range []int{6, 5, 4, 0} {
		is.Equal(counts[r.addresses[i]], want)
	}
}

// Guards against a busy server that takes a flow although an idle one is asked
// later, and against one that is refused although a busy server could take it.
func TestBusyServerYields(t *testing.T) {
	is := is.New(t)
	r := newRow(t, 9, 0, 9)
	at, _ := r.place(start, 1)
	is.Equal(at, r.addresses[1])
	r = newRow(t, 9, 4, 9)
	r.gates[r.addresses[2]].Leave()
	at, _ = r.place(start, 1)
	is.Equal(at, r.addresses[1])
}

// The load pattern: many flows are opened within one round trip. Guards against
// a load that counts them only when their requests arrive, so that balancers
// send further flows to the same server.
func TestLoadCountsFlowsThatAreBeingOpened(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	for port := range 3 {
		g.FromPeer(start, forward(self), opens(port+1))
	}
	is.Equal(g.Load(start).InProgress, uint16(3))
	g.FromBackend(start, answers(1, orders, flow.Open|flow.Ack, 0))
	g.FromPeer(start, forward(self), data(1, orders, 101, 100))
	is.Equal(g.Load(start).InProgress, uint16(3)) // two flows, and the request of the third
}
