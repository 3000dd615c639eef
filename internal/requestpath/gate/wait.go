package gate

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// slotWait is how long a request waits in total for a slot when neither the backend
// server nor a peer has room. At 70% load a slot becomes free within a few
// milliseconds; without waiting, about 1% of the requests were refused.
const slotWait = 50 * time.Millisecond

// feedWait is the same for a feed, which cannot go to a peer and holds its
// slot only until the answer begins.
const feedWait = time.Second

// waitForSlot waits after the error full until a slot may be free, and reports
// whether it is worth to try. At most as many requests wait as there are
// slots, so that refusals stay cheap under overload. A relayed request does
// not wait: its own agent does.
func (g *Gate) waitForSlot(j *job, full error) bool {
	if !errkind.Is(full, errkind.BackendFull) || j.relayed || !j.replayable() {
		return false
	}
	left := j.waitLeft()
	if left <= 0 || !g.startWaiting() {
		return false
	}
	defer g.stopWaiting()
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-g.freed:
		j.tried = nil // peers may have room again
		return true
	case <-t.C:
		return false
	case <-j.ctx.Done():
		return false
	}
}

// waitLeft returns the rest of the time that j may wait, which begins with the
// first call.
func (j *job) waitLeft() time.Duration {
	if j.waitEnd.IsZero() {
		wait := slotWait
		if j.feed {
			wait = feedWait
		}
		j.waitEnd = time.Now().Add(wait)
	}
	return time.Until(j.waitEnd)
}

func (g *Gate) startWaiting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting >= g.limits.Slots {
		return false
	}
	g.waiting++
	return true
}

func (g *Gate) stopWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting--
}
