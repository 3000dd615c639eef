package distribution

import (
	"context"
	"encoding/json"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// clockStep bounds how late a planned change is noticed after the wall clock
// was stepped.
const clockStep = 500 * time.Millisecond

// encodedConfig is the accepted configuration as it travels to peers.
type encodedConfig struct {
	generation uint64
	data       json.RawMessage
}

// accept puts a configuration in force if its generation is higher than the
// current one. It returns ConfigOlder for a lower one and ConfigInvalid for one
// that fails its checks; both are logged and have no other effect.
func (n *Node) accept(data []byte, source string) error {
	c, err := config.Parse(data)
	if err == nil {
		err = n.putInForce(c, data)
	}
	if err != nil {
		n.log.Failure(event.GenerationRefused, err, event.Fields{"source": source})
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
		return errkind.Errorf(errkind.ConfigOlder, "generation %d is older than %d", c.Generation, current)
	}
	n.config = encodedConfig{c.Generation, data}
	n.Board.Config.Set(c)
	n.Board.View.Set(c.View(now))
	self := n.table.Self()
	self.Generation = c.Generation
	n.replaceSelf(self, now)
	n.mu.Unlock()
	n.generation.fire()
	n.log.Emit(event.GenerationInForce, event.Fields{
		"generation": c.Generation, "change_id": c.ChangeID, "age": now.Sub(c.AcceptedAt).String(),
	})
	return nil
}

// schedule recomputes Board.View when a planned change becomes due, by this
// host's clock alone.
func (n *Node) schedule(ctx context.Context) {
	for {
		accepted := n.generation.wait()
		wait := clockStep
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
			n.applyDue()
		}
	}
}

func (n *Node) applyDue() {
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

// freshened notes that at time at the platform's state was known to a peer
// that has the given generation in force. It says something about this process
// only if it has that generation, too.
func (n *Node) freshened(generation uint64, age time.Duration, now time.Time) {
	if age < 0 || generation > n.config.generation {
		return
	}
	n.freshAt(now.Add(-age))
}

func (n *Node) freshAt(at time.Time) {
	if at.After(n.fresh) {
		n.fresh = at
		n.tracker.Platform(at)
	}
}

// freshAge returns the age to tell peers, negative for never.
func (n *Node) freshAge(now time.Time) time.Duration {
	if n.fresh.IsZero() {
		return -1
	}
	return max(now.Sub(n.fresh), 0).Truncate(time.Millisecond)
}
