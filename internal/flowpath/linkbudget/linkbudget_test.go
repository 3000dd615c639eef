package linkbudget

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// Guards against rejections by a balancer whose link is wide or of unknown rate.
func TestInactiveWithoutNarrowLink(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(1), narrowBelow, 1e9} {
		m := newModel(rate, narrowRate)
		burst := uploads(150)
		m.play(2*time.Second, burst, requests(100))
		is.True(!m.budget.Enabled())
		is.Equal(burst.refused, 0)
		is.Equal(len(m.budget.flows)+len(m.budget.routes), 0)
		is.True(m.budget.Snapshot().Received.Bytes > 0)
	}
}

// Guards against rejections of what the link carries because its configured rate is too small,
// and against a log line for each second.
func TestRateThatIsTenTimesTooSmall(t *testing.T) {
	is := is.New(t)
	m := newModel(narrowRate/10, narrowRate)
	up, small := uploads(16), requests(100) // 93% of the link with the next
	other := uploads(10)
	m.play(3*time.Second, up, other, small)
	is.True(up.refused+other.refused <= 8) // of 78, before a second is over
	is.True(m.budget.Rate() > 0.6*narrowRate)
	is.True(m.budget.Rate() <= maxRateExcess*narrowRate)
	up.refused = 0
	other.refused = 0
	m.play(10*time.Second, up, other, small)
	is.Equal(up.refused+other.refused+small.refused, 0)
}

// Guards against a rate that is raised without a log line, or logged again without a new rise.
func TestRiseIsReportedOnce(t *testing.T) {
	is := is.New(t)
	b := New(Options{BytesPerSecond: 1000})
	rises := 0
	for i := range 3000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		b.Received(now, flow.Packet{}, 2-hop.DatagramOverhead)
		if b.Tick(now) {
			rises++
		}
	}
	is.Equal(rises, 1)
	is.Equal(math.Round(b.Rate()), 2400.0)
}

// Guards against a rate that is raised by what lay unread during a stall of the balancer.
func TestStallRaisesNoRate(t *testing.T) {
	is := is.New(t)
	b := New(Options{BytesPerSecond: 1000})
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		bytes := 1
		if i >= 2000 && i < 2500 {
			continue
		}
		if i >= 2500 && i < 2900 {
			bytes = 3
		}
		b.Received(now, flow.Packet{}, bytes-hop.DatagramOverhead)
		is.True(!b.Tick(now))
	}
	is.Equal(b.Rate(), 1000.0)
}

// Guards against a refusal of an opening that lay unread, and of which another balancer may
// have a copy.
func TestOpeningsAfterStallAreAdmitted(t *testing.T) {
	is := is.New(t)
	m := newModel(narrowRate, narrowRate)
	burst, small := uploads(150), requests(100)
	m.play(3*time.Second, burst, small)
	refused := burst.refused
	m.noTicks = true
	m.play(100*time.Millisecond, burst, small)
	is.True(burst.refused > refused)
	refused = burst.refused
	m.play(100*time.Millisecond, burst, small)
	is.Equal(burst.refused, refused)
	m.noTicks = false
	m.play(200*time.Millisecond, burst, small)
	is.Equal(burst.refused, refused)
	m.play(500*time.Millisecond, burst, small)
	is.True(burst.refused > refused)
}

// Guards against a refused flow that a copy of its opening opens, against a flow that is
// refused by a copy, and against a caller's port that is locked out.
func TestCopiesOfRefusedOpening(t *testing.T) {
	is := is.New(t)
	m := newModel(narrowRate, narrowRate)
	burst := uploads(150)
	m.play(2*time.Second, burst, requests(100))
	is.True(burst.refused > 0)
	for key := range m.budget.flows {
		admitted, _ := m.budget.AdmitOpening(m.now, key, burst.route)
		is.True(admitted) // a duplicate of an opening that was admitted
		is.True(!m.budget.WasRefused(m.now, key))
	}
	for key, refusedAt := range m.budget.refused {
		is.True(m.budget.WasRefused(refusedAt.Add(1400*time.Millisecond), key))
		is.True(!m.budget.WasRefused(refusedAt.Add(1500*time.Millisecond), key))
	}
}

// Guards against state that grows with the number of flows, routes or refusals.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	b := New(Options{BytesPerSecond: narrowRate})
	for i := range 3 * maxFlows {
		key := flow.Key{Caller: addressOf(i), Service: route(uint16(i), 1).Address}
		admitted, _ := b.AdmitOpening(start, key, route(uint16(i), 1))
		is.True(admitted)
	}
	is.Equal(b.order.Len(), len(b.flows))
	is.True(len(b.flows) <= maxFlows)
	is.Equal(len(b.routes), maxRoutes)
	b.Tick(start.Add(trackTime))
	is.Equal(len(b.flows), 0)
	is.Equal(b.outstanding, 0.0)
	b.Tick(start.Add(10 * time.Minute))
	is.Equal(len(b.routes), 0)
}

// Guards against a rate of a wide link that is measured with each packet, and raised with a
// log line.
func TestRateOfWideLinkIsNotMeasured(t *testing.T) {
	is := is.New(t)
	b := New(Options{BytesPerSecond: narrowBelow})
	for i := range 3000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		b.Received(now, flow.Packet{}, 2*narrowBelow/1000)
		is.True(!b.Tick(now))
	}
	is.Equal(b.Rate(), narrowBelow)
}

// BenchmarkRefresh measures what each Tick costs with as many flows and refusals as there may
// be.
func BenchmarkRefresh(b *testing.B) {
	budget := New(Options{BytesPerSecond: narrowRate})
	for i := range maxFlows {
		budget.AdmitOpening(start, flow.Key{Caller: addressOf(i), Service: route(1, 1).Address}, route(1, 1))
		budget.refused[flow.Key{Caller: addressOf(i), Service: route(2, 1).Address}] = start
	}
	for b.Loop() {
		budget.refresh(start.Add(time.Millisecond))
	}
}
