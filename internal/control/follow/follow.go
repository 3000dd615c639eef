// Package follow keeps a process's view current. In each failure domain one
// process watches the store and the others long-poll it over jsonrpc2. A process
// that gets no fresh response from a peer watches the store itself, and one whose
// calls of the store fail polls peers in all failure domains.
//
// The package reaches the store only through the interface Store and must not
// import an implementation of it.
package follow

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/rendezvous"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

const (
	// The watch timeouts are how long the store holds a watch without changes.
	// They bound how long it goes unnoticed that the store no longer serves a
	// watch, and are shorter than the time within which a change must be in
	// force.
	configurationWatchTimeout = 2500 * time.Millisecond
	evacuationsWatchTimeout   = 2500 * time.Millisecond
	// A balancer resets no lost flow while its members are older than 2 s, so they
	// are confirmed more often.
	membersWatchTimeout = 1200 * time.Millisecond
	// watchPause is the pause between a watch that returned changes and the next
	// watch, so that changes in quick succession cost one call.
	watchPause = 300 * time.Millisecond
	// pollTimeout is how long a peer holds a request while it has no changes.
	pollTimeout = 700 * time.Millisecond
	// pollGrace is added to the time for which a peer may hold a request, before
	// the peer counts as unresponsive.
	pollGrace = 400 * time.Millisecond
	// maxPeerViewAge is the age of a peer's members up to which the peer is followed.
	maxPeerViewAge = 3500 * time.Millisecond
	// followersPerUpstream is the number of processes of a failure domain for each
	// process that they poll first, so that the load on one process doesn't grow
	// with the failure domain.
	followersPerUpstream = 24
	// minRetryDelay and maxRetryDelay bound the pause after a failed call of the
	// store. It doubles with each failure.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
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

// Change is the state of one object of the store, from a listing or a watch.
type Change struct {
	Name          string
	Deleted       bool                // the object was deleted
	Configuration *view.Configuration // ConfigurationSection
	Member        *view.Member        // MembersSection
	Err           error               // why the object can't be used, nil otherwise
}

// Store is the platform's object store. Its errors have the kinds PlatformDown,
// PlatformLimited, VersionConflict, NotFound and HistoryGone.
type Store interface {
	// List returns all objects of a section and the store's revision.
	List(ctx context.Context, s view.Section) ([]Change, view.Revision, error)
	// Watch returns the changes after revision since as soon as there are any, or
	// none after wait, and the revision from which to continue.
	Watch(ctx context.Context, s view.Section, since view.Revision, wait time.Duration) ([]Change, view.Revision, error)
	// WriteMember writes a member if its object still has revision m.Revision; 0
	// means that the object must not exist. It returns the object's revision,
	// also after a conflict.
	WriteMember(ctx context.Context, m view.Member) (view.Revision, error)
	// DeleteMember removes a member if its object still has revision known.
	DeleteMember(ctx context.Context, name string, known view.Revision) error
}

// Options are the parameters of a Follower.
type Options struct {
	Name        string         // the member name of this process
	PeerAddress netip.AddrPort // address at which this process serves peers
	Domain      string
	Role        view.Role
	Store       Store
	Board       *view.Board
	Logger      *event.Logger
	// Seeds are the peers that a process polls while it knows no others.
	// PeerAddress may be one of them.
	Seeds []netip.AddrPort
	// FirstStart is set when the whole system starts for the first time: the
	// process polls the seeds before it calls the store, which delays no traffic
	// because there is none yet.
	FirstStart bool
}

// Follower keeps a board current from the store or from peers.
type Follower struct {
	opts        Options
	followsPeer atomic.Bool // a peer's responses are fresh, so no watches are needed
	storeLost   atomic.Bool // the last call of the store failed
}

// New returns a follower, which does nothing before Run.
func New(opts Options) *Follower { return &Follower{opts: opts} }

// Run keeps the board current until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	conns := newPeerConns()
	defer conns.closeAll()
	if f.opts.FirstStart && !f.isSeed() {
		f.pollSeeds(ctx, conns)
	}
	var wg sync.WaitGroup
	for _, s := range view.Sections() {
		wg.Go(func() { f.followStore(ctx, s) })
	}
	wg.Go(func() { f.followPeers(ctx, conns) })
	wg.Go(func() { f.fetchInitialView(ctx) })
	wg.Wait()
}

// followStore keeps one section current from the store while the process follows
// no peer.
func (f *Follower) followStore(ctx context.Context, s view.Section) {
	var cursor view.Revision
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if f.followsPeer.Load() {
			// Changes from peers make the cursor out of date.
			cursor = 0
			delay.Sleep(ctx, idlePollInterval)
			continue
		}
		if f.storeLost.Load() && s != view.MembersSection {
			// While the store is unavailable, only the members' calls continue, to
			// detect that it serves this process again.
			delay.Sleep(ctx, minRetryDelay)
			continue
		}
		if cursor == 0 {
			cursor = f.opts.Board.View().Revision(s)
		}
		next, err := f.listOrWatch(ctx, s, cursor)
		if ctx.Err() != nil {
			return
		}
		f.recordStoreResult(err)
		if errkind.Is(err, errkind.HistoryGone) {
			next, err = f.listSection(ctx, s)
			f.recordStoreResult(err)
		}
		if err != nil {
			delay.Sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		cursor, retryDelay = next, minRetryDelay
	}
}

// listOrWatch lists a section without a cursor, and watches it from the cursor
// otherwise. It returns the next cursor.
func (f *Follower) listOrWatch(ctx context.Context, s view.Section, cursor view.Revision) (view.Revision, error) {
	if cursor == 0 {
		return f.listSection(ctx, s)
	}
	wait := f.watchTimeout(s)
	requestedAt := time.Now()
	changes, revision, err := f.opts.Store.Watch(ctx, s, cursor, wait)
	if err != nil {
		return cursor, err
	}
	if len(changes) == 0 {
		f.opts.Board.Confirm(s, unchangedUntil(requestedAt, time.Now(), wait))
		return revision, nil
	}
	f.applyChanges(s, changes, revision)
	// The response may have been on its way for long, so that later changes are
	// possible from the request on.
	f.opts.Board.Confirm(s, requestedAt)
	delay.Sleep(ctx, watchPause)
	return revision, nil
}

// unchangedUntil returns the time up to which a watch without changes vouches for the
// view: the store sends its response no sooner than after the wait.
func unchangedUntil(requestedAt, receivedAt time.Time, wait time.Duration) time.Time {
	if until := requestedAt.Add(wait); !until.After(receivedAt) {
		return until
	}
	return requestedAt
}

// watchTimeout returns how long the store may hold a watch of a section. While the
// store is unavailable, it is to respond at once.
func (f *Follower) watchTimeout(s view.Section) time.Duration {
	if f.storeLost.Load() {
		return 0
	}
	switch s {
	case view.ConfigurationSection:
		return configurationWatchTimeout
	case view.EvacuationsSection:
		return evacuationsWatchTimeout
	}
	return membersWatchTimeout
}

func (f *Follower) listSection(ctx context.Context, s view.Section) (view.Revision, error) {
	requestedAt := time.Now()
	changes, revision, err := f.opts.Store.List(ctx, s)
	if err != nil {
		return 0, err
	}
	d := view.Delta{Section: s, To: revision, Full: true}
	f.addChanges(&d, view.View{}, changes)
	if s == view.ConfigurationSection && d.Configuration == nil {
		// No configuration has been written yet.
		return 0, errkind.New(errkind.NotFound, "no configuration in the store")
	}
	f.applyDelta(d)
	f.opts.Board.Confirm(s, requestedAt)
	return revision, nil
}

// applyChanges applies the changes of a watch to the board.
func (f *Follower) applyChanges(s view.Section, changes []Change, revision view.Revision) {
	v := f.opts.Board.View()
	d := view.Delta{Section: s, From: v.Revision(s), To: revision}
	f.addChanges(&d, v, changes)
	f.applyDelta(d)
}

// addChanges adds changes to d, as differences from v. It logs and skips objects
// that can't be used.
func (f *Follower) addChanges(d *view.Delta, v view.View, changes []Change) {
	domains := map[string]bool{}
	for domain := range v.Evacuations.Domains {
		domains[domain] = true
	}
	for _, c := range changes {
		if c.Err != nil {
			f.opts.Logger.EmitError(event.StoredObjectRefused, c.Err, event.Fields{"object": c.Name, "section": d.Section})
			continue
		}
		switch {
		case d.Section == view.EvacuationsSection && c.Deleted:
			delete(domains, c.Name)
		case d.Section == view.EvacuationsSection:
			domains[c.Name] = true
		case c.Deleted:
			d.Gone = append(d.Gone, c.Name)
		case c.Member != nil:
			d.Gone = slices.DeleteFunc(d.Gone, func(name string) bool { return name == c.Name })
			d.Members = append(d.Members, *c.Member)
		case c.Configuration != nil:
			d.Configuration = c.Configuration.DeltaFrom(v.Configuration)
		}
	}
	if d.Section == view.EvacuationsSection {
		for domain := range domains {
			d.Domains = append(d.Domains, domain)
		}
		slices.Sort(d.Domains)
	}
}

func (f *Follower) applyDelta(d view.Delta) {
	if !f.opts.Board.Apply(d) {
		return
	}
	fields := event.Fields{"section": d.Section, "revision": d.To, "full": d.Full}
	switch {
	case d.Configuration != nil:
		fields["version"], fields["routes"] = d.Configuration.Version, len(d.Configuration.Routes)
		fields["dropped"] = len(d.Configuration.Dropped)
	case d.Section == view.EvacuationsSection:
		fields["domains"] = d.Domains
	default:
		fields["members"], fields["gone"] = len(d.Members), len(d.Gone)
	}
	f.opts.Logger.Emit(event.ViewChanged, fields)
}

// recordStoreResult records from the error of a call whether the store serves this
// process, updates the source accordingly and logs changes.
func (f *Follower) recordStoreResult(err error) {
	if err == nil || errkind.Is(err, errkind.HistoryGone) || errkind.Is(err, errkind.NotFound) {
		if !f.followsPeer.Load() {
			f.setSource(f.opts.Name)
		}
		if f.storeLost.Swap(false) {
			f.opts.Logger.Emit(event.PlatformBack, nil)
		}
		return
	}
	if !f.storeLost.Swap(true) {
		f.opts.Logger.EmitError(event.PlatformLost, err, nil)
	}
	if f.opts.Board.Source() == f.opts.Name {
		f.setSource("")
	}
}

// setSource records the process whose calls of the store keep the view current,
// "" for none, and logs a change.
func (f *Follower) setSource(process string) {
	if f.opts.Board.SetSource(process) {
		f.opts.Logger.Emit(event.ViewSourceChanged, event.Fields{"source": process, "age_ms": f.opts.Board.AgeMS()})
	}
}

// upstreamPeers returns the peers to poll, in order: those of this failure domain
// that rank before this process, then all others while the store is unavailable,
// then the seeds while the view is incomplete. A process that is not a seed also
// polls the seeds while its view has no members.
func (f *Follower) upstreamPeers() []netip.AddrPort {
	var upstreams, others []view.Member
	v := f.opts.Board.View()
	for _, m := range v.Members.ByName {
		switch {
		case m.Name == f.opts.Name:
		case m.Domain == f.opts.Domain && f.ranksAfter(m):
			upstreams = append(upstreams, m)
		default:
			others = append(others, m)
		}
	}
	slices.SortFunc(upstreams, compareUpstreams)
	upstreams = rotateUpstreams(upstreams, f.opts.Name)
	if f.storeLost.Load() {
		slices.SortFunc(others, compareUpstreams)
		upstreams = append(upstreams, others...)
	}
	var peers []netip.AddrPort
	for _, m := range upstreams {
		peers = append(peers, m.Peer)
	}
	noMembers := len(v.Members.ByName) == 0 && !f.isSeed()
	if !v.Complete() || noMembers {
		peers = append(peers, f.opts.Seeds...)
	}
	return slices.DeleteFunc(peers, func(peer netip.AddrPort) bool { return peer == f.opts.PeerAddress })
}

// rotateUpstreams rotates the first peers of the list by a hash of name, so that the
// processes of a large failure domain don't all poll the same peer first.
func rotateUpstreams(upstreams []view.Member, name string) []view.Member {
	firstCount := 1 + len(upstreams)/followersPerUpstream
	if len(upstreams) <= firstCount {
		return upstreams
	}
	offset := int(rendezvous.Hash(name) % uint64(firstCount))
	return slices.Concat(upstreams[offset:firstCount], upstreams[:offset], upstreams[firstCount:])
}

// isSeed reports whether this process is one of the seeds.
func (f *Follower) isSeed() bool { return slices.Contains(f.opts.Seeds, f.opts.PeerAddress) }

// ranksAfter reports whether this process ranks after m in its failure domain.
func (f *Follower) ranksAfter(m view.Member) bool {
	return compareUpstreams(m, view.Member{Name: f.opts.Name, Role: f.opts.Role}) < 0
}

// compareUpstreams orders members for polling: agents first, then by name. The
// links of balancers carry callers' packets, and some have too little bandwidth to
// also send large configurations to others.
func compareUpstreams(a, b view.Member) int {
	if a.Role != b.Role {
		if a.Role == view.AgentRole {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Name, b.Name)
}

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
			f.setSource("")
		}
		// A process whose calls of the store fail keeps calling it although a peer
		// responds, because other processes may follow this one.
		f.followsPeer.Store(fresh && !f.storeLost.Load())
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
				f.followsPeer.Store(true)
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
			conns := newPeerConns()
			defer conns.closeAll()
			if f.pollPeer(ctx, conns, peer) && f.opts.Board.View().Complete() {
				cancel()
			}
		})
	}
	wg.Wait()
}

// pollPeer sends one request to a peer, applies the deltas of the response and
// reports whether the peer's view is fresh and comes from another process that the
// store serves.
func (f *Follower) pollPeer(ctx context.Context, conns *peerConns, peer netip.AddrPort) bool {
	requestedAt := time.Now()
	response, err := conns.poll(ctx, peer, newChangesRequest(f.opts.Board.View(), pollTimeout))
	if err != nil {
		if ctx.Err() == nil {
			f.opts.Logger.EmitError(event.PeerLost, err, event.Fields{"peer": peer.String()})
		}
		return false
	}
	for _, d := range response.Deltas {
		f.applyDelta(d)
	}
	membersAgeMS := response.membersAgeMS()
	if membersAgeMS < 0 || membersAgeMS > maxPeerViewAge.Milliseconds() {
		return false
	}
	if response.Source == "" || response.Source == f.opts.Name {
		// The peer has no source, or this process is its source. Two processes
		// that follow each other would keep an old view.
		return false
	}
	f.setSource(response.Source)
	f.confirmFromPeer(requestedAt, response)
	return true
}

// confirmFromPeer records the ages of a peer's view. The peer sent them no sooner than
// HeldMS after the request.
func (f *Follower) confirmFromPeer(requestedAt time.Time, r ChangesResponse) {
	sentAt := requestedAt.Add(time.Duration(r.HeldMS) * time.Millisecond)
	for _, s := range view.Sections() {
		age := r.AgeMS
		if s == view.MembersSection {
			age = r.membersAgeMS()
		}
		if age >= 0 {
			f.opts.Board.Confirm(s, sentAt.Add(-time.Duration(age)*time.Millisecond))
		}
	}
}
