package linkbudget

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	narrowRate  = 10e6 / 8
	packetBytes = 1236
	step        = time.Millisecond
)

var start = time.Unix(1_790_000_000, 0)

// load is a stream of flows of one route, each of which uploads some bytes.
type load struct {
	route    view.Route
	bytes    int
	spread   int // the uploads vary evenly by as many bytes up and down
	interval time.Duration
	keepOpen bool // callers don't close their flows after the upload

	nextAt                        time.Time
	opened, refused, late, onTime int
	refusals                      [Reasons]int
}

type upload struct {
	load     *load
	key      flow.Key
	left     int
	waitsTo  time.Time // for a retransmission
	openedAt time.Time
}

// model is a link that callers share evenly, each with at most one packet a step.
type model struct {
	budget  *Budget
	rate    float64
	now     time.Time
	flows   int
	active  []*upload
	credit  float64
	noTicks bool
}

func newModel(configured, real float64) *model {
	return &model{budget: New(Options{BytesPerSecond: configured}), rate: real, now: start}
}

// addressOf returns the address of the caller of a flow.
func addressOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 24), byte(n >> 16)}), uint16(n))
}

// route returns a route with an objective of 600 ms.
func route(port uint16, priority int) view.Route {
	address := netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), port)
	return view.Route{Address: address, Priority: priority, Objective: 600 * time.Millisecond, Timeout: 2 * time.Second}
}

// play runs loads for a time.
func (m *model) play(d time.Duration, loads ...*load) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(step) {
		if !m.noTicks && m.now.Sub(start)%(20*time.Millisecond) == 0 {
			m.budget.Tick(m.now)
		}
		for _, l := range loads {
			if l.nextAt.IsZero() {
				l.nextAt = m.now
			}
			for ; !l.nextAt.After(m.now); l.nextAt = l.nextAt.Add(l.interval) {
				m.open(l)
			}
		}
		m.credit = min(m.credit+m.rate*step.Seconds(), m.rate/50)
		waiting := m.active
		m.active = nil
		for i, u := range waiting {
			if m.credit <= 0 {
				m.active = append(m.active, waiting[i:]...)
				break
			}
			if u.waitsTo.After(m.now) {
				m.active = append(m.active, u)
				continue
			}
			m.send(u)
		}
	}
}

func (m *model) open(l *load) {
	m.flows++
	p := flow.Packet{From: addressOf(m.flows), To: l.route.Address, Flags: flow.Open}
	m.budget.Received(m.now, p, 36)
	l.opened++
	if admitted, reason := m.budget.AdmitOpening(m.now, p.CallerKey(), l.route); !admitted {
		l.refused++
		l.refusals[reason]++
		return
	}
	size := l.bytes
	if l.spread > 0 {
		size += (l.opened*7919)%(2*l.spread) - l.spread
	}
	m.active = append(m.active, &upload{load: l, key: p.CallerKey(), left: size, openedAt: m.now})
}

func (m *model) send(u *upload) {
	p := flow.Packet{From: u.key.Caller, To: u.key.Service, Flags: flow.Ack, Seq: uint32(-u.left), Length: min(u.left, packetBytes-36)}
	m.credit -= float64(p.Length + 36 + hop.DatagramOverhead)
	if m.budget.ShedPacket(m.now, p, p.Length+36) {
		u.waitsTo = m.now.Add(200 * time.Millisecond)
		m.active = append(m.active, u)
		return
	}
	m.budget.Sent(m.now, Forward, p.Length+36+26, false)
	u.left -= p.Length
	if u.left > 0 {
		m.budget.Received(m.now, p, p.Length+36)
		m.active = append(m.active, u)
		return
	}
	if !u.load.keepOpen {
		p.Flags |= flow.Close
	}
	m.budget.Received(m.now, p, p.Length+36)
	if m.now.Sub(u.openedAt) > u.load.route.Objective {
		u.load.late++
	} else {
		u.load.onTime++
	}
}

func uploads(perSecond int) *load {
	return &load{route: route(1, 1), bytes: 40_000, interval: time.Second / time.Duration(perSecond)}
}

func requests(perSecond int) *load {
	return &load{route: route(2, 1), bytes: 600, interval: time.Second / time.Duration(perSecond)}
}

// Guards against rejections on a link that carries its load.
func TestSteadyLoadBelowTheLink(t *testing.T) {
	is := is.New(t)
	m := newModel(narrowRate, narrowRate)
	up, small := uploads(20), requests(100) // 70% of the link
	up.spread = 20_000
	m.play(20*time.Second, up, small)
	is.Equal(up.refused+small.refused, 0)
	is.Equal(up.late+small.late, 0)
}

// Guards against rejections because of callers that keep their flows open after an upload that
// was smaller than the mean: nothing more is to come of them.
func TestSteadyLoadOfFlowsThatStayOpen(t *testing.T) {
	is := is.New(t)
	m := newModel(narrowRate, narrowRate)
	up, small := uploads(20), requests(100)
	up.spread, up.keepOpen, small.keepOpen = 20_000, true, true
	m.play(20*time.Second, up, small)
	is.Equal(up.refused+small.refused, 0)
}

// Guards against a burst that is admitted until the link is saturated, and against one that
// delays the small requests beside it.
func TestBurstOfUploads(t *testing.T) {
	is := is.New(t)
	m := newModel(narrowRate, narrowRate)
	small := requests(100)
	m.play(3*time.Second, uploads(5), small)
	burst := uploads(150) // 5 times the link
	m.play(5*time.Second, burst, small)
	is.Equal(small.refused, 0)
	is.True(burst.refused > burst.opened/2)
	is.True(burst.onTime > 5*25) // of 31 a second that the link carries
	is.True(burst.late < burst.onTime/20)
	is.Equal(burst.refusals[TimeoutUnreachable], 0)
	is.Equal(small.late, 0)
}

// Guards against a kind of flow that is locked out because a single one exceeds the allowance.
func TestOneHeavyFlowLargerThanTheAllowance(t *testing.T) {
	is := is.New(t)
	m := newModel(narrowRate, narrowRate)
	huge := &load{route: route(1, 1), bytes: 5_000_000, interval: 6 * time.Second} // 4 s of the link
	small := requests(100)
	small.bytes = 3000 // a request is in progress when the heavy flow opens
	m.play(31*time.Second, small, huge)
	is.Equal(huge.opened, 6)
	is.Equal(huge.refused, 0)
}

// Guards against a heavy route that gets as much of a full link as one of a higher priority.
func TestTwoHeavyRoutesOfDifferentPriority(t *testing.T) {
	is := is.New(t)
	m := newModel(narrowRate, narrowRate)
	high, low := uploads(60), uploads(60)
	high.route, low.route = route(1, 0), route(3, 2)
	m.play(10*time.Second, low, high, requests(300)) // low opens first each time
	is.True(high.onTime > 2*low.onTime)
	is.True(low.onTime > 0)
}

// Guards against a route that counts as light for long after its uploads have grown.
func TestRouteThatGrows(t *testing.T) {
	is := is.New(t)
	m := newModel(narrowRate, narrowRate)
	small, growing := requests(100), uploads(500)
	growing.bytes = 300
	m.play(10*time.Second, growing, small)
	growing.bytes, growing.interval = 40_000, time.Second/100
	m.play(2*time.Second, growing, small)
	before := growing.refused
	is.True(before > 50)
	m.play(3*time.Second, growing, small)
	is.True(growing.refused-before > 100)
	is.Equal(small.refused, 0)
}

// Guards against rejections that go on after the burst has ended.
func TestReturnFromTheBurst(t *testing.T) {
	for _, length := range []time.Duration{time.Second, 20 * time.Second} {
		is := is.New(t)
		m := newModel(narrowRate, narrowRate)
		m.play(2*time.Second, uploads(5), requests(100))
		m.play(length, uploads(150), requests(100))
		m.play(time.Second, uploads(5), requests(100))
		after, small := uploads(20), requests(100)
		m.play(5*time.Second, after, small)
		is.Equal(after.refused+small.refused, 0)
		is.Equal(after.late+small.late, 0)
	}
}

// Guards against rejections by a balancer that has just started and knows nothing, and against
// one that learns only when the first flows have ended.
func TestRestartWithoutKnownWork(t *testing.T) {
	is := is.New(t)
	m := newModel(narrowRate, narrowRate)
	m.play(time.Second, uploads(150), requests(100))
	m.budget = m.budget.Fresh()
	up, small := uploads(150), requests(100)
	m.play(20*time.Millisecond, up, small)
	is.Equal(up.refused, 0)
	m.play(2*time.Second, up, small)
	is.True(up.refused > up.opened/3)
	is.Equal(small.refused, 0)

	m = newModel(narrowRate, narrowRate)
	long, small := uploads(20), requests(100)
	long.bytes = 4_000_000 // none ends within 2 s
	m.play(2*time.Second, long, small)
	is.Equal(long.onTime+long.late, 0)
	is.True(long.refused > long.opened/3)
}

// Guards against heavy flows that are admitted up to the timeout because their route's objective
// is above it, and against flows of a route without a timeout that are all refused, or never.
func TestContradictoryLimits(t *testing.T) {
	const noTimeout = 0
	for _, c := range []struct {
		name               string
		objective, timeout time.Duration
		delay              time.Duration
		heavy, refused     bool
	}{
		{"within half of the timeout", time.Second, 100 * time.Millisecond, 40 * time.Millisecond, true, false},
		{"beyond half of the timeout", time.Second, 100 * time.Millisecond, 60 * time.Millisecond, true, true},
		{"heavy without a timeout", 600 * time.Millisecond, noTimeout, 140 * time.Millisecond, true, false},
		{"heavy without a timeout, beyond the allowance", 600 * time.Millisecond, noTimeout, 160 * time.Millisecond, true, true},
		{"light without a timeout", 600 * time.Millisecond, noTimeout, view.DefaultTimeout - 100*time.Millisecond, false, false},
		{"light without a timeout, beyond the default", 600 * time.Millisecond, noTimeout, view.DefaultTimeout + 100*time.Millisecond, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := New(Options{BytesPerSecond: narrowRate})
			limited := route(1, 1)
			limited.Objective, limited.Timeout = c.objective, c.timeout
			r := newRouteWork(start)
			r.mean, r.heavy = 1, c.heavy
			b.routes[limited.Address] = r
			b.outstanding = narrowRate * c.delay.Seconds()
			if c.heavy {
				r.outstanding = b.outstanding
			}
			_, refused := b.refusalReason(start, r, limited)
			is.Equal(refused, c.refused)
		})
	}
}
