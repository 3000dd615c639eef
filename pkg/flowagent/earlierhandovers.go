package flowagent

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

// ageResolution is the resolution of the ages that peers send.
const ageResolution = time.Millisecond

// earlierHandovers is what a process has found out about handovers of earlier processes of its
// agent. While a later process may use one of them as complete, this process accepts no new
// flows: the later one would deny them.
//
// A handover names the revision of a member that announces a restart, and is used only
// while the store holds that revision. It can't be used any more once it was taken over, or
// once the store has held a member without such an announcement after the start of this
// process. The store may execute the creation of a handover late, so that finding none
// proves nothing.
type earlierHandovers struct {
	startedAt     time.Time // start of this process
	ruledOut      bool      // no handover of an earlier process can be used any more
	takeOverEnded bool      // all tries to take a handover over have ended
	announced     bool      // the member was announced anew because of them
}

// handoverEvidence is what shows that no handover of an earlier process can be used any more.
type handoverEvidence string

const (
	noEvidence       handoverEvidence = ""
	handoverTaken    handoverEvidence = "taken-over"   // its deletion was acknowledged
	memberRead       handoverEvidence = "member-read"  // the store holds no announcement of a restart
	memberWritten    handoverEvidence = "member-write" // the store has acknowledged a member without one
	currentView      handoverEvidence = "current-view" // the same, in a view that was current after the start
	handoversExpired handoverEvidence = "age"          // none counts as complete any more
)

// evidence returns what shows that no handover can be used as complete: a view that was current
// after the start, or the time since then. A view of before the start proves nothing, however
// recent it is: the earlier process may have announced its restart since.
func (h *earlierHandovers) evidence(now time.Time, restartAnnounced bool, confirmedAt time.Time) handoverEvidence {
	switch {
	case now.Sub(h.startedAt) >= maxSuccessionTime:
		return handoversExpired
	case !restartAnnounced && !confirmedAt.IsZero() && confirmedAt.Sub(h.startedAt) > ageResolution:
		return currentView
	}
	return noEvidence
}

// ruleOutHandovers ends the refusal of new flows because of handovers of earlier processes. The
// caller holds the lock.
func (a *Agent) ruleOutHandovers(now time.Time, evidence handoverEvidence) {
	if a.earlierHandovers.ruledOut {
		return
	}
	a.earlierHandovers.ruledOut = true
	fields := event.Fields{"evidence": evidence, "running_ms": now.Sub(a.earlierHandovers.startedAt).Milliseconds()}
	if _, confirmed := a.node.Board.Snapshot(); !confirmed.StoredMembers.IsZero() {
		fields["view_after_start_ms"] = confirmed.StoredMembers.Sub(a.earlierHandovers.startedAt).Milliseconds()
	}
	a.logger.Emit(event.HandoversExcluded, fields)
	a.gate.EndHandoverPending()
	a.updateRefusal(now)
}

// checkEarlierHandovers rules earlier handovers out if the view, the time or the answer to a
// write allow it. Otherwise it announces that the agent runs, once that can't spoil the
// handover that is being taken over. The caller holds the lock.
func (a *Agent) checkEarlierHandovers(now time.Time) {
	if a.earlierHandovers.ruledOut {
		return
	}
	name := MemberName(a.settings.Address)
	v, confirmed := a.node.Board.Snapshot()
	member, listed := v.Members.ByName[name]
	acknowledged := a.node.Announcer.Acknowledged()
	written := acknowledged.Name == name && !acknowledged.Restarting
	evidence := a.earlierHandovers.evidence(now, listed && member.Restarting, confirmed.StoredMembers)
	if written {
		evidence = memberWritten
	}
	if evidence != noEvidence {
		a.ruleOutHandovers(now, evidence)
		return
	}
	noReport := a.lastReport.Instance == "" && !a.backendLeft && !a.restarting
	due := a.earlierHandovers.takeOverEnded && !a.earlierHandovers.announced
	if due && noReport && listed && member.Service == a.settings.Service {
		a.earlierHandovers.announced = true
		a.node.Announcer.Set(a.member(member.State, member.Slots))
	}
}

// awaitExpiry checks earlier handovers once none counts as complete any more.
func (a *Agent) awaitExpiry(ctx context.Context) {
	delay.Sleep(ctx, maxSuccessionTime-time.Since(a.earlierHandovers.startedAt))
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checkEarlierHandovers(time.Now())
}

// recordTakeOverEnd records how the tries to take a handover over have ended.
func (a *Agent) recordTakeOverEnd(ctx context.Context, err error) {
	evidence := a.noHandoverLeft(ctx, err)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.earlierHandovers.takeOverEnded = true
	if evidence != noEvidence {
		a.ruleOutHandovers(time.Now(), evidence)
	}
}

// noHandoverLeft returns what the store has shown against handovers of earlier processes, from
// the error of the take-over.
func (a *Agent) noHandoverLeft(ctx context.Context, err error) handoverEvidence {
	if err == nil {
		return handoverTaken
	}
	if !errkind.Is(err, errkind.NotFound) && !errkind.Is(err, errkind.HandoverUnusable) {
		return noEvidence
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	announced, err := a.store.RestartAnnounced(ctx, MemberName(a.settings.Address))
	if err != nil || announced {
		return noEvidence
	}
	return memberRead
}
