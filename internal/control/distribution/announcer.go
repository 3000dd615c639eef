package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

// Intervals and retry delays of announcements.
const (
	announceInterval = 10 * time.Minute
	announceJitter   = time.Minute // added or subtracted, so that processes started together do not announce together
	minAnnounceRetry = 2 * time.Second
	maxAnnounceRetry = time.Minute
)

// announcePeriodically writes this process's record to the platform. Before
// each repetition it raises the sequence, so that peers renew the lease of this
// process even while the platform is down.
func (n *Node) announcePeriodically(ctx context.Context) {
	for {
		n.announceWithRetry(ctx)
		if !delay.Sleep(ctx, announceInterval-announceJitter+rand.N(2*announceJitter)) {
			return
		}
		n.renewLease()
	}
}

// renewLease raises the sequence of this process's record without another change.
func (n *Node) renewLease() {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replaceSelf(n.table.Self(), now)
}

// announceWithRetry announces until it succeeds or ctx ends, with exponential
// backoff.
func (n *Node) announceWithRetry(ctx context.Context) {
	for retry := minAnnounceRetry; ctx.Err() == nil; retry = min(2*retry, maxAnnounceRetry) {
		err := n.announce(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		n.log.EmitError(event.AnnouncementFailed, err, nil)
		delay.Sleep(ctx, retry/2+rand.N(retry))
	}
}

// announce writes this process's record to the platform once.
func (n *Node) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	self := n.Self()
	key := membersPrefix + string(self.Role) + "/" + self.ID
	value, err := announcement{Record: self, AnnouncedAt: n.now()}.encode(n.opts.KeyRing())
	if err != nil {
		return err
	}
	object, err := n.opts.Store.Put(ctx, key, value, n.announceVersion)
	if errkind.Is(err, errkind.VersionConflict) { // with a predecessor's object, or with an earlier write whose response was lost
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

// announceFinal writes the last announcement of a process that stops. A failure
// is only logged.
func (n *Node) announceFinal(ctx context.Context) {
	if err := n.announce(ctx); err != nil {
		n.log.EmitError(event.AnnouncementFailed, err, nil)
	}
}
