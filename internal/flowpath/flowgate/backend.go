package flowgate

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

const (
	// trialInterval is the time between openings that an unresponsive backend
	// server gets.
	trialInterval = 500 * time.Millisecond
	// missedReports is the number of report intervals without a report after
	// which the backend server takes no new flows.
	missedReports = 4
	// NewAgentHold is how long a new agent takes no flows after the store has
	// taken its member. A balancer resets a flow that no agent holds if its view
	// was current at most 2 s before; so its view names each agent with flows.
	NewAgentHold = 2500 * time.Millisecond
	// defaultIdleTimeout applies until a configuration is known.
	defaultIdleTimeout = 60 * time.Second
)

// Limits are the bounds of an installation for cold backend servers.
type Limits struct {
	ReportInterval time.Duration
	// ColdBurst is the number of new flows that a cold backend server takes
	// at once beside its rate.
	ColdBurst float64
}

// Report is what a backend server says of itself.
type Report struct {
	Instance string
	Started  time.Time // of the present run of the backend server
	Sequence uint64
	State    view.State
	Slots    int
	ColdFor  time.Duration // how much longer the backend server is cold
}

// backend is what the gate knows of its backend server.
type backend struct {
	limits   Limits
	known    bool // a report or an announcement of an earlier process is known
	reported time.Time
	report   Report

	newUntil    time.Time // balancers may not know this agent until then
	out         bool      // the failure domain is evacuated
	unconfirmed bool      // may have become cold since the last report
	coldUntil   time.Time
	tokens      float64 // openings that a cold backend server may get now
	refilled    time.Time
	learnUntil  time.Time

	configured    bool // the configuration of the service is known
	coldPerSecond float64
	maxFlows      int
	idleTimeout   time.Duration

	openings unanswered // openings, answered by packets of the backend server's own
	offers   unanswered // packets of unknown flows, answered by returned ones too
	lastTook time.Time  // last opening
}

// unanswered follows what the backend server was sent since its last answer.
type unanswered struct {
	sent     time.Time // the first since the last answer, zero if there was none
	answered time.Time
}

// waits reports whether something was sent since the last answer.
func (u *unanswered) waits() bool { return !u.sent.IsZero() && u.answered.Before(u.sent) }

func (u *unanswered) send(now time.Time) {
	if !u.waits() {
		u.sent = now
	}
}

func newBackend(l Limits, now time.Time) backend {
	return backend{limits: l, refilled: now, unconfirmed: true, idleTimeout: defaultIdleTimeout}
}

// restarted notes that the backend server lost its flows.
func (b *backend) restarted() { b.unconfirmed = true }

// cold reports whether only openings at the cold rate may be delivered. A
// service without a cold rate is slower while it is cold, but not limited.
func (b *backend) cold(now time.Time) bool {
	if b.configured && b.coldPerSecond <= 0 {
		return false
	}
	return b.unconfirmed || now.Before(b.coldUntil)
}

// refusal returns why a new flow can't be taken, 0 if it can.
func (b *backend) refusal(now time.Time, flows int) errkind.Kind {
	switch {
	case !b.known:
		return errkind.BackendDown
	case b.report.State != view.Ready:
		return errkind.BackendLeaving
	case b.out:
		return errkind.DomainOut
	case now.Before(b.newUntil):
		return errkind.AgentNew
	case b.maxFlows > 0 && flows >= b.maxFlows:
		return errkind.ConnectionsFull
	case b.gone(now) || b.silent(now):
		return errkind.BackendDown
	case b.cold(now) && b.refill(now) < 1:
		return errkind.BackendFull
	}
	return 0
}

// gone reports whether the backend server's reports have stopped.
func (b *backend) gone(now time.Time) bool {
	return !b.reported.IsZero() && now.Sub(b.reported) > missedReports*b.limits.ReportInterval
}

// silent reports whether the backend server answers no openings. It then gets
// one from time to time.
func (b *backend) silent(now time.Time) bool {
	return b.openings.waits() && now.Sub(b.openings.sent) > silentAfter && now.Sub(b.lastTook) < trialInterval
}

// offered notes that a packet was offered to the backend server.
func (b *backend) offered(now time.Time) {
	b.offers.send(now)
}

// mute reports whether the backend server has sent nothing since packets were
// offered to it.
func (b *backend) mute(now time.Time) bool {
	return b.offers.waits() && now.Sub(b.offers.sent) >= muteAfter
}

// refill returns the number of openings that a cold backend server may get.
func (b *backend) refill(now time.Time) float64 {
	earned := now.Sub(b.refilled).Seconds() * b.coldPerSecond
	b.tokens = min(b.tokens+earned, max(b.limits.ColdBurst, 1))
	b.refilled = now
	return b.tokens
}

// took counts an opening that is delivered.
func (b *backend) took(now time.Time) {
	b.openings.send(now)
	b.lastTook = now
	if b.cold(now) {
		b.tokens = b.refill(now) - 1
	}
}

// Report takes a backend server's report over. Errors have kind ReportStale.
// The flows that it returns were lost with an earlier run.
func (g *Gate) Report(now time.Time, r Report) ([]LostFlow, error) {
	b := &g.backend
	reportedBefore := !b.reported.IsZero()
	if reportedBefore && r.Started.Before(b.report.Started) {
		return nil, errkind.New(errkind.ReportStale, "of an earlier run of the backend server")
	}
	sameRun := reportedBefore && r.Started.Equal(b.report.Started) && r.Instance == b.report.Instance
	if sameRun && r.Sequence <= b.report.Sequence {
		return nil, errkind.New(errkind.ReportStale, "sequence number of an earlier report")
	}
	if sameRun && b.report.State == view.Leaving {
		r.State = view.Leaving
	}
	newRun, lastOfOldRun := reportedBefore && !sameRun, b.reported
	b.known, b.reported, b.report = true, now, r
	b.unconfirmed = false
	b.coldUntil = now.Add(r.ColdFor)
	if !newRun {
		return nil, nil
	}
	b.learnUntil = time.Time{}
	b.openings.sent = time.Time{}
	g.health.restarted(now)
	return g.loseBefore(lastOfOldRun, now), nil
}

// SetLimits takes changed bounds over.
func (g *Gate) SetLimits(l Limits) { g.backend.limits = l }

// ReportAge returns the time since the last report, 0 if there was none.
func (g *Gate) ReportAge(now time.Time) time.Duration {
	if g.backend.reported.IsZero() {
		return 0
	}
	return now.Sub(g.backend.reported)
}

// LostFlow is a flow whose caller is to be told that it is gone.
type LostFlow struct {
	Key flow.Key
	Ack uint32 // the caller's last acknowledgement
}

// loseBefore marks the flows that were opened before a moment at which the
// earlier run still reported. Later ones may belong to the present run; the
// backend server returns their packets if they don't.
func (g *Gate) loseBefore(reported, now time.Time) []LostFlow {
	var gone []LostFlow
	for key, f := range g.flows.entries {
		if f.state != open || !f.opened.Before(reported) {
			continue
		}
		g.flows.lose(f)
		f.last = now
		gone = append(gone, LostFlow{Key: key, Ack: f.callerAck})
	}
	return gone
}

// Announced takes over what an earlier process of this agent announced. The
// backend server counts as cold until it reports.
func (g *Gate) Announced(r Report) {
	if g.backend.known {
		return
	}
	g.backend.known, g.backend.report = true, r
}

// Created notes when the store took the member of a new agent.
func (g *Gate) Created(at time.Time) { g.backend.newUntil = at.Add(NewAgentHold) }

// Leave makes the gate take no new flows from now on.
func (g *Gate) Leave() { g.backend.report.State = view.Leaving }

// Leaving reports whether the backend server is known to leave.
func (g *Gate) Leaving() bool { return g.backend.known && g.backend.report.State == view.Leaving }

// SetService takes over what the configuration says.
func (g *Gate) SetService(s view.Service, idle time.Duration) {
	g.backend.configured = s.Name != ""
	g.backend.coldPerSecond, g.backend.maxFlows = s.ColdPerSecond, s.MaxFlows
	if idle > 0 {
		g.backend.idleTimeout = idle
	}
}

// SetOut notes whether the failure domain is evacuated. After an evacuation the
// backend server may be cold, so it counts as cold until it reports again.
func (g *Gate) SetOut(out bool) {
	if g.backend.out && !out {
		g.backend.unconfirmed = true
	}
	g.backend.out = out
}
