package linkbudget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

// Guards against paused flows on a link that callers saturate and the balancer doesn't: each
// pause takes a caller's retransmission of 200 ms or more.
func TestLinkSaturatedByCallersShedsNothing(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{0.25e6, narrowRate, 6.25e6} {
		m := newModel(rate, rate)
		small := requests(100)
		m.play(2*time.Second, uploads(5), small)
		m.play(5*time.Second, uploads(int(150*rate/narrowRate)), small)
		is.Equal(m.budget.Snapshot().Shed.Messages, int64(0))
	}
}

// Guards against a lost packet of each flow where one flow could wait, against paused small
// requests, and against flows that stay paused when the link has room again.
func TestLookupsBeyondTheLinkPauseNewestHeavyFlows(t *testing.T) {
	is := is.New(t)
	b := New(Options{BytesPerSecond: narrowRate})
	const flows = 10
	var heavy []flow.Packet
	for i := range flows {
		now := start.Add(time.Duration(i) * time.Millisecond)
		heavy = append(heavy, flow.Packet{From: addressOf(i), To: route(1, 1).Address, Flags: flow.Ack, Length: 1200})
		admitted, _ := b.AdmitOpening(now, heavy[i].CallerKey(), route(1, 1))
		is.True(admitted)
		b.Received(now, heavy[i], packetBytes)
	}
	small := flow.Packet{From: addressOf(flows), To: route(2, 1).Address, Flags: flow.Ack, Length: 100}
	admitted, _ := b.AdmitOpening(start, small.CallerKey(), route(2, 1))
	is.True(admitted)
	b.Received(start, small, 136)

	play := func(from time.Time, lookups int) (shed [flows]int) {
		for i := range 500 {
			now := from.Add(time.Duration(i) * time.Millisecond)
			if i%20 == 0 {
				b.Tick(now)
			}
			b.Sent(now, Lookup, lookups, false)
			is.True(!b.ShedPacket(now, small, 136))
			if b.ShedPacket(now, heavy[i%flows], packetBytes) {
				shed[i%flows]++
			}
		}
		return shed
	}
	shed := play(start.Add(20*time.Millisecond), 2*narrowRate/1000)
	is.Equal(shed[0], 0)
	for i := 1; i < flows; i++ {
		is.True(shed[i] >= shed[i-1])
	}
	is.True(shed[flows-1] > 40) // of 50
	shed = play(start.Add(520*time.Millisecond), 0)
	is.True(shed[1] < 15)
	is.True(b.shedder.pausedFrom.IsZero())
	is.Equal(b.Snapshot().Sent[Lookup][0].Messages, int64(1000))
}

// fullOfSmallFlows returns a budget that sends more than its link carries, with one heavy flow
// and as many small ones as are tracked, and a packet of the heavy flow.
func fullOfSmallFlows() (*Budget, flow.Packet) {
	b := New(Options{BytesPerSecond: narrowRate})
	heavy := flow.Packet{From: addressOf(0), To: route(1, 1).Address, Flags: flow.Ack, Length: 1200}
	b.AdmitOpening(start, heavy.CallerKey(), route(1, 1))
	b.Received(start, heavy, packetBytes)
	for i := 1; i < maxFlows; i++ {
		p := flow.Packet{From: addressOf(i), To: route(2, 1).Address, Flags: flow.Ack, Length: 1}
		b.AdmitOpening(start, p.CallerKey(), route(2, 1))
		b.Received(start, p, 37)
	}
	b.Tick(start)
	b.Sent(start.Add(pauseInterval), Lookup, narrowRate, false)
	return b, heavy
}

// Guards against a scan of all flows for each packet while the link is full and there is no
// flow to pause.
func TestPausedFlowsAreAdjustedOnceInAnInterval(t *testing.T) {
	is := is.New(t)
	b, heavy := fullOfSmallFlows()
	now := start.Add(pauseInterval)
	is.True(!b.ShedPacket(now, heavy, packetBytes)) // the only heavy flow
	is.True(b.shedder.level < 0)
	is.Equal(b.shedder.adjustedAt, now)
}

// BenchmarkShedPacket measures what a packet of a heavy flow costs while the link is full.
func BenchmarkShedPacket(b *testing.B) {
	budget, heavy := fullOfSmallFlows()
	for b.Loop() {
		budget.ShedPacket(start.Add(pauseInterval), heavy, packetBytes)
	}
}
