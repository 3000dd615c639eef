package distribution

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Intervals, time limits and bounds of reading the platform.
const (
	watchWait           = time.Second // must be less than isolation.IsolatedAfter, since each response counts as contact
	platformTimeout     = 2 * time.Second
	membersReadInterval = 10 * time.Second
	watchCheckInterval  = 250 * time.Millisecond
	platformRetryDelay  = 500 * time.Millisecond
	// announcementRetention is the age at which announcements are deleted. It
	// exceeds both the lease and the clock errors of hosts.
	announcementRetention = 24 * time.Hour
	maxDeletesPerListing  = 20 // bounds the deletes after one listing
	// seedWait is how long a fresh process waits for a seed before it reads
	// the platform. When a failure domain of 655 processes restarts, their
	// listings of all announcements would exceed the platform's read capacity
	// for seconds, although any peer has the same state.
	seedWait = 1500 * time.Millisecond
)

const membersPrefix = "members/"

// watcher holds how far this process has read the platform.
type watcher struct {
	node            *Node
	configRevision  uint64 // revision up to which the configuration was read, 0: not read yet
	membersRevision uint64 // revision up to which announcements were read, 0: not read yet
	membersReadAt   time.Time
	platformLost    bool
}

// watchPlatform reads the platform while this process is one of the watchers of
// its failure domain, or while no partner answers.
func (n *Node) watchPlatform(ctx context.Context) {
	w := &watcher{node: n}
	n.awaitSeeds(ctx)
	for ctx.Err() == nil {
		if !n.shouldWatch() {
			w.configRevision = 0 // changes are learned from peers until the next full read
			delay.Sleep(ctx, watchCheckInterval)
			continue
		}
		if err := w.watchOnce(ctx); err != nil {
			w.recordFailure(ctx, err)
			delay.Sleep(ctx, platformRetryDelay/2+rand.N(platformRetryDelay))
		}
	}
}

// awaitSeeds returns once a seed has answered, or after seedWait.
func (n *Node) awaitSeeds(ctx context.Context) {
	if len(n.opts.Seeds) == 0 {
		return
	}
	for end := n.now().Add(seedWait); n.now().Before(end); {
		n.mu.Lock()
		answered := n.hasLivePartner(n.now())
		n.mu.Unlock()
		if answered || !delay.Sleep(ctx, watchCheckInterval/5) {
			return
		}
	}
}

func (n *Node) shouldWatch() bool {
	now := n.now()
	members := n.Board.Members.Get().Members
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.hasLivePartner(now) || isPlatformWatcher(n.table.Self(), members)
}

func (w *watcher) watchOnce(ctx context.Context) error {
	if err := w.readMembers(ctx); err != nil {
		return err
	}
	return w.readConfig(ctx)
}

func (w *watcher) readConfig(ctx context.Context) error {
	listing, err := w.listOrWatch(ctx, config.ObjectKey, w.configRevision, watchWait)
	if err != nil {
		return err
	}
	for _, object := range listing.Objects {
		if object.Key == config.ObjectKey && object.Version != 0 {
			_ = w.node.acceptConfig(object.Value, "platform") // already logged; the platform has answered in any case
		}
	}
	w.configRevision = nextRevision(w.configRevision, listing.Revision)
	w.recordSuccess()
	return nil
}

// nextRevision returns 0, which leads to a full read, if the platform's revision
// went back, as after a restore.
func nextRevision(last, now uint64) uint64 {
	if now < last {
		return 0
	}
	return now
}

// listOrWatch returns all objects under prefix if after is 0, and otherwise what
// changed after that revision.
func (w *watcher) listOrWatch(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectstore.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+platformTimeout)
	defer cancel()
	if after == 0 {
		return w.node.opts.Store.List(ctx, prefix)
	}
	return w.node.opts.Store.Watch(ctx, prefix, after, wait)
}

// readMembers reads announcements every membersReadInterval, or at once while no
// peer is known. At the start they give the first members; later they connect
// parts of the fleet that do not know of each other.
func (w *watcher) readMembers(ctx context.Context) error {
	now := w.node.now()
	if !w.membersReadAt.IsZero() && now.Sub(w.membersReadAt) < membersReadInterval && w.node.hasPeers() {
		return nil
	}
	listing, err := w.listOrWatch(ctx, membersPrefix, w.membersRevision, time.Millisecond)
	if err != nil {
		return err
	}
	w.membersReadAt = now
	w.membersRevision = nextRevision(w.membersRevision, listing.Revision)
	w.node.mergeAnnouncements(listing.Objects)
	w.deleteOldAnnouncements(ctx, listing.Objects, now)
	return nil
}

// deleteOldAnnouncements deletes announcements of processes that no longer exist.
// Replacement hosts have new IDs, so no later announcement overwrites them. A
// conditional delete that fails is tried again after a later full listing.
func (w *watcher) deleteOldAnnouncements(ctx context.Context, objects []objectstore.Object, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	deleted := 0
	for _, object := range objects {
		var a announcement
		if object.Version == 0 || json.Unmarshal(object.Value, &a) != nil || now.Sub(a.AnnouncedAt) < announcementRetention {
			continue
		}
		if deleted++; deleted > maxDeletesPerListing || w.node.opts.Store.Delete(ctx, object.Key, object.Version) != nil {
			return
		}
	}
}

func (n *Node) hasPeers() bool { return len(n.Board.Members.Get().Members) > 1 }

func (n *Node) mergeAnnouncements(objects []objectstore.Object) {
	now := n.now()
	var changes []membership.Change
	for _, object := range objects {
		if object.Version == 0 {
			continue
		}
		a, err := decodeAnnouncement(object.Value, n.opts.KeyRing())
		if err != nil {
			n.logRefusedAnnouncement(object.Key, err)
			continue
		}
		age := max(now.Sub(a.AnnouncedAt), 0)
		if age < membership.Lease {
			changes = append(changes, membership.Change{Record: a.Record, Age: age})
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.merge(changes, now)
}

func (n *Node) logRefusedAnnouncement(key string, err error) {
	id := event.PeerMessageRefused
	if errkind.Is(err, errkind.PeerUnauthorized) {
		id = event.PeerRefused
	}
	n.log.EmitError(id, err, event.Fields{"key": key})
}

func (w *watcher) recordSuccess() {
	n, now := w.node, w.node.now()
	n.mu.Lock()
	n.recordPlatformContact(now)
	n.mu.Unlock()
	if w.platformLost {
		w.platformLost = false
		n.log.Emit(event.PlatformBack, nil)
	}
}

func (w *watcher) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.platformLost = true
	w.node.log.EmitError(event.PlatformLost, err, nil)
}
