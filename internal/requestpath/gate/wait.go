package gate

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// maxSlotWait is how long a request waits in total for a slot when neither the backend
// server nor a peer has one. At 70% load a slot becomes free within a few
// milliseconds; without waiting, about 1% of the requests were refused.
const maxSlotWait = 50 * time.Millisecond

// maxFeedSlotWait is the limit for a feed, which is not relayed and holds a slot
// only until its answer begins.
const maxFeedSlotWait = time.Second

// waitForSlot waits, after the error fullErr, until a slot may be free. It reports
// whether another attempt should be made. The number of waiting requests is at
// most the number of slots, so that refusals stay cheap under overload. A relayed
// request does not wait here: the agent that relayed it waits.
func (g *Gate) waitForSlot(req *request, fullErr error) bool {
	if !errkind.Is(fullErr, errkind.BackendFull) || req.relayed || !req.isReplayable() {
		return false
	}
	remaining := req.remainingWait()
	if remaining <= 0 || !g.tryStartWaiting() {
		return false
	}
	defer g.stopWaiting()
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-g.slotFreed:
		req.triedPeers = nil // peers may have free slots again
		return true
	case <-t.C:
		return false
	case <-req.ctx.Done():
		return false
	}
}

// remainingWait returns how much longer req may wait for a slot. The waiting time
// begins with the first call.
func (req *request) remainingWait() time.Duration {
	if req.waitUntil.IsZero() {
		wait := maxSlotWait
		if req.feed {
			wait = maxFeedSlotWait
		}
		req.waitUntil = time.Now().Add(wait)
	}
	return time.Until(req.waitUntil)
}

func (g *Gate) tryStartWaiting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waitingRequests >= g.limits.Slots {
		return false
	}
	g.waitingRequests++
	return true
}

func (g *Gate) stopWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waitingRequests--
}
