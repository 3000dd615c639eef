package metrics

// FlowBalancer holds the metrics of a balancer of packet flows. See the names
// for their units.
type FlowBalancer struct {
	Openings, Packets, Searches Counter
	Resets, Drops               *KindCounter // packet kinds
	Holders, ViewAge, Version   Gauge
}

// NewFlowBalancer registers the metrics of a balancer of packet flows.
func NewFlowBalancer(r *Registry) *FlowBalancer {
	return &FlowBalancer{
		Openings: r.counter(FlowBalancerOpenings),
		Packets:  r.counter(FlowBalancerPackets),
		Searches: r.counter(FlowBalancerSearches),
		Resets:   r.kinds(FlowBalancerResets, firstPacketKind, lastPacketKind),
		Drops:    r.kinds(FlowBalancerDrops, firstPacketKind, lastPacketKind),
		Holders:  r.gauge(FlowBalancerHolders),
		ViewAge:  r.gauge(FlowBalancerViewAge),
		Version:  r.gauge(FlowBalancerVersion),
	}
}

// FlowAgent holds the metrics of an agent of packet flows. See the names for
// their units.
type FlowAgent struct {
	Openings, Bounced, Resets  Counter
	PassedOn                   *KindCounter // request and packet kinds
	Drops                      *KindCounter // packet kinds
	Flows, InProgress, Waiting Gauge
	OpenTime, AnswerTime       Histogram
	ReportAge, ViewAge         Gauge
}

// NewFlowAgent registers the metrics of an agent of packet flows.
func NewFlowAgent(r *Registry) *FlowAgent {
	return &FlowAgent{
		Openings:   r.counter(FlowAgentOpenings),
		Bounced:    r.counter(FlowAgentBounced),
		Resets:     r.counter(FlowAgentResets),
		PassedOn:   r.kinds(FlowAgentPassedOn, firstRequestKind, lastPacketKind),
		Drops:      r.kinds(FlowAgentDrops, firstPacketKind, lastPacketKind),
		Flows:      r.gauge(FlowAgentFlows),
		InProgress: r.gauge(FlowAgentInProgress),
		Waiting:    r.gauge(FlowAgentWaiting),
		OpenTime:   r.histogram(FlowAgentOpenTime),
		AnswerTime: r.histogram(FlowAgentAnswerTime),
		ReportAge:  r.gauge(FlowAgentReportAge),
		ViewAge:    r.gauge(FlowAgentViewAge),
	}
}
