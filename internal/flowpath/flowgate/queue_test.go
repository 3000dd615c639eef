package flowgate

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

// serverSlots is the number of requests that the backend server processes at a
// time.
const serverSlots = 2

// simulation sends requests to a gate whose backend server takes workTime for
// each and queues those beyond its slots, oldest first.
type simulation struct {
	gate         *Gate
	now          time.Time
	workTime     time.Duration
	arrived      map[int]time.Time // by the caller's port, like the other maps
	serviceOf    map[int]netip.AddrPort
	latency      map[int]time.Duration // time from arrival to the end
	backendQueue []int                 // delivered requests without a slot
	slotFreeAt   map[int]time.Time     // requests in a slot, with their ends
}

func newSimulation(t *testing.T, workTime time.Duration) *simulation {
	return &simulation{
		gate: readyGate(t, false), now: start, workTime: workTime,
		arrived: map[int]time.Time{}, serviceOf: map[int]netip.AddrPort{}, latency: map[int]time.Duration{}, slotFreeAt: map[int]time.Time{},
	}
}

// arrive opens a flow and sends a request on it.
func (s *simulation) arrive(port int, to netip.AddrPort) {
	establishFlow(s.gate, s.now, port, to)
	s.arrived[port], s.serviceOf[port] = s.now, to
	if s.gate.FromPeer(s.now, forward(self), dataPacket(port, to, 101, 10)).Verdict == Deliver {
		s.backendQueue = append(s.backendQueue, port)
	}
}

// step advances the time by a millisecond.
func (s *simulation) step() {
	s.now = s.now.Add(time.Millisecond)
	for port, end := range s.slotFreeAt {
		if s.now.Before(end) {
			continue
		}
		delete(s.slotFreeAt, port)
		s.latency[port] = s.now.Sub(s.arrived[port])
		s.gate.FromBackend(s.now, backendPacket(port, s.serviceOf[port], flow.Ack, 100))
	}
	for _, d := range s.gate.Release(s.now) {
		s.backendQueue = append(s.backendQueue, int(d.Key.Caller.Port()))
	}
	for len(s.slotFreeAt) < serverSlots && len(s.backendQueue) > 0 {
		s.slotFreeAt[s.backendQueue[0]] = s.now.Add(s.workTime)
		s.backendQueue = s.backendQueue[1:]
	}
}

// countInTime returns how many requests of a range of ports met an objective.
func (s *simulation) countInTime(from, to int, objective time.Duration) int {
	n := 0
	for port := from; port <= to; port++ {
		if took, ok := s.latency[port]; ok && took <= objective {
			n++
		}
	}
	return n
}

// backlogSize is the number of requests that fill the slots and the queue, plus
// one that is delivered ahead.
const backlogSize = maxQueuedPerSlot*serverSlots + serverSlots + 1

// newBacklog returns a simulation in which backlogSize requests, from port 1 on,
// arrived at once.
func newBacklog(t *testing.T) *simulation {
	s := newSimulation(t, 50*time.Millisecond)
	for port := 1; port <= backlogSize; port++ {
		s.arrive(port, feeds)
	}
	return s
}

// arriveEvery advances the time by span milliseconds and lets requests arrive at
// an interval in milliseconds, each on a flow of its own, from port next on. It
// returns the port after the last one.
func (s *simulation) arriveEvery(next, span, interval int) int {
	for ms := range span {
		if ms%interval == 0 {
			s.arrive(next, feeds)
			next++
		}
		s.step()
	}
	return next
}

// Guards against requests that a stopping agent drops although it has accepted them.
func TestStoppingAgentDropsNoQueuedRequest(t *testing.T) {
	is := is.New(t)
	s := newBacklog(t)
	queued := s.gate.QueuedRequests()
	is.True(queued > 0)
	is.Equal(len(s.gate.ReleaseAll(s.now)), queued)
	is.Equal(s.gate.QueuedRequests(), 0)
}

// Guards against slots that stay taken after a restart of the agent: a request that
// the backend server has acknowledged must not count as a new one when the caller
// repeats it, because its answer may have passed before.
func TestAcknowledgedRequestTakesNoSlot(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, true)
	answer := backendPacket(1, feeds, flow.Ack, 100)
	answer.Ack = 111
	g.FromBackend(start, answer)
	is.Equal(g.FromPeer(start, forward(self), dataPacket(1, feeds, 101, 10)).Verdict, Deliver)
	is.Equal(g.InProgress(), 0)
	is.Equal(g.FromPeer(start, forward(self), dataPacket(1, feeds, 111, 10)).Verdict, Deliver)
	is.Equal(g.InProgress(), 1)
}

// Guards against a backlog that makes every later request late. The backlog arrives
// at once when hosts are back after an outage, followed by the usual rate, which is
// below the capacity of the slots.
func TestBacklogDoesNotDelayNewRequests(t *testing.T) {
	is := is.New(t)
	s := newBacklog(t)
	// 25 requests a second; two slots can process 40.
	next := s.arriveEvery(101, 2000, 40)
	for range 500 {
		s.step()
	}
	fresh := next - 101
	is.True(s.countInTime(101, next-1, 250*time.Millisecond) >= fresh*95/100) // fresh requests are in time
	is.Equal(len(s.latency), fresh+backlogSize)                               // the backlog is processed as well
}

// Guards against requests that wait behind those of lower priority: many feeds
// arrive at once, immediately followed by orders.
func TestHigherPriorityLeavesQueueFirst(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 50*time.Millisecond)
	for port := 1; port <= 14; port++ {
		s.arrive(port, feeds)
	}
	for order := 1001; order <= 1004; order++ {
		s.arrive(order, orders)
	}
	for range 1000 {
		s.step()
	}
	is.Equal(s.countInTime(1001, 1004, 300*time.Millisecond), 4)
	is.Equal(len(s.latency), 18)
}

// Guards against requests that are delivered after their callers gave up.
func TestExpiredRequestsAreNotDelivered(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, time.Hour)
	for port := 1; port <= 6; port++ {
		s.arrive(port, feeds)
	}
	is.Equal(s.gate.QueuedRequests(), 3) // 2 slots and one request delivered ahead
	is.Equal(len(s.gate.Release(start.Add(1600*time.Millisecond))), 0)
	is.Equal(s.gate.QueuedRequests(), 0)
}

// Guards against an unbounded queue. Requests beyond the bound are delivered to the
// backend server, which refuses them itself, so that no request is refused that it
// could accept.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, time.Hour)
	for port := 1; port <= 60; port++ {
		s.arrive(port, feeds)
		s.gate.Release(s.now)
	}
	is.Equal(s.gate.QueuedRequests(), maxQueuedPerSlot*2)
}

// Guards against a queued request that is delivered twice because its caller
// retransmitted it, and against a later packet of a long request that is delivered
// before the first.
func TestQueuedRequestKeepsPacketOrder(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, time.Hour)
	for port := 1; port <= 3; port++ {
		s.arrive(port, feeds)
	}
	establishFlow(s.gate, s.now, 9, orders)
	first, second := dataPacket(9, orders, 101, 1200), dataPacket(9, orders, 1301, 300)
	is.Equal(s.gate.FromPeer(s.now, forward(self), first).Verdict, Hold)
	is.Equal(s.gate.FromPeer(s.now, forward(self), second).Verdict, Hold)
	is.Equal(s.gate.FromPeer(s.now, forward(self), first).Verdict, Hold) // a copy
	is.Equal(s.gate.QueuedRequests(), 1)
	s.gate.FromBackend(s.now, backendPacket(1, feeds, flow.Ack, 100))
	is.Equal(len(s.gate.Release(s.now)), 2)
	is.Equal(s.gate.InProgress(), 3)
}

// Guards against a request that skips the queue because it arrives in the packet
// that opens its flow, and against a queued one that is lost.
func TestRequestInFirstPacketIsQueued(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, time.Hour)
	for port := 1; port <= 3; port++ {
		s.arrive(port, feeds)
	}
	s.gate.FromPeer(s.now, forward(self), openingPacket(9))
	s.gate.FromBackend(s.now, backendPacket(9, orders, flow.Open|flow.Ack, 0))
	first := dataPacket(9, orders, 101, 10)
	is.Equal(s.gate.FromPeer(s.now, forward(self), first).Verdict, Hold)
	s.gate.FromBackend(s.now, backendPacket(9, orders, flow.Open|flow.Ack, 0)) // a copy
	is.Equal(s.gate.FromPeer(s.now, forward(self), first).Verdict, Hold)
	is.Equal(s.gate.QueuedRequests(), 1)
	s.gate.FromBackend(s.now, backendPacket(1, feeds, flow.Ack, 100))
	is.Equal(len(s.gate.Release(s.now)), 1)
}

// Guards against queue entries and slots that stay taken after the caller has reset
// its flow.
func TestResetFreesQueueEntryAndSlot(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, time.Hour)
	for port := 1; port <= 4; port++ {
		s.arrive(port, feeds)
	}
	is.Equal(s.gate.QueuedRequests(), 1)
	reset := dataPacket(4, feeds, 111, 0)
	reset.Flags = flow.Reset
	s.gate.FromPeer(s.now, forward(self), reset)
	is.Equal(s.gate.QueuedRequests(), 0)
	reset.From = caller(1)
	s.gate.FromPeer(s.now, forward(self), reset)
	is.Equal(s.gate.InProgress(), 2)
}

// Guards against a backlog that is queued until its callers give up, while new
// requests arrive at the capacity of the slots.
func TestBacklogIsServedUnderFullLoad(t *testing.T) {
	is := is.New(t)
	s := newBacklog(t)
	s.arriveEvery(101, 1500, 25)
	is.Equal(s.countInTime(1, backlogSize, 1500*time.Millisecond), backlogSize)
}

// Guards against a queue in which each request just misses its latency objective,
// at twice the request rate that a slow, cold backend server can process.
func TestOverloadKeepsSomeRequestsInTime(t *testing.T) {
	is := is.New(t)
	const workTime, span = 120 * time.Millisecond, 900
	s := newSimulation(t, workTime)
	next := s.arriveEvery(1, span, 30)
	capacity := serverSlots * span * time.Millisecond / workTime
	is.True(s.countInTime(1, next-1, 250*time.Millisecond) >= int(capacity)*8/10)
}

// Guards against a request that has missed its latency objective and goes before
// one that can still meet it. The age of a request counts from the first opening of
// its flow, which may have been lost in an outage.
func TestRequestAgeIncludesOpeningAge(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, time.Hour)
	for port := 1; port <= 3; port++ {
		s.arrive(port, feeds)
	}
	p := openingPacket(10)
	p.To, p.Age = feeds, 600*time.Millisecond
	for _, port := range []int{11, 10} {
		p.From = caller(port)
		s.gate.FromPeer(s.now, forward(self), p)
		s.gate.FromBackend(s.now, backendPacket(port, feeds, flow.Open|flow.Ack, 0))
		s.gate.FromPeer(s.now, forward(self), dataPacket(port, feeds, 101, 0))
		is.Equal(s.gate.FromPeer(s.now, forward(self), dataPacket(port, feeds, 101, 10)).Verdict, Hold)
		p.Age = 0
		s.now = s.now.Add(-time.Millisecond) // the new request isn't the first by arrival
	}
	s.gate.FromBackend(s.now, backendPacket(1, feeds, flow.Ack, 100))
	released := s.gate.Release(s.now)
	is.Equal(len(released), 1)
	is.Equal(released[0].Key.Caller.Port(), uint16(10))
}

// Guards against slots that go to callers that have given up, after an outage: a caller
// whose time limit has passed meanwhile sends its request and closes its side at once.
// Such a request is delivered all the same, when no other waits.
func TestRequestsOfClosedCallersGoLast(t *testing.T) {
	is := is.New(t)
	s := newBacklog(t)
	const firstQueued = serverSlots + 2
	for port := firstQueued; port <= backlogSize; port += 2 {
		end := dataPacket(port, feeds, 111, 0)
		end.Flags |= flow.Close
		s.gate.FromPeer(s.now, forward(self), end)
	}
	for range 1000 {
		s.step()
	}
	is.Equal(len(s.latency), backlogSize)
	var lastOpen, firstClosed time.Duration = 0, time.Hour
	for port := firstQueued; port <= backlogSize; port += 2 {
		firstClosed = min(firstClosed, s.latency[port])
		lastOpen = max(lastOpen, s.latency[port-1])
	}
	is.True(lastOpen <= firstClosed)
}

// Guards against queued requests that are dropped as expired at once, because their route has
// no timeout, and against ones that then are kept for ever.
func TestRequestsOfRouteWithoutTimeoutAreDelivered(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 50*time.Millisecond)
	s.gate.SetRoutes(map[netip.AddrPort]view.Route{feeds: {Address: feeds, Objective: 250 * time.Millisecond}})
	const requests = 12
	for port := 1; port <= requests; port++ {
		s.arrive(port, feeds)
	}
	is.True(s.gate.QueuedRequests() > 0)
	for range 500 {
		s.step()
	}
	is.Equal(len(s.latency), requests)
	s = newSimulation(t, time.Hour)
	s.gate.SetRoutes(map[netip.AddrPort]view.Route{feeds: {Address: feeds, Objective: 250 * time.Millisecond}})
	for port := 1; port <= 6; port++ {
		s.arrive(port, feeds)
	}
	s.gate.Release(start.Add(view.DefaultTimeout))
	is.Equal(s.gate.QueuedRequests(), 0)
}
