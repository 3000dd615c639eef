package metrics

import "github.com/knapweedpier/knapweedpier/internal/base/errkind"

// Inclusive ranges of error kinds, as package errkind groups them.
const (
	firstRequestKind, lastRequestKind errkind.Kind = 101, 199
	firstPacketKind, lastPacketKind   errkind.Kind = 201, 299
	firstControlKind, lastControlKind errkind.Kind = 301, 399
)

// Balancer holds the metrics of a balancer. Their Name constants give the units.
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
		Forward:     r.registerCounter(BalancerForwardPackets),
		Return:      r.registerCounter(BalancerReturnPackets),
		Openings:    r.registerCounter(BalancerOpenings),
		Unsteerable: r.registerCounter(BalancerUnsteerable),
		Drops:       r.registerKindCounter(BalancerDrops, firstPacketKind, lastPacketKind),
		Agents:      r.registerGauge(BalancerAgents),
	}
}

// Drop counts a dropped packet by its error kind. A packet whose connection ID
// fails MAC verification also counts as unsteerable.
func (b *Balancer) Drop(kind errkind.Kind) {
	b.Drops.Inc(kind)
	if kind == errkind.PacketUnsteerable {
		b.Unsteerable.Inc(1)
	}
}

// Agent holds the metrics of an agent. Their Name constants give the units.
type Agent struct {
	Requests            *OutcomeCounter
	Refusals            *KindCounter // request kinds
	RelaysOut, RelaysIn Counter
	Retries             Counter
	Feeds, Flows        Counter // currently open: incremented on open, decremented on close
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
		Requests:     r.registerOutcomeCounter(AgentRequests),
		Refusals:     r.registerKindCounter(AgentRefusals, firstRequestKind, lastRequestKind),
		RelaysOut:    r.registerCounter(AgentRelaysOut),
		RelaysIn:     r.registerCounter(AgentRelaysIn),
		Retries:      r.registerCounter(AgentRetries),
		Feeds:        r.registerCounter(AgentFeeds),
		Flows:        r.registerCounter(AgentFlows),
		FlowsBroken:  r.registerCounter(AgentFlowsBroken),
		PassedOn:     r.registerCounter(AgentPassedOn),
		Drops:        r.registerKindCounter(AgentDrops, firstPacketKind, lastPacketKind),
		Latency:      r.registerHistogram(AgentLatency),
		Limit:        r.registerGauge(AgentLimit),
		InProgress:   r.registerGauge(AgentInProgress),
		Incarnations: r.registerCounter(AgentIncarnations),
		BackendConns: r.registerGauge(AgentBackendConns),
	}
}

// Control holds the metrics of the control path. Their Name constants give the
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
		Pulls:            r.registerCounter(ControlPulls),
		PullsServed:      r.registerCounter(ControlPullsServed),
		PullFailures:     r.registerKindCounter(ControlPullFailures, firstControlKind, lastControlKind),
		BytesIn:          r.registerCounter(ControlBytesIn),
		BytesOut:         r.registerCounter(ControlBytesOut),
		Malformed:        r.registerCounter(ControlMalformed),
		Unauthorized:     r.registerCounter(ControlUnauthorized),
		PlatformCalls:    r.registerCounter(ControlPlatformCalls),
		PlatformFailures: r.registerKindCounter(ControlPlatformFailures, firstControlKind, lastControlKind),
		Generation:       r.registerGauge(ControlGeneration),
		Members:          r.registerGauge(ControlMembers),
		Suspects:         r.registerGauge(ControlSuspects),
		ClockOffset:      r.registerGauge(ControlClockOffset),
	}
}
