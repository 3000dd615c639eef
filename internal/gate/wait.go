package gate

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/errkind"
)

// slotWait is how long a request waits for a slot when neither the backend
// server nor a peer has room. At 70% load a slot becomes free within a few
// milliseconds; without waiting, about 1% of the requests were refused.
const slotWait = 50 * time.Millisecond

// feedWait is how long a feed waits for a slot of its own agent before it may
// be relayed. A relayed feed lasts for hours and breaks with either agent's
// failure domain and with the connection between them.
const feedWait = 500 * time.Millisecond

// waitForSlot waits after the error full until a slot may be free, and reports
// whether it is worth to try. At most as many requests wait as there are
// slots, so that refusals stay cheap under overload. A relayed request does
// not wait: its own agent does.
func (g *Gate) waitForSlot(j *job, full error) bool {
	if !errkind.Is(full, errkind.BackendFull) || j.relayed || !j.replayable() || !g.startWaiting() {
		return false
	}
	defer g.stopWaiting()
	limit := slotWait
	if j.feed {
		limit = feedWait
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-g.freed:
		return true
	case <-t.C:
		vain := j.feed && !j.mayRelay
		j.mayRelay = true
		return vain
	case <-j.ctx.Done():
		return false
	}
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
