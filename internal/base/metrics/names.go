package metrics

// Name is the name of one metric, or of a family with one metric for each
// error kind or outcome. A name ends in its unit unless the metric is a plain
// count.
type Name string

// Metrics of the balancer.
const (
	BalancerForwardPackets Name = "balancer.forward_packets" // packets from callers sent to agents
	BalancerReturnPackets  Name = "balancer.return_packets"  // packets from agents sent to callers
	BalancerDrops          Name = "balancer.drops"           // packets dropped, by error kind
	BalancerOpenings       Name = "balancer.openings"        // packets that open a flow
	BalancerUnsteerable    Name = "balancer.unsteerable"     // packets whose connection ID fails MAC verification
	BalancerAgents         Name = "balancer.agents"          // agents in the candidate tables
)

// Metrics of the agent.
const (
	AgentRequests     Name = "agent.requests"      // requests answered, by outcome
	AgentRefusals     Name = "agent.refusals"      // requests that the backend server did not answer, by error kind
	AgentRelaysOut    Name = "agent.relays_out"    // requests relayed to a peer
	AgentRelaysIn     Name = "agent.relays_in"     // requests relayed from a peer
	AgentRetries      Name = "agent.retries"       // attempts after the first
	AgentFeeds        Name = "agent.feeds"         // open feeds
	AgentFlows        Name = "agent.flows"         // open flows
	AgentFlowsBroken  Name = "agent.flows_broken"  // flows that ended in an error
	AgentPassedOn     Name = "agent.passed_on"     // packets that open a flow, passed on to the next candidate agent
	AgentDrops        Name = "agent.drops"         // packets dropped, by error kind
	AgentLatency      Name = "agent.latency_us"    // microseconds from request to response header
	AgentLimit        Name = "agent.limit"         // current limit of requests in progress
	AgentInProgress   Name = "agent.in_progress"   // requests in progress
	AgentIncarnations Name = "agent.incarnations"  // incarnations acquired since the process started
	AgentBackendConns Name = "agent.backend_conns" // open connections to the backend server
)

// Metrics of a balancer of packet flows.
const (
	FlowBalancerOpenings Name = "flow_balancer.openings"    // new flows sent to agents
	FlowBalancerPackets  Name = "flow_balancer.packets"     // other packets sent to agents
	FlowBalancerSearches Name = "flow_balancer.searches"    // packets of flows whose agent is not in the flow table
	FlowBalancerPanics   Name = "flow_balancer.panics"      // messages whose handling panicked
	FlowBalancerResets   Name = "flow_balancer.resets"      // flows reset, by error kind
	FlowBalancerDrops    Name = "flow_balancer.drops"       // packets dropped, by error kind
	FlowBalancerHolders  Name = "flow_balancer.holders"     // entries of the flow table: flows whose agent is known
	FlowBalancerViewAge  Name = "flow_balancer.view_age_ms" // milliseconds since the view was known to be current, -1 if never
	FlowBalancerVersion  Name = "flow_balancer.version"     // version of the configuration in force

	FlowBalancerReceivedMessages Name = "flow_balancer.received_messages"  // packets received from callers
	FlowBalancerReceivedBytes    Name = "flow_balancer.received_bytes"     // bytes of these, with IP and UDP headers
	FlowBalancerSentMessages     Name = "flow_balancer.sent_messages"      // datagrams sent for the first time, by kind
	FlowBalancerSentBytes        Name = "flow_balancer.sent_bytes"         // bytes of these, with IP and UDP headers
	FlowBalancerRepeatedMessages Name = "flow_balancer.repeated_messages"  // datagrams sent again, by kind
	FlowBalancerRepeatedBytes    Name = "flow_balancer.repeated_bytes"     // bytes of these, with IP and UDP headers
	FlowBalancerRetryBudget      Name = "flow_balancer.retry_budget_bytes" // bytes that may be sent again now, -1 if not limited
	FlowBalancerRejected         Name = "flow_balancer.rejected_openings"  // new flows rejected because the link is full, by reason
	FlowBalancerShedMessages     Name = "flow_balancer.shed_messages"      // callers' packets dropped because the link is full
	FlowBalancerLinkRate         Name = "flow_balancer.link_rate_bytes"    // bytes a second that the link carries, 0 if unknown
	FlowBalancerStoreEra         Name = "flow_balancer.store_era"          // era of the store that the members are from
)

// Metrics of an agent of packet flows.
const (
	FlowAgentOpenings   Name = "flow_agent.openings"      // new flows delivered to the backend server
	FlowAgentPassedOn   Name = "flow_agent.passed_on"     // packets passed on or returned, by error kind
	FlowAgentPanics     Name = "flow_agent.panics"        // messages whose handling panicked
	FlowAgentBounced    Name = "flow_agent.bounced"       // packets that the backend server handed back
	FlowAgentOffered    Name = "flow_agent.offered"       // packets of unknown flows that the backend server was offered
	FlowAgentResets     Name = "flow_agent.resets"        // flows reset
	FlowAgentDrops      Name = "flow_agent.drops"         // packets dropped, by error kind
	FlowAgentFlows      Name = "flow_agent.flows"         // open flows
	FlowAgentInProgress Name = "flow_agent.in_progress"   // requests whose response has not started
	FlowAgentWaiting    Name = "flow_agent.waiting"       // requests that wait for a slot
	FlowAgentOpenTime   Name = "flow_agent.open_us"       // microseconds from the packet that opens a flow to its answer
	FlowAgentAnswerTime Name = "flow_agent.answer_us"     // microseconds from a request to the start of its response
	FlowAgentReportAge  Name = "flow_agent.report_age_ms" // milliseconds since the backend server's last report
	FlowAgentViewAge    Name = "flow_agent.view_age_ms"   // milliseconds since the view was known to be current, -1 if never
	FlowAgentStoreEra   Name = "flow_agent.store_era"     // era of the store that the members are from
	FlowAgentLearning   Name = "flow_agent.learning"      // 1 while the backend server may hold flows that the agent doesn't know, 0 otherwise
)

// Metrics of the control path of every process.
const (
	ControlPulls            Name = "control.pulls"             // pulls answered by partners
	ControlPullFailures     Name = "control.pull_failures"     // pulls failed, by error kind
	ControlPullsServed      Name = "control.pulls_served"      // pulls of other processes that were answered
	ControlBytesIn          Name = "control.in_bytes"          // bytes of peer messages received
	ControlBytesOut         Name = "control.out_bytes"         // bytes of peer messages sent
	ControlMalformed        Name = "control.peer_malformed"    // peer messages refused because they do not parse
	ControlUnauthorized     Name = "control.peer_unauthorized" // peers refused because they hold no key of the ring
	ControlPlatformCalls    Name = "control.platform_calls"    // calls to the platform
	ControlPlatformFailures Name = "control.platform_failures" // calls to the platform that failed, by error kind
	ControlGeneration       Name = "control.generation"        // configuration generation in force
	ControlMembers          Name = "control.members"           // members known
	ControlSuspects         Name = "control.suspects"          // members suspected of having failed
	ControlClockOffset      Name = "control.clock_offset_us"   // microseconds that the clock is ahead of the median of peers' clocks
)
