package flowsteer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

// Guards against FLOW, second half: four of forty agents learn, as after a kill. A flow
// pauses for 2 s; then its agent is away for a short time, as in a planned restart that hands
// over, while the caller sends the next request through balancers that don't know the flow.
func TestPacketIsOfferedToFewWhileItsAgentIsAway(t *testing.T) {
	const flows, learners, pauseSteps = 50, 4, 20
	for _, away := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		broken := 0
		for number := range flows {
			p := newPath(t, 6, 40, 1000)
			packet := opening(number)
			p.send(0, packet)
			key := packet.CallerKey()
			holder := p.holder(key)
			data := flow.Packet{From: packet.From, To: packet.To, Flags: flow.Ack, Seq: 1, Ack: holder.firstSeq + 1, Length: pathDataLength}
			p.send(0, data)
			p.startLearners(holder, learners)
			for range pauseSteps {
				p.passStep()
			}
			data.Seq += pathDataLength
			if strays := p.playWhileAway(holder, data, away); strays >= 3 {
				broken++
			}
		}
		if broken > 0 {
			t.Errorf("agent away for %v: three or more packets of %d of %d flows reached other backend servers before one reached its own", away, broken, flows)
		}
	}
}

// startLearners restarts some agents other than holder without a handover.
func (p *path) startLearners(holder *pathAgent, count int) {
	for _, a := range p.list {
		if a != holder && count > 0 {
			p.startAgent(a, true)
			count--
		}
	}
}

// playWhileAway sends a request and its retransmissions, each through another balancer,
// while the agent of its flow gets no messages for a time, until the flow's backend server
// has the request or 2 s have passed. It returns the number of packets of the flow that
// other backend servers got.
func (p *path) playWhileAway(holder *pathAgent, data flow.Packet, away time.Duration) int {
	key := data.CallerKey()
	delete(p.delivered, key)
	p.away = holder.address
	began, next, interval, balancer := p.now, p.now, 200*time.Millisecond, 1
	for p.delivered[key] == nil && p.now.Sub(began) < 2*time.Second {
		if p.now.Sub(began) >= away {
			p.away = netip.AddrPort{}
		}
		if !p.now.Before(next) {
			next, interval = p.now.Add(interval), 2*interval
			p.send(balancer%len(p.balancers), data)
			balancer++
		}
		p.passStep()
	}
	strays := 0
	for _, a := range p.list {
		strays += a.returned[key]
	}
	return strays
}
