package flowgate

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

// serverSlots is the number of requests that the backend server works on.
const serverSlots = 2

// load plays requests against a gate whose backend server works on each for
// work and keeps what exceeds its slots waiting, oldest first.
type load struct {
	gate    *Gate
	now     time.Time
	work    time.Duration
	arrived map[int]time.Time // by the caller's port
	to      map[int]netip.AddrPort
	done    map[int]time.Duration // how long a request took
	queue   []int                 // delivered requests
	ends    map[int]time.Time     // requests in a slot
}

func newLoad(t *testing.T, work time.Duration) *load {
	return &load{
		gate: readyGate(t, false), now: start, work: work,
		arrived: map[int]time.Time{}, to: map[int]netip.AddrPort{}, done: map[int]time.Duration{}, ends: map[int]time.Time{},
	}
}

// arrive sends the request of a new flow.
func (l *load) arrive(port int, to netip.AddrPort) {
	established(l.gate, l.now, port, to)
	l.arrived[port], l.to[port] = l.now, to
	if l.gate.FromPeer(l.now, forward(self), data(port, to, 101, 10)).Verdict == Deliver {
		l.queue = append(l.queue, port)
	}
}

// step lets a millisecond pass.
func (l *load) step() {
	l.now = l.now.Add(time.Millisecond)
	for port, end := range l.ends {
		if l.now.Before(end) {
			continue
		}
		delete(l.ends, port)
		l.done[port] = l.now.Sub(l.arrived[port])
		l.gate.FromBackend(l.now, answers(port, l.to[port], flow.Ack, 100))
	}
	for _, d := range l.gate.Release(l.now) {
		l.queue = append(l.queue, int(d.Key.Caller.Port()))
	}
	for len(l.ends) < serverSlots && len(l.queue) > 0 {
		l.ends[l.queue[0]] = l.now.Add(l.work)
		l.queue = l.queue[1:]
	}
}

func (l *load) inTime(from, to int, objective time.Duration) int {
	n := 0
	for port := from; port <= to; port++ {
		if took, ok := l.done[port]; ok && took <= objective {
			n++
		}
	}
	return n
}

// backlog is the number of requests that are in the slots, on the way and in a
// full queue.
const backlog = waitPerSlot*serverSlots + serverSlots + 1

// newBacklog returns a load whose first requests, from port 1 on, all arrived at
// once.
func newBacklog(t *testing.T) *load {
	l := newLoad(t, 50*time.Millisecond)
	for port := 1; port <= backlog; port++ {
		l.arrive(port, feeds)
	}
	return l
}

// trickle lets span milliseconds pass in which a request arrives every so many,
// from port next on. It returns the port after the last one.
func (l *load) trickle(next, span, every int) int {
	for ms := range span {
		if ms%every == 0 {
			l.arrive(next, feeds)
			next++
		}
		l.step()
	}
	return next
}

// The load pattern: a backlog that all arrives at once when hosts are back,
// followed by the usual rate below what the slots bear. Guards against a
// backlog that makes every later request late.
func TestBacklogAfterAnOutage(t *testing.T) {
	is := is.New(t)
	l := newBacklog(t)
	// 25 requests a second of 40 that two slots bear.
	next := l.trickle(101, 2000, 40)
	for range 500 {
		l.step()
	}
	fresh := next - 101
	is.True(l.inTime(101, next-1, 250*time.Millisecond) >= fresh*95/100) // fresh requests are in time
	is.Equal(len(l.done), fresh+backlog)                                 // the backlog is served as well
}

// The load pattern: many feeds at once, with orders right behind them. Guards
// against orders that wait behind what is less urgent.
func TestOrdersGoBeforeFeeds(t *testing.T) {
	is := is.New(t)
	l := newLoad(t, 50*time.Millisecond)
	for port := 1; port <= 14; port++ {
		l.arrive(port, feeds)
	}
	for order := 1001; order <= 1004; order++ {
		l.arrive(order, orders)
	}
	for range 1000 {
		l.step()
	}
	is.Equal(l.inTime(1001, 1004, 300*time.Millisecond), 4)
	is.Equal(len(l.done), 18)
}

// Guards against requests that are delivered after their callers gave up.
func TestExpiredRequestsAreNotDelivered(t *testing.T) {
	is := is.New(t)
	l := newLoad(t, time.Hour)
	for port := 1; port <= 6; port++ {
		l.arrive(port, feeds)
	}
	is.Equal(l.gate.Waiting(), 3) // 2 slots and one request on the way
	is.Equal(len(l.gate.Release(start.Add(1600*time.Millisecond))), 0)
	is.Equal(l.gate.Waiting(), 0)
}

// Guards against a queue without a bound: what comes beyond it is left to the
// backend server, which refuses it truthfully.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	l := newLoad(t, time.Hour)
	for port := 1; port <= 60; port++ {
		l.arrive(port, feeds)
		l.gate.Release(l.now)
	}
	is.Equal(l.gate.Waiting(), waitPerSlot*2)
}

// Guards against a copy of a waiting request that is delivered twice, and
// against the rest of a long request that overtakes its beginning.
func TestPacketsOfAWaitingRequest(t *testing.T) {
	is := is.New(t)
	l := newLoad(t, time.Hour)
	for port := 1; port <= 3; port++ {
		l.arrive(port, feeds)
	}
	established(l.gate, l.now, 9, orders)
	first, second := data(9, orders, 101, 1200), data(9, orders, 1301, 300)
	is.Equal(l.gate.FromPeer(l.now, forward(self), first).Verdict, Hold)
	is.Equal(l.gate.FromPeer(l.now, forward(self), second).Verdict, Hold)
	is.Equal(l.gate.FromPeer(l.now, forward(self), first).Verdict, Hold) // a copy
	is.Equal(l.gate.Waiting(), 1)
	l.gate.FromBackend(l.now, answers(1, feeds, flow.Ack, 100))
	is.Equal(len(l.gate.Release(l.now)), 2)
	is.Equal(l.gate.InProgress(), 3)
}

// Guards against slots that stay taken by a caller that reset its flow.
func TestResetFreesItsPlace(t *testing.T) {
	is := is.New(t)
	l := newLoad(t, time.Hour)
	for port := 1; port <= 4; port++ {
		l.arrive(port, feeds)
	}
	is.Equal(l.gate.Waiting(), 1)
	reset := data(4, feeds, 111, 0)
	reset.Flags = flow.Reset
	l.gate.FromPeer(l.now, forward(self), reset)
	is.Equal(l.gate.Waiting(), 0)
	reset.From = caller(1)
	l.gate.FromPeer(l.now, forward(self), reset)
	is.Equal(l.gate.InProgress(), 2)
}

// The load pattern: a backlog, then as many fresh requests as the slots bear.
// Guards against a backlog that is held until its callers give up.
func TestBacklogUnderFullLoad(t *testing.T) {
	is := is.New(t)
	l := newBacklog(t)
	l.trickle(101, 1500, 25)
	is.Equal(l.inTime(1, backlog, 1500*time.Millisecond), backlog)
}

// The load pattern: twice the requests that a slow, cold server bears. Guards
// against a queue in which each request just misses its objective.
func TestOverloadKeepsSomeRequestsInTime(t *testing.T) {
	is := is.New(t)
	const work, span = 120 * time.Millisecond, 900
	l := newLoad(t, work)
	next := l.trickle(1, span, 30)
	borne := serverSlots * span * time.Millisecond / work
	is.True(l.inTime(1, next-1, 250*time.Millisecond) >= int(borne)*8/10)
}

// The load pattern: callers whose openings were lost in an outage, and fresh
// ones. Guards against a request that is late already and goes before one that
// can still be in time.
func TestAgeCountsFromTheFirstOpening(t *testing.T) {
	is := is.New(t)
	l := newLoad(t, time.Hour)
	for port := 1; port <= 3; port++ {
		l.arrive(port, feeds)
	}
	p := opens(10)
	p.To, p.Age = feeds, 600*time.Millisecond
	for _, port := range []int{11, 10} {
		p.From = caller(port)
		l.gate.FromPeer(l.now, forward(self), p)
		l.gate.FromBackend(l.now, answers(port, feeds, flow.Open|flow.Ack, 0))
		l.gate.FromPeer(l.now, forward(self), data(port, feeds, 101, 0))
		is.Equal(l.gate.FromPeer(l.now, forward(self), data(port, feeds, 101, 10)).Verdict, Hold)
		p.Age = 0
		l.now = l.now.Add(-time.Millisecond) // the fresh one isn't first by its arrival
	}
	l.gate.FromBackend(l.now, answers(1, feeds, flow.Ack, 100))
	released := l.gate.Release(l.now)
	is.Equal(len(released), 1)
	is.Equal(released[0].Key.Caller.Port(), uint16(10))
}
