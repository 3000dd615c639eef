package distribution

import (
	"context"
	"encoding/json"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// scheduleCheckInterval bounds how late a planned change is applied after the
// wall clock was stepped.
const scheduleCheckInterval = 500 * time.Millisecond

// encodedConfig is the accepted configuration in the form that is sent to peers.
type encodedConfig struct {
	generation uint64
	data       json.RawMessage
}

// acceptConfig puts a configuration in force if its generation is higher than
// the current one, and ignores one of the same generation. It returns
// ConfigOlder for a lower generation and ConfigInvalid for a configuration that
// fails its checks; both are logged and have no other effect.
func (n *Node) acceptConfig(data []byte, source string) error {
	c, err := config.Parse(data)
	if err == nil {
		err = n.putInForce(c, data)
	}
	if err != nil {
		n.log.EmitError(event.GenerationRefused, err, event.Fields{"source": source})
	}
	return err
}

func (n *Node) putInForce(c *config.Config, data []byte) error {
	now := n.now()
	n.mu.Lock()
	current := n.config.generation
	if c.Generation <= current {
		n.mu.Unlock()
		if c.Generation == current {
			return nil
		}
		return errkind.Errorf(errkind.ConfigOlder, "generation %d is older than generation %d, which is in force", c.Generation, current)
	}
	n.config = encodedConfig{c.Generation, data}
	n.Board.Config.Set(c)
	n.Board.View.Set(c.View(now))
	self := n.table.Self()
	self.Generation = c.Generation
	n.replaceSelf(self, now)
	n.mu.Unlock()
	n.generationSignal.notifyAll()
	n.log.Emit(event.GenerationInForce, event.Fields{
		"generation": c.Generation, "change_id": c.ChangeID, "age": now.Sub(c.AcceptedAt).String(),
	})
	return nil
}

// applyPlannedChanges recomputes Board.View when a planned change becomes due,
// using only the clock of this host.
func (n *Node) applyPlannedChanges(ctx context.Context) {
	for {
		accepted := n.generationSignal.notified()
		wait := scheduleCheckInterval
		if next, ok := n.Board.View.Get().NextChange(); ok {
			wait = min(wait, max(next.Sub(n.now()), 0))
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-accepted:
			timer.Stop()
		case <-timer.C:
			n.applyDueChange()
		}
	}
}

func (n *Node) applyDueChange() {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	view := n.Board.View.Get()
	next, ok := view.NextChange()
	if !ok || next.After(now) {
		return
	}
	n.Board.View.Set(n.Board.Config.Get().View(now))
	n.log.Emit(event.PlannedChangeActive, event.Fields{"generation": view.Generation, "at": next, "late": now.Sub(next).String()})
}

// recordPeerPlatformState notes that a peer with the given generation in force
// knew the platform's state age ago. This counts for this process only if it
// has that generation in force, too. A negative age means that the peer never
// knew it.
func (n *Node) recordPeerPlatformState(generation uint64, age time.Duration, now time.Time) {
	if age < 0 || generation > n.config.generation {
		return
	}
	n.recordPlatformContact(now.Add(-age))
}

// recordPlatformContact notes that the platform's state at time at is known
// here, directly or through a peer.
func (n *Node) recordPlatformContact(at time.Time) {
	if at.After(n.platformKnownAt) {
		n.platformKnownAt = at
		n.tracker.RecordPlatformContact(at)
	}
}

// platformStateAge returns how long ago the platform's state was last known
// here, as it is sent to peers; -1 means never.
func (n *Node) platformStateAge(now time.Time) time.Duration {
	if n.platformKnownAt.IsZero() {
		return -1
	}
	return max(now.Sub(n.platformKnownAt), 0).Truncate(time.Millisecond)
}
