package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

// Times of announcements.
const (
	announceInterval = 10 * time.Minute
	announceJitter   = time.Minute // added or taken away, so that a fleet started at once spreads
	announceRetry    = 2 * time.Second
	maxAnnounceRetry = time.Minute
)

// announceRegularly writes the own record to the platform. Each announcement
// also raises the sequence, which renews the lease through peers during an
// outage of the platform.
func (n *Node) announceRegularly(ctx context.Context) {
	for {
		n.announceUntilDone(ctx)
		if !delay.Sleep(ctx, announceInterval-announceJitter+rand.N(2*announceJitter)) {
			return
		}
		n.renew()
	}
}

func (n *Node) renew() {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replaceSelf(n.table.Self(), now)
}

func (n *Node) announceUntilDone(ctx context.Context) {
	for retry := announceRetry; ctx.Err() == nil; retry = min(2*retry, maxAnnounceRetry) {
		err := n.announce(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		n.log.Failure(event.AnnouncementFailed, err, nil)
		delay.Sleep(ctx, retry/2+rand.N(retry))
	}
}

// announce writes the own record once.
func (n *Node) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	n.announcing.Lock()
	defer n.announcing.Unlock()
	self := n.Self()
	key := membersPrefix + string(self.Role) + "/" + self.ID
	value, err := announcement{Record: self, AnnouncedAt: n.now()}.encode(n.opts.Ring())
	if err != nil {
		return err
	}
	object, err := n.opts.Store.Put(ctx, key, value, n.announceVersion)
	if errkind.Is(err, errkind.VersionConflict) { // of a predecessor, or of a write whose answer was lost
		current, getErr := n.opts.Store.Get(ctx, key)
		if getErr != nil {
			return getErr
		}
		object, err = n.opts.Store.Put(ctx, key, value, current.Version)
	}
	if err == nil {
		n.announceVersion = object.Version
	}
	return err
}

func (n *Node) announceGone(ctx context.Context) {
	if err := n.announce(ctx); err != nil {
		n.log.Failure(event.AnnouncementFailed, err, nil)
	}
}
