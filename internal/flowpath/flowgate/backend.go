package flowgate

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

const (
	// unresponsiveTrialInterval is the time between the trial openings that are
	// still sent to a backend server which leaves openings unanswered.
	unresponsiveTrialInterval = 500 * time.Millisecond
	// maxMissedReports is the number of report intervals without a report after
	// which the backend server gets no new flows.
	maxMissedReports = 4
	// NewAgentDelay is how long a new agent accepts no flows after it has learned
	// that the store holds its member. A balancer resets a flow that no agent in its view
	// holds if that view was current at most 2 s before. With the longer delay,
	// such a view names every agent that has flows.
	NewAgentDelay = 2500 * time.Millisecond
	// minProcessGap is the shortest time from the end of a process of an agent to the
	// start of the next one.
	minProcessGap = 50 * time.Millisecond
	// defaultIdleTimeout applies while no configuration is known.
	defaultIdleTimeout = 60 * time.Second
)

// Limits holds the settings of an installation for reports and for cold backend
// servers.
type Limits struct {
	ReportInterval time.Duration
	// ColdBurst is the number of new flows that a cold backend server accepts
	// at once, in addition to its rate.
	ColdBurst float64
}

// backend holds what the gate knows about its backend server.
type backend struct {
	limits     Limits
	closed     bool // see StopAccepting
	stateKnown bool // report.State was reported, or was announced by an earlier process of this agent
	reportedAt time.Time
	report     Report
	// firstReport is that of the run that has reported to this gate last.
	firstReport firstReport

	handoverPending         bool      // see Options.HandoverPending
	memberStored            bool      // the store holds the agent's member, so that balancers can know it
	unknownToBalancersUntil time.Time // some balancers may not know this new agent before then
	evacuationKnown         bool      // the view has been applied
	evacuated               bool      // the failure domain is evacuated
	lastEvacuationEnd       view.Revision
	maybeCold               bool // the backend server may have become cold since the last report
	coldUntil               time.Time
	tokens                  float64 // openings that a cold backend server may get now (token bucket)
	refilledAt              time.Time
	learning                learning
	takenOverReportAt       time.Time // when the last report of takenOver was received, zero if unknown
	takenOver               Run       // run of the handover of an earlier process of this agent, if there was one

	serviceKnown  bool // the configuration of the service is known
	coldPerSecond float64
	maxFlows      int

	sentOpenings answerTracker // openings; only packets of the backend server's own answer them
	sentOffers   answerTracker // packets of unknown flows; bounced packets answer them as well
	dialledAt    time.Time     // when a connection to the backend server was last attempted
	refusedAt    time.Time     // when such an attempt was last refused
	lastOpening  time.Time     // when the last opening was delivered
}

// answerTracker records since when the backend server owes an answer.
type answerTracker struct {
	sentAt     time.Time // when the first packet since the last answer was sent, zero if none was
	answeredAt time.Time
}

// pending reports whether a packet was sent since the last answer.
func (t *answerTracker) pending() bool { return !t.sentAt.IsZero() && t.answeredAt.Before(t.sentAt) }

func (t *answerTracker) noteSent(now time.Time) {
	if !t.pending() {
		t.sentAt = now
	}
}

func newBackend(l Limits, now time.Time) backend {
	return backend{limits: l, refilledAt: now, maybeCold: true}
}

// noteFlowLoss records that the backend server lost its flows, so it may be cold.
func (b *backend) noteFlowLoss() { b.maybeCold = true }

// isCold reports whether openings are limited to the cold rate. A service without
// a cold rate is slower while it is cold, but not limited.
func (b *backend) isCold(now time.Time) bool {
	if b.serviceKnown && b.coldPerSecond <= 0 {
		return false
	}
	return b.maybeCold || now.Before(b.coldUntil)
}

// refusal returns why a new flow can't be accepted, 0 if it can.
func (b *backend) refusal(now time.Time, flows int) errkind.Kind {
	switch {
	case !b.stateKnown:
		return errkind.BackendDown
	case b.closed || b.report.State != view.Ready:
		return errkind.BackendLeaving
	case b.evacuated:
		return errkind.DomainOut
	case !b.memberStored || now.Before(b.unknownToBalancersUntil):
		return errkind.AgentNew
	case b.handoverPending:
		return errkind.HandoverPending
	case b.maxFlows > 0 && flows >= b.maxFlows:
		return errkind.ConnectionsFull
	case b.reportsStopped(now) || b.isUnresponsive(now):
		return errkind.BackendDown
	case b.isCold(now) && b.refillTokens(now) < 1:
		return errkind.BackendFull
	}
	return 0
}

// reportsStopped reports whether the backend server's reports have stopped.
func (b *backend) reportsStopped(now time.Time) bool {
	return b.isSilent(now, b.reportedAt)
}

// isSilent reports whether maxMissedReports have been missed since a report, the zero time for
// none.
func (b *backend) isSilent(now, lastReport time.Time) bool {
	return !lastReport.IsZero() && now.Sub(lastReport) > maxMissedReports*b.limits.ReportInterval
}

// isUnresponsive reports whether the backend server has left openings unanswered
// and is not due for the next trial opening yet.
func (b *backend) isUnresponsive(now time.Time) bool {
	return b.sentOpenings.pending() && now.Sub(b.sentOpenings.sentAt) > openingResponseTimeout && now.Sub(b.lastOpening) < unresponsiveTrialInterval
}

// noteOffer records that a packet was offered to the backend server.
func (b *backend) noteOffer(now time.Time) {
	b.sentOffers.noteSent(now)
}

// ignoresOffers reports whether the backend server has sent nothing for
// offerResponseTimeout since packets were offered to it.
func (b *backend) ignoresOffers(now time.Time) bool {
	return b.sentOffers.pending() && now.Sub(b.sentOffers.sentAt) >= offerResponseTimeout
}

// isDown reports whether the backend server refused a connection attempt and has
// sent nothing since the packets offered before. Its silence alone proves nothing:
// it answers no acknowledgement, and a request only after processing it.
func (b *backend) isDown() bool {
	return b.sentOffers.pending() && b.refusedAt.After(b.sentOffers.sentAt)
}

// refillTokens adds the tokens earned since the last call, and returns the number
// of openings that a cold backend server may get.
func (b *backend) refillTokens(now time.Time) float64 {
	earned := now.Sub(b.refilledAt).Seconds() * b.coldPerSecond
	b.tokens = min(b.tokens+earned, max(b.limits.ColdBurst, 1))
	b.refilledAt = now
	return b.tokens
}

// noteOpening records an opening that is delivered.
func (b *backend) noteOpening(now time.Time) {
	b.sentOpenings.noteSent(now)
	b.lastOpening = now
	if b.isCold(now) {
		b.tokens = b.refillTokens(now) - 1
	}
}

// SetLimits replaces the limits.
func (g *Gate) SetLimits(l Limits) { g.backend.limits = l }

// SetMemberStored records whether the store is known to hold the member of this
// agent, and since when: since the zero time if it did before the agent started. A
// gate accepts no flows before the first call.
func (g *Gate) SetMemberStored(since time.Time, stored bool) {
	g.backend.memberStored, g.backend.unknownToBalancersUntil = stored, since.Add(NewAgentDelay)
}

// EndHandoverPending ends the refusal of new flows because of Options.HandoverPending.
func (g *Gate) EndHandoverPending() { g.backend.handoverPending = false }

// StopAccepting makes the gate accept no new flows from now on, whatever the backend server
// reports.
func (g *Gate) StopAccepting() { g.backend.closed = true }

// RefuseNewFlows makes the gate accept no new flows from now on, as if the backend server had
// reported that it is leaving.
func (g *Gate) RefuseNewFlows() { g.backend.report.State = view.Leaving }

// PrepareStop makes the gate accept no new flows and report that the process ends while the
// backend server runs on.
func (g *Gate) PrepareStop() {
	g.StopAccepting()
	g.stopping = true
}

// Leaving reports whether the backend server is known to be leaving.
func (g *Gate) Leaving() bool { return g.backend.stateKnown && g.backend.report.State == view.Leaving }

// SetService applies the configuration of the service and the idle timeout, which was last known
// to be in force at confirmedAt. It is also called to confirm an unchanged configuration.
func (g *Gate) SetService(s view.Service, idle time.Duration, confirmedAt time.Time) {
	g.backend.serviceKnown = s.Name != ""
	g.backend.coldPerSecond, g.backend.maxFlows = s.ColdPerSecond, s.MaxFlows
	g.idle.confirm(idle, confirmedAt, idleMargin(g.longestTimeout))
}

// SetEvacuation records whether the failure domain is evacuated, and when the last end of an
// evacuation became known. After an evacuation the backend server may be cold, so it counts
// as cold until it reports again, also if the agent has never seen the evacuation.
func (g *Gate) SetEvacuation(evacuated bool, lastEnd view.Revision) {
	b := &g.backend
	if b.evacuationKnown && lastEnd > b.lastEvacuationEnd {
		b.maybeCold = true
	}
	b.evacuationKnown, b.evacuated, b.lastEvacuationEnd = true, evacuated, lastEnd
}
