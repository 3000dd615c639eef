package flowagent

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/suspension"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/platform"
)

const (
	// handoverWriteTimeout bounds the writing of the handover, during which the
	// agent forwards nothing.
	handoverWriteTimeout = 500 * time.Millisecond
	// takeOverTimeout bounds one try to take the handover over. The tries end
	// within 1.5 s: later the agent has learned most flows from packets.
	takeOverTimeout    = 650 * time.Millisecond
	takeOverRetryDelay = 200 * time.Millisecond
	maxTakeOverTries   = 2
	// maxTakeOverTime is how long a stopping agent, which still passes packets, waits for
	// the tries to end. A handover that it has deleted would be lost otherwise.
	maxTakeOverTime = maxTakeOverTries*takeOverTimeout + takeOverRetryDelay
	// takeOverWait is how long an agent leaves packets unread until the handover is
	// taken over. A request that is offered before can't be told from its copies.
	takeOverWait = 150 * time.Millisecond
	// maxHandoverAge is the maximum age at which a handover is used. It is measured by the
	// clock of the machine, which may be off by seconds.
	maxHandoverAge = 10 * time.Second
	// maxSuccessionTime is the maximum time from the writing of a handover to the start of a
	// process that uses it as complete. A process that can't exclude earlier handovers accepts
	// no new flows for as long, so that any process after it finds them older. A planned restart
	// takes 0.6 s with a restart delay of 0.5 s.
	maxSuccessionTime = 750 * time.Millisecond
	// maxCompleteAge is the maximum age of a complete handover by the time of day, which excludes
	// handovers from before a restart of the machine.
	maxCompleteAge = 3 * time.Second
	// minStaleAge is the minimum age of a handover that was written by a process before the
	// last one: two processes have started since.
	minStaleAge = 100 * time.Millisecond
)

// Store is the platform's object store.
type Store interface {
	follow.Store
	HandoverStore
}

// HandoverStore holds what a stopped agent knew of its flows, for the next process of
// that agent.
type HandoverStore interface {
	// WriteHandover replaces the handover of the agent called name. Errors have
	// kind PlatformDown, PlatformLimited, VersionConflict, NotFound or, if it is too
	// large, HandoverUnusable.
	WriteHandover(ctx context.Context, name string, h platform.Handover) error
	// TakeHandover returns the handover of the agent called name after its deletion
	// was acknowledged. Errors have kind PlatformDown, PlatformLimited,
	// VersionConflict, PeerMalformed, HandoverUnusable or, if there is no handover,
	// NotFound.
	TakeHandover(ctx context.Context, name string) (platform.Handover, error)
	// RestartAnnounced reports whether the member of the agent called name announces a
	// restart. Errors have kind PlatformDown, PlatformLimited or PeerMalformed.
	RestartAnnounced(ctx context.Context, name string) (bool, error)
}

// writeHandover writes what the gate knows for the next process of the agent. member is
// the revision of the agent's member, which announces the restart. From now on the agent
// ignores all packets and messages, because the next process would not know what they
// change. Callers and backend servers retransmit them.
func (a *Agent) writeHandover(member view.Revision) {
	a.mu.Lock()
	now := time.Now()
	a.handedOver = true
	h := platform.Handover{
		Handover: a.gate.Handover(now), Written: now, SinceBoot: suspension.SinceBoot(), Service: a.settings.Service, Member: member,
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), handoverWriteTimeout)
	defer cancel()
	fields := event.Fields{"flows": len(h.Flows), "learn_ms": h.LearnFor.Milliseconds()}
	if err := a.store.WriteHandover(ctx, MemberName(a.settings.Address), h); err != nil {
		a.logger.EmitError(event.HandoverWritten, err, fields)
		return
	}
	fields["ms"] = time.Since(now).Milliseconds()
	a.logger.Emit(event.HandoverWritten, fields)
}

// startTakeOver starts to take the handover over, and waits for it up to takeOverWait.
// Until then no report is applied, because it makes the agent write its member anew.
func (a *Agent) startTakeOver() {
	defer close(a.reportable)
	a.node.Go(a.awaitExpiry)
	a.node.Go(func(ctx context.Context) {
		defer close(a.takeOverEnded)
		a.takeOver(ctx)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.checkEarlierHandovers(time.Now())
	})
	a.awaitTakeOver(takeOverWait)
}

// awaitTakeOver waits until all tries to take a handover over have ended, up to limit.
func (a *Agent) awaitTakeOver(limit time.Duration) {
	select {
	case <-a.takeOverEnded:
	case <-time.After(limit):
	}
}

// takeOver takes over what the earlier process of the agent knew. Without it the
// agent learns the flows from packets.
func (a *Agent) takeOver(ctx context.Context) {
	began := time.Now()
	h, err := a.takeHandover(ctx)
	a.recordTakeOverEnd(ctx, err)
	learnFor := time.Duration(0)
	if err == nil {
		learnFor, err = a.applyHandover(&h)
	}
	fields := event.Fields{"flows": len(h.Flows), "learn_ms": learnFor.Milliseconds(), "ms": time.Since(began).Milliseconds()}
	if !h.Written.IsZero() {
		fields["age_ms"], fields["member"] = time.Since(h.Written).Milliseconds(), h.Member
	}
	if err != nil {
		a.logger.EmitError(event.HandoverTakenOver, err, fields)
		return
	}
	a.logger.Emit(event.HandoverTakenOver, fields)
}

// takeHandover reads the handover from the store. It tries again unless the store
// answers that there is none that can be used.
func (a *Agent) takeHandover(ctx context.Context) (h platform.Handover, err error) {
	for try := range maxTakeOverTries {
		if try > 0 {
			delay.Sleep(ctx, takeOverRetryDelay)
		}
		if a.isRestarting() {
			break // the handover may be the one that this process has written
		}
		tryCtx, cancel := context.WithTimeout(ctx, takeOverTimeout)
		h, err = a.store.TakeHandover(tryCtx, MemberName(a.settings.Address))
		cancel()
		final := errkind.Is(err, errkind.NotFound) || errkind.Is(err, errkind.HandoverUnusable)
		if err == nil || final || ctx.Err() != nil {
			break
		}
	}
	return h, err
}

func (a *Agent) isRestarting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.restarting
}

// applyHandover passes a handover to the gate, as one that is not complete unless it is
// recent, and returns how much longer the agent learns at most. Errors have kind HandoverUnusable.
func (a *Agent) applyHandover(h *platform.Handover) (learnFor time.Duration, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	sinceBoot := suspension.SinceBoot()
	switch age := now.Sub(h.Written).Abs(); {
	case h.Service != a.settings.Service:
		return 0, errkind.Errorf(errkind.HandoverUnusable, "handover is of service %s", h.Service)
	case age > maxHandoverAge:
		return 0, errkind.Errorf(errkind.HandoverUnusable, "handover was written %v from now", age)
	case age > maxCompleteAge || !a.directlyFollows(h):
		h.MayLackFlows = true
	}
	h.MayBeStale = sinceBoot-h.SinceBoot >= minStaleAge
	if err := a.gate.TakeOver(now, h.Handover); err != nil {
		return 0, err
	}
	a.takenOverMember = h.Member
	return a.gate.LearnFor(now), nil
}

// directlyFollows reports whether no process can have accepted new flows between the one that
// wrote a handover and this one, by the time since the start of the machine, which isn't stepped
// like the time of day.
func (a *Agent) directlyFollows(h *platform.Handover) bool {
	gap := a.startedSinceBoot - h.SinceBoot
	return h.SinceBoot > 0 && gap >= 0 && gap <= maxSuccessionTime
}
