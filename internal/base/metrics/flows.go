package metrics

// FlowBalancer holds the metrics of a balancer of packet flows. Their Name
// constants give the units.
type FlowBalancer struct {
	Openings, Packets, Searches Counter
	Panics                      Counter
	Resets, Drops               *KindCounter // packet kinds
	Holders, ViewAge, Version   Gauge
	StoreEra                    Gauge
	Link                        *Link
}

// Link holds the metrics of the link of a balancer.
type Link struct {
	ReceivedMessages, ReceivedBytes Gauge
	SentMessages, SentBytes         *GaugeFamily // of LinkKinds
	RepeatedMessages, RepeatedBytes *GaugeFamily // of LinkKinds
	Rejected                        *GaugeFamily // of LinkReasons
	ShedMessages, RetryBudget, Rate Gauge
}

// Labels of the metrics of a link, as package linkbudget names them.
var (
	LinkKinds   = []string{"forward", "opening", "lookup", "offer", "control"}
	LinkReasons = []string{"work-exceeds-allowance", "timeout-unreachable"}
)

func newLink(r *Registry) *Link {
	return &Link{
		ReceivedMessages: r.registerGauge(FlowBalancerReceivedMessages),
		ReceivedBytes:    r.registerGauge(FlowBalancerReceivedBytes),
		SentMessages:     r.registerGaugeFamily(FlowBalancerSentMessages, "kind", LinkKinds),
		SentBytes:        r.registerGaugeFamily(FlowBalancerSentBytes, "kind", LinkKinds),
		RepeatedMessages: r.registerGaugeFamily(FlowBalancerRepeatedMessages, "kind", LinkKinds),
		RepeatedBytes:    r.registerGaugeFamily(FlowBalancerRepeatedBytes, "kind", LinkKinds),
		Rejected:         r.registerGaugeFamily(FlowBalancerRejected, "reason", LinkReasons),
		ShedMessages:     r.registerGauge(FlowBalancerShedMessages),
		RetryBudget:      r.registerGauge(FlowBalancerRetryBudget),
		Rate:             r.registerGauge(FlowBalancerLinkRate),
	}
}

// NewFlowBalancer registers the metrics of a balancer of packet flows.
func NewFlowBalancer(r *Registry) *FlowBalancer {
	return &FlowBalancer{
		Openings: r.registerCounter(FlowBalancerOpenings),
		Packets:  r.registerCounter(FlowBalancerPackets),
		Searches: r.registerCounter(FlowBalancerSearches),
		Panics:   r.registerCounter(FlowBalancerPanics),
		Resets:   r.registerKindCounter(FlowBalancerResets, firstPacketKind, lastPacketKind),
		Drops:    r.registerKindCounter(FlowBalancerDrops, firstPacketKind, lastPacketKind),
		Holders:  r.registerGauge(FlowBalancerHolders),
		ViewAge:  r.registerGauge(FlowBalancerViewAge),
		Version:  r.registerGauge(FlowBalancerVersion),
		Link:     newLink(r),
		StoreEra: r.registerGauge(FlowBalancerStoreEra),
	}
}

// FlowAgent holds the metrics of an agent of packet flows. Their Name constants
// give the units.
type FlowAgent struct {
	Openings, Bounced, Resets  Counter
	Offered, Panics            Counter
	PassedOn                   *KindCounter // request and packet kinds
	Drops                      *KindCounter // packet kinds
	Flows, InProgress, Waiting Gauge
	OpenTime, AnswerTime       Histogram
	ReportAge, ViewAge         Gauge
	StoreEra, Learning         Gauge
}

// NewFlowAgent registers the metrics of an agent of packet flows.
func NewFlowAgent(r *Registry) *FlowAgent {
	return &FlowAgent{
		Openings:   r.registerCounter(FlowAgentOpenings),
		Bounced:    r.registerCounter(FlowAgentBounced),
		Offered:    r.registerCounter(FlowAgentOffered),
		Resets:     r.registerCounter(FlowAgentResets),
		Panics:     r.registerCounter(FlowAgentPanics),
		PassedOn:   r.registerKindCounter(FlowAgentPassedOn, firstRequestKind, lastPacketKind),
		Drops:      r.registerKindCounter(FlowAgentDrops, firstPacketKind, lastPacketKind),
		Flows:      r.registerGauge(FlowAgentFlows),
		InProgress: r.registerGauge(FlowAgentInProgress),
		Waiting:    r.registerGauge(FlowAgentWaiting),
		OpenTime:   r.registerHistogram(FlowAgentOpenTime),
		AnswerTime: r.registerHistogram(FlowAgentAnswerTime),
		ReportAge:  r.registerGauge(FlowAgentReportAge),
		ViewAge:    r.registerGauge(FlowAgentViewAge),
		StoreEra:   r.registerGauge(FlowAgentStoreEra),
		Learning:   r.registerGauge(FlowAgentLearning),
	}
}
