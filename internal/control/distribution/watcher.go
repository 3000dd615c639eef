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

// Times of watching the platform.
const (
	watchWait       = time.Second // less than isolation.After, since each answer is a contact
	platformTimeout = 2 * time.Second
	membersInterval = 10 * time.Second
	watchCheck      = 250 * time.Millisecond
	retryPlatform   = 500 * time.Millisecond
	// keepAnnouncement exceeds the clock errors of hosts as well as the lease.
	keepAnnouncement = 24 * time.Hour
	maxCollect       = 20 // objects deleted after one listing
	// seedsFirst is how long a fresh process waits for a seed before it reads
	// the platform. When a failure domain of 655 processes comes back, their
	// listings of all announcements would exceed the platform's reads for
	// seconds, while any peer has the same state.
	seedsFirst = 1500 * time.Millisecond
)

const membersPrefix = "members/"

// watcher is what one process has read from the platform.
type watcher struct {
	node        *Node
	config      uint64 // revision up to which configurations were read, 0: nothing yet
	members     uint64 // revision up to which announcements were read
	membersRead time.Time
	lost        bool
}

// watchPlatform reads the platform while this process is one of the watchers of
// its failure domain or has no usable peer.
func (n *Node) watchPlatform(ctx context.Context) {
	w := &watcher{node: n}
	n.awaitSeeds(ctx)
	for ctx.Err() == nil {
		if !n.shouldWatch() {
			w.config = 0 // what happens meanwhile is learned from peers
			delay.Sleep(ctx, watchCheck)
			continue
		}
		if err := w.round(ctx); err != nil {
			w.failed(ctx, err)
			delay.Sleep(ctx, retryPlatform/2+rand.N(retryPlatform))
		}
	}
}

// awaitSeeds returns once a seed has answered, or after seedsFirst.
func (n *Node) awaitSeeds(ctx context.Context) {
	if len(n.opts.Seeds) == 0 {
		return
	}
	for end := n.now().Add(seedsFirst); n.now().Before(end); {
		n.mu.Lock()
		answered := n.usable(n.now())
		n.mu.Unlock()
		if answered || !delay.Sleep(ctx, watchCheck/5) {
			return
		}
	}
}

func (n *Node) shouldWatch() bool {
	now := n.now()
	members := n.Board.Members.Get().Members
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.usable(now) || watches(n.table.Self(), members)
}

func (w *watcher) round(ctx context.Context) error {
	if err := w.readMembers(ctx); err != nil {
		return err
	}
	return w.readConfig(ctx)
}

func (w *watcher) readConfig(ctx context.Context) error {
	listing, err := w.read(ctx, config.ObjectKey, w.config, watchWait)
	if err != nil {
		return err
	}
	for _, object := range listing.Objects {
		if object.Key == config.ObjectKey && object.Version != 0 {
			_ = w.node.accept(object.Value, "platform") // logged; the platform was reached all the same
		}
	}
	w.config = nextRevision(w.config, listing.Revision)
	w.contact()
	return nil
}

// nextRevision starts over after the platform went back, as a restored one
// does.
func nextRevision(last, now uint64) uint64 {
	if now < last {
		return 0
	}
	return now
}

// read returns everything under prefix, or what changed after a revision.
func (w *watcher) read(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectstore.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+platformTimeout)
	defer cancel()
	if after == 0 {
		return w.node.opts.Store.List(ctx, prefix)
	}
	return w.node.opts.Store.Watch(ctx, prefix, after, wait)
}

// readMembers reads announcements now and then: at the start they are the
// first members known, and later they join parts of the fleet that never heard
// of each other.
func (w *watcher) readMembers(ctx context.Context) error {
	now := w.node.now()
	if !w.membersRead.IsZero() && now.Sub(w.membersRead) < membersInterval && w.node.hasPeers() {
		return nil
	}
	listing, err := w.read(ctx, membersPrefix, w.members, time.Millisecond)
	if err != nil {
		return err
	}
	w.membersRead = now
	w.members = nextRevision(w.members, listing.Revision)
	w.node.takeAnnouncements(listing.Objects)
	w.collect(ctx, listing.Objects, now)
	return nil
}

// collect deletes announcements of processes that have long ceased to exist.
// Hosts are replaced with new IDs, so nobody else would. A conditional delete
// that fails is tried again by a later full listing.
func (w *watcher) collect(ctx context.Context, objects []objectstore.Object, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	deleted := 0
	for _, object := range objects {
		var a announcement
		if object.Version == 0 || json.Unmarshal(object.Value, &a) != nil || now.Sub(a.AnnouncedAt) < keepAnnouncement {
			continue
		}
		if deleted++; deleted > maxCollect || w.node.opts.Store.Delete(ctx, object.Key, object.Version) != nil {
			return
		}
	}
}

func (n *Node) hasPeers() bool { return len(n.Board.Members.Get().Members) > 1 }

func (n *Node) takeAnnouncements(objects []objectstore.Object) {
	now := n.now()
	var changes []membership.Change
	for _, object := range objects {
		if object.Version == 0 {
			continue
		}
		a, err := decodeAnnouncement(object.Value, n.opts.Ring())
		if err != nil {
			n.refuseAnnouncement(object.Key, err)
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

func (n *Node) refuseAnnouncement(key string, err error) {
	id := event.PeerMessageRefused
	if errkind.Is(err, errkind.PeerUnauthorized) {
		id = event.PeerRefused
	}
	n.log.Failure(id, err, event.Fields{"key": key})
}

func (w *watcher) contact() {
	n, now := w.node, w.node.now()
	n.mu.Lock()
	n.freshAt(now)
	n.mu.Unlock()
	if w.lost {
		w.lost = false
		n.log.Emit(event.PlatformBack, nil)
	}
}

func (w *watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.lost = true
	w.node.log.Failure(event.PlatformLost, err, nil)
}
