package metrics

import "github.com/knapweedpier/knapweedpier/internal/base/errkind"

// Ranges of error kinds, as the list of kinds divides them.
const (
	firstRequestKind, lastRequestKind errkind.Kind = 101, 199
	firstPacketKind, lastPacketKind   errkind.Kind = 201, 299
	firstControlKind, lastControlKind errkind.Kind = 301, 399
)

// Balancer holds the metrics of a balancer. See the names for their units.
type Balancer struct {
	Forward, Return Counter
	Openings        Counter
	Unsteerable     Counter
	Drops           *KindCounter // packet kinds
	Agents          Gauge
}

// NewBalancer registers the metrics of a balancer.
func NewBalancer(r *Registry) *Balancer {
	return &Balancer{
		Forward:     r.counter(BalancerForwardPackets),
		Return:      r.counter(BalancerReturnPackets),
		Openings:    r.counter(BalancerOpenings),
		Unsteerable: r.counter(BalancerUnsteerable),
		Drops:       r.kinds(BalancerDrops, firstPacketKind, lastPacketKind),
		Agents:      r.gauge(BalancerAgents),
	}
}

// Drop counts a dropped packet.
func (b *Balancer) Drop(kind errkind.Kind) {
	b.Drops.Inc(kind)
	if kind == errkind.PacketUnsteerable {
		b.Unsteerable.Inc(1)
	}
}

// Agent holds the metrics of an agent. See the names for their units.
type Agent struct {
	Requests            *OutcomeCounter
	Refusals            *KindCounter // request kinds
	RelaysOut, RelaysIn Counter
	Retries             Counter
	Feeds, Flows        Counter // open now: incremented and decremented
	FlowsBroken         Counter
	PassedOn            Counter
	Drops               *KindCounter // packet kinds
	Latency             Histogram
	Limit, InProgress   Gauge
	Incarnations        Counter
	BackendConns        Gauge
}

// NewAgent registers the metrics of an agent.
func NewAgent(r *Registry) *Agent {
	return &Agent{
		Requests:     r.outcomes(AgentRequests),
		Refusals:     r.kinds(AgentRefusals, firstRequestKind, lastRequestKind),
		RelaysOut:    r.counter(AgentRelaysOut),
		RelaysIn:     r.counter(AgentRelaysIn),
		Retries:      r.counter(AgentRetries),
		Feeds:        r.counter(AgentFeeds),
		Flows:        r.counter(AgentFlows),
		FlowsBroken:  r.counter(AgentFlowsBroken),
		PassedOn:     r.counter(AgentPassedOn),
		Drops:        r.kinds(AgentDrops, firstPacketKind, lastPacketKind),
		Latency:      r.histogram(AgentLatency),
		Limit:        r.gauge(AgentLimit),
		InProgress:   r.gauge(AgentInProgress),
		Incarnations: r.counter(AgentIncarnations),
		BackendConns: r.gauge(AgentBackendConns),
	}
}

// Control holds the metrics of the control path. See the names for their
// units.
type Control struct {
	Pulls, PullsServed Counter
	PullFailures       *KindCounter // control kinds
	BytesIn, BytesOut  Counter
	Malformed          Counter
	Unauthorized       Counter
	PlatformCalls      Counter
	PlatformFailures   *KindCounter // control kinds
	Generation         Gauge
	Members, Suspects  Gauge
	ClockOffset        Gauge
}

// NewControl registers the metrics of the control path.
func NewControl(r *Registry) *Control {
	return &Control{
		Pulls:            r.counter(ControlPulls),
		PullsServed:      r.counter(ControlPullsServed),
		PullFailures:     r.kinds(ControlPullFailures, firstControlKind, lastControlKind),
		BytesIn:          r.counter(ControlBytesIn),
		BytesOut:         r.counter(ControlBytesOut),
		Malformed:        r.counter(ControlMalformed),
		Unauthorized:     r.counter(ControlUnauthorized),
		PlatformCalls:    r.counter(ControlPlatformCalls),
		PlatformFailures: r.kinds(ControlPlatformFailures, firstControlKind, lastControlKind),
		Generation:       r.gauge(ControlGeneration),
		Members:          r.gauge(ControlMembers),
		Suspects:         r.gauge(ControlSuspects),
		ClockOffset:      r.gauge(ControlClockOffset),
	}
}
