package follow

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/panics"
	"github.com/knapweedpier/knapweedpier/internal/base/suspension"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

const (
	// pollTimeout is how long a peer holds a request while it has no changes.
	pollTimeout = 500 * time.Millisecond
	// idlePollInterval is the pause before a process without a fresh peer tries its
	// peers again, and before one that follows a peer checks that it still does.
	idlePollInterval = 300 * time.Millisecond
	// seedsTimeout is how long a process polls the seeds when the whole system
	// starts for the first time, before it calls the store itself.
	seedsTimeout = 2 * time.Second
	// seedRetryDelay is the pause between two rounds of polling the seeds.
	seedRetryDelay = 100 * time.Millisecond
	// parallelPollDelay is how long the store may take before a process without a
	// complete view polls several peers at a time.
	parallelPollDelay = 60 * time.Millisecond
	// maxParallelPolls is the number of peers that it then polls at a time.
	maxParallelPolls = 4
)

// followPeers polls the upstream peers in order, each time up to the first that
// responds with a fresh view, until ctx ends.
func (f *Follower) followPeers(ctx context.Context, conns *peerConns) {
	for ctx.Err() == nil {
		fresh := false
		for _, peer := range f.upstreamPeers() {
			if f.pollPeer(ctx, conns, peer) {
				fresh = true
				break
			}
		}
		if !fresh && f.opts.Board.Source() != f.opts.Name {
			f.setPath()
		}
		// A process whose calls of the store fail keeps calling it although a peer
		// responds, because other processes may follow this one.
		f.setFollowsPeer(fresh && !f.storeLost.Load())
		if !fresh {
			delay.Sleep(ctx, idlePollInterval)
		}
	}
}

// pollSeeds polls the seeds until one has supplied a complete view or
// seedsTimeout has passed. When the whole system starts, this avoids a listing of
// the store by each process.
func (f *Follower) pollSeeds(ctx context.Context, conns *peerConns) {
	ctx, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, seed := range f.opts.Seeds {
			if f.pollPeer(ctx, conns, seed) && f.opts.Board.View().Complete() {
				f.setFollowsPeer(true)
				return
			}
		}
		delay.Sleep(ctx, seedRetryDelay)
	}
}

// fetchInitialView polls several peers at a time until the view is complete: a
// balancer can't forward anything until then, and after a power cut some peers
// are down and leave connection attempts unanswered.
func (f *Follower) fetchInitialView(ctx context.Context) {
	delay.Sleep(ctx, parallelPollDelay)
	for ctx.Err() == nil && !f.opts.Board.View().Complete() {
		peers := f.upstreamPeers()
		f.pollInParallel(ctx, peers[:min(len(peers), maxParallelPolls)])
		delay.Sleep(ctx, minRetryDelay)
	}
}

// pollInParallel polls peers at the same time, until the view is complete or every
// poll has ended.
func (f *Follower) pollInParallel(ctx context.Context, peers []netip.AddrPort) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, peer := range peers {
		wg.Go(func() {
			conns := newPeerConns(f.opts.Dial)
			defer conns.closeAll()
			if f.pollPeer(ctx, conns, peer) && f.opts.Board.View().Complete() {
				cancel()
			}
		})
	}
	wg.Wait()
}

// pollPeer sends one request to a peer, applies the response and reports whether the
// peer's view is fresh and comes from a process that the store serves, not through this one.
func (f *Follower) pollPeer(ctx context.Context, conns *peerConns, peer netip.AddrPort) bool {
	requested := suspension.Now()
	request := newChangesRequest(f.opts.Board.View(), pollTimeout)
	request.From = f.opts.Name
	if f.needsConfiguration.Swap(false) {
		request.Known[view.ConfigurationSection] = 0
	}
	response, err := conns.poll(ctx, peer, request)
	if err != nil {
		if ctx.Err() == nil {
			f.opts.Logger.EmitError(event.PeerLost, err, event.Fields{"peer": peer.String()})
		}
		return false
	}
	fresh := false
	// The view changes as a whole or not at all, so a panic leaves none half changed.
	panicked, _ := panics.Handle(f.opts.Logger, func() error {
		fresh = f.applyResponse(requested.Time(), response)
		return nil
	})
	return fresh && !panicked
}

// applyResponse applies the deltas of a peer's response and confirms the view to which
// they lead. It reports whether the peer's view is fresh, of the current era, and comes from a
// process that the store serves, not through this one.
func (f *Follower) applyResponse(requestedAt time.Time, response ChangesResponse) bool {
	applied := true
	for _, d := range response.Deltas {
		if !f.applyDelta(d) {
			applied = false
			if d.Section == view.ConfigurationSection && d.To.Era() > 0 {
				f.needsConfiguration.Store(true)
			}
		}
	}
	if age := response.knownAgeMS(); age < 0 || age > maxViewAge.Milliseconds() {
		return false
	}
	if applied { // otherwise the view has changed since the request
		f.confirmFromPeer(requestedAt, response)
	}
	path := response.path()
	if response.isOfEarlierEra(f.opts.Board.View()) {
		return false
	}
	if !isUsablePath(path, f.opts.Name) {
		return false
	}
	f.setPath(append(path, f.opts.Name)...)
	return true
}

// isUsablePath reports whether a process may follow a peer with this path: the peer has a
// source, and doesn't itself follow the process. Processes that follow each other would
// keep an old view.
func isUsablePath(path []string, process string) bool {
	return len(path) > 0 && !slices.Contains(path, process)
}

// confirmFromPeer records the ages of a peer's view. The peer sent them no sooner than
// HeldMS after the request.
func (f *Follower) confirmFromPeer(requestedAt time.Time, r ChangesResponse) {
	sentAt := requestedAt.Add(time.Duration(r.HeldMS) * time.Millisecond)
	if now := time.Now(); sentAt.After(now) {
		sentAt = requestedAt // this process was suspended meanwhile
	}
	for _, s := range view.Sections() {
		age, confirm := r.AgeMS, f.opts.Board.ConfirmInEra
		if s == view.MembersSection {
			age = r.membersAgeMS()
			if !r.MembersIncomplete {
				confirm = func(_ view.Section, era int64, at time.Time) { f.opts.Board.ConfirmComplete(era, at) }
			}
		}
		if age >= 0 {
			confirm(s, r.Eras[s], sentAt.Add(-time.Duration(age)*time.Millisecond))
		}
	}
}
