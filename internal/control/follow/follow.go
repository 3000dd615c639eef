// Package follow keeps a process's view current. In each failure domain one process
// watches the store and the others ask it over jsonrpc2; a process that has no
// fresh answer from a peer watches the store itself, and one that the store
// turns away asks peers in all failure domains.
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
	// The waits are how long the store holds a watch without changes. They
	// bound how long a watch that the store no longer serves goes unnoticed,
	// and are shorter than the time in which a change is to be in force.
	configurationWait = 2500 * time.Millisecond
	evacuationsWait   = 4 * time.Second
	membersWait       = 8 * time.Second
	// rearm is the pause after changes before the next watch, so that changes
	// in quick succession cost one call.
	rearm = 300 * time.Millisecond
	// pingInterval is how often a process that watches asks whether the store
	// still answers it.
	pingInterval = 1200 * time.Millisecond
	// peerWait is how long a peer holds a question without changes.
	peerWait = 700 * time.Millisecond
	// peerMargin is added to peerWait until a peer counts as silent.
	peerMargin = 400 * time.Millisecond
	// freshAge is the age of a peer's view up to which it is followed.
	freshAge = 3500 * time.Millisecond
	// followersEach is the number of processes for each of those that others of
	// the failure domain ask, so that what one answers doesn't grow with the
	// failure domain.
	followersEach = 24
	// minRetry and maxRetry bound the pause between failed calls of the store.
	minRetry = 50 * time.Millisecond
	maxRetry = 500 * time.Millisecond
	// idleCheck is how often a process without peers looks for some.
	idleCheck = 300 * time.Millisecond
	// firstStartTime is how long a process waits for the seeds when the whole
	// system starts, before it asks the store itself.
	firstStartTime = 2 * time.Second
	// seedRetry is the pause between two rounds of the seeds.
	seedRetry = 100 * time.Millisecond
	// firstAnswer is how long the store may take until a process without a
	// complete view asks several peers at a time.
	firstAnswer = 60 * time.Millisecond
	// askedAtOnce is the number of peers that it then asks.
	askedAtOnce = 4
)

// Change is one object of the store.
type Change struct {
	Name          string
	Gone          bool
	Configuration *view.Configuration // ConfigurationSection
	Member        *view.Member        // MembersSection
	Fault         error               // the object can't be used
}

// Store is the platform's object store. Errors have kind PlatformDown,
// PlatformLimited, VersionConflict, NotFound or HistoryGone.
type Store interface {
	// List returns all objects of a section and the store's revision.
	List(ctx context.Context, s view.Section) ([]Change, view.Revision, error)
	// Watch returns the changes after a revision as soon as there are some,
	// none after wait, and the revision to continue from.
	Watch(ctx context.Context, s view.Section, since view.Revision, wait time.Duration) ([]Change, view.Revision, error)
	// WriteMember writes a member if its object still has m.Revision; 0 means
	// that there is none. It returns the object's revision, after a conflict
	// too.
	WriteMember(ctx context.Context, m view.Member) (view.Revision, error)
	// Ping asks whether the store answers, at the lowest price.
	Ping(ctx context.Context) error
	// DeleteMember removes a member if its object still has the revision.
	DeleteMember(ctx context.Context, name string, known view.Revision) error
}

// Options are the fixed parts of a follower.
type Options struct {
	Name   string         // of this process among the members
	Self   netip.AddrPort // where this process answers peers
	Domain string
	Role   view.Role
	Store  Store
	Board  *view.Board
	Logger *event.Logger
	// Seeds answer processes that know no peers yet; Self may be one of them.
	Seeds []netip.AddrPort
	// FirstStart is set when the whole system starts for the first time: the
	// seeds are asked before the store, because nothing is urgent yet.
	FirstStart bool
}

// Follower keeps a board current until its context ends.
type Follower struct {
	armed     [3]atomic.Bool // by section: a watch is waiting
	o         Options
	following atomic.Bool // a peer's fresh answers make watches needless
	lost      atomic.Bool
}

// New returns a follower.
func New(o Options) *Follower { return &Follower{o: o} }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	links := newLinks()
	defer links.close()
	if f.o.FirstStart && !f.isSeed() {
		f.awaitSeeds(ctx, links)
	}
	var running sync.WaitGroup
	for i, s := range view.Sections() {
		running.Go(func() { f.followStore(ctx, s, &f.armed[i]) })
	}
	running.Go(func() { f.ping(ctx) })
	running.Go(func() { f.followPeers(ctx, links) })
	running.Go(func() { f.fetchFirstView(ctx) })
	running.Wait()
}

// ping confirms the sections whose watches wait, while the store answers.
func (f *Follower) ping(ctx context.Context) {
	for ctx.Err() == nil {
		delay.Sleep(ctx, pingInterval)
		if f.following.Load() || ctx.Err() != nil {
			continue
		}
		asked := time.Now()
		err := f.o.Store.Ping(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		for i, s := range view.Sections() {
			if err == nil && f.armed[i].Load() {
				f.o.Board.Confirm(s, asked)
			}
		}
	}
}

// followStore keeps one section current from the store while no peer does.
func (f *Follower) followStore(ctx context.Context, s view.Section, armed *atomic.Bool) {
	var cursor view.Revision
	retry := minRetry
	for ctx.Err() == nil {
		if f.following.Load() {
			// The peers' changes are newer than the cursor.
			cursor = 0
			delay.Sleep(ctx, idleCheck)
			continue
		}
		if f.lost.Load() && s != view.ConfigurationSection {
			// One section's calls find out whether the store is back.
			delay.Sleep(ctx, minRetry)
			continue
		}
		if cursor == 0 {
			cursor = f.o.Board.View().Revision(s)
		}
		armed.Store(cursor > 0)
		next, err := f.step(ctx, s, cursor)
		armed.Store(false)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		if errkind.Is(err, errkind.HistoryGone) {
			next, err = f.list(ctx, s)
			f.note(err)
		}
		if err != nil {
			delay.Sleep(ctx, retry)
			retry = min(2*retry, maxRetry)
			continue
		}
		cursor, retry = next, minRetry
	}
}

// step lists a section that is not known, and watches it otherwise.
func (f *Follower) step(ctx context.Context, s view.Section, cursor view.Revision) (view.Revision, error) {
	if cursor == 0 {
		return f.list(ctx, s)
	}
	changes, revision, err := f.o.Store.Watch(ctx, s, cursor, waitFor(s))
	if err != nil {
		return cursor, err
	}
	f.o.Board.Confirm(s, time.Now())
	if len(changes) > 0 {
		f.take(s, changes, revision)
		delay.Sleep(ctx, rearm)
	}
	return revision, nil
}

func waitFor(s view.Section) time.Duration {
	switch s {
	case view.ConfigurationSection:
		return configurationWait
	case view.EvacuationsSection:
		return evacuationsWait
	}
	return membersWait
}

func (f *Follower) list(ctx context.Context, s view.Section) (view.Revision, error) {
	asked := time.Now()
	changes, revision, err := f.o.Store.List(ctx, s)
	if err != nil {
		return 0, err
	}
	d := view.Delta{Section: s, To: revision, Full: true}
	f.fill(&d, view.View{}, changes)
	if s == view.ConfigurationSection && d.Configuration == nil {
		// Nothing is desired yet.
		return 0, errkind.New(errkind.NotFound, "no configuration in the store")
	}
	f.apply(d)
	f.o.Board.Confirm(s, asked)
	return revision, nil
}

// take turns changes into a delta.
func (f *Follower) take(s view.Section, changes []Change, revision view.Revision) {
	v := f.o.Board.View()
	d := view.Delta{Section: s, From: v.Revision(s), To: revision}
	f.fill(&d, v, changes)
	f.apply(d)
}

// fill puts changes into a delta against v.
func (f *Follower) fill(d *view.Delta, v view.View, changes []Change) {
	domains := map[string]bool{}
	for domain := range v.Evacuations.Domains {
		domains[domain] = true
	}
	for _, c := range changes {
		if c.Fault != nil {
			f.o.Logger.Failure(event.ObjectRefused, c.Fault, event.Fields{"object": c.Name, "section": d.Section})
			continue
		}
		switch {
		case d.Section == view.EvacuationsSection && c.Gone:
			delete(domains, c.Name)
		case d.Section == view.EvacuationsSection:
			domains[c.Name] = true
		case c.Gone:
			d.Gone = append(d.Gone, c.Name)
		case c.Member != nil:
			d.Gone = slices.DeleteFunc(d.Gone, func(name string) bool { return name == c.Name })
			d.Members = append(d.Members, *c.Member)
		case c.Configuration != nil:
			d.Configuration = c.Configuration.Difference(v.Configuration)
		}
	}
	if d.Section == view.EvacuationsSection {
		for domain := range domains {
			d.Domains = append(d.Domains, domain)
		}
		slices.Sort(d.Domains)
	}
}

func (f *Follower) apply(d view.Delta) {
	if !f.o.Board.Apply(d) {
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
	f.o.Logger.Emit(event.ViewChanged, fields)
}

// note records whether the store answers.
func (f *Follower) note(err error) {
	if err == nil || errkind.Is(err, errkind.HistoryGone) || errkind.Is(err, errkind.NotFound) {
		if !f.following.Load() {
			f.setSource(f.o.Name)
		}
		if f.lost.Swap(false) {
			f.o.Logger.Emit(event.PlatformBack, nil)
		}
		return
	}
	if !f.lost.Swap(true) {
		f.o.Logger.Failure(event.PlatformLost, err, nil)
	}
	if f.o.Board.Source() == f.o.Name {
		f.setSource("")
	}
}

// setSource notes the process whose calls of the store the view comes from.
func (f *Follower) setSource(process string) {
	if f.o.Board.SetSource(process) {
		f.o.Logger.Emit(event.SourceChanged, event.Fields{"source": process, "age_ms": f.o.Board.AgeMS()})
	}
}

// upstream returns the peers to ask, in order: those of the own failure domain
// that come before this process, all others while the store is lost, and the
// seeds while no peers are known.
func (f *Follower) upstream() []netip.AddrPort {
	var before, others []view.Member
	v := f.o.Board.View()
	for _, m := range v.Members.ByName {
		switch {
		case m.Name == f.o.Name:
		case m.Domain == f.o.Domain && f.after(m):
			before = append(before, m)
		default:
			others = append(others, m)
		}
	}
	slices.SortFunc(before, compareMembers)
	before = spread(before, f.o.Name)
	if f.lost.Load() {
		slices.SortFunc(others, compareMembers)
		before = append(before, others...)
	}
	var peers []netip.AddrPort
	for _, m := range before {
		peers = append(peers, m.Peer)
	}
	alone := len(v.Members.ByName) == 0 && !f.isSeed()
	if !v.Complete() || alone {
		peers = append(peers, f.o.Seeds...)
	}
	return slices.DeleteFunc(peers, func(peer netip.AddrPort) bool { return peer == f.o.Self })
}

// spread lets the processes of a large failure domain begin with different ones
// of those that come first.
func spread(before []view.Member, name string) []view.Member {
	asked := 1 + len(before)/followersEach
	if len(before) <= asked {
		return before
	}
	first := int(rendezvous.Hash(name) % uint64(asked))
	return slices.Concat(before[first:asked], before[:first], before[asked:])
}

// isSeed reports whether this process is one that others ask first.
func (f *Follower) isSeed() bool { return slices.Contains(f.o.Seeds, f.o.Self) }

// after reports whether this process comes after m in its failure domain.
func (f *Follower) after(m view.Member) bool {
	return compareMembers(m, view.Member{Name: f.o.Name, Role: f.o.Role}) < 0
}

// compareMembers puts agents first: balancers' links carry callers' packets, and
// some are too narrow to pass large configurations on to others.
func compareMembers(a, b view.Member) int {
	if a.Role != b.Role {
		if a.Role == view.AgentRole {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Name, b.Name)
}

// followPeers asks the first peer that answers with a fresh view.
func (f *Follower) followPeers(ctx context.Context, links *links) {
	for ctx.Err() == nil {
		fresh := false
		for _, peer := range f.upstream() {
			if f.ask(ctx, links, peer) {
				fresh = true
				break
			}
		}
		if !fresh && f.o.Board.Source() != f.o.Name {
			f.setSource("")
		}
		// A process that was turned away tries the store although a peer
		// answers: others may rely on it.
		f.following.Store(fresh && !f.lost.Load())
		if !fresh {
			delay.Sleep(ctx, idleCheck)
		}
	}
}

// awaitSeeds lets a process of a system that starts learn from the first seed
// that answers, which spares the store a listing by each process.
func (f *Follower) awaitSeeds(ctx context.Context, links *links) {
	ctx, cancel := context.WithTimeout(ctx, firstStartTime)
	defer cancel()
	for ctx.Err() == nil {
		for _, seed := range f.o.Seeds {
			if f.ask(ctx, links, seed) && f.o.Board.View().Complete() {
				f.following.Store(true)
				return
			}
		}
		delay.Sleep(ctx, seedRetry)
	}
}

// fetchFirstView asks several peers at a time while the view isn't complete: a
// balancer can't forward anything until then, and after a power cut some peers
// are down and don't refuse connections.
func (f *Follower) fetchFirstView(ctx context.Context) {
	delay.Sleep(ctx, firstAnswer)
	for ctx.Err() == nil && !f.o.Board.View().Complete() {
		peers := f.upstream()
		f.askTogether(ctx, peers[:min(len(peers), askedAtOnce)])
		delay.Sleep(ctx, minRetry)
	}
}

// askTogether asks peers until the view is complete or all have answered.
func (f *Follower) askTogether(ctx context.Context, peers []netip.AddrPort) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	for _, peer := range peers {
		running.Go(func() {
			links := newLinks()
			defer links.close()
			if f.ask(ctx, links, peer) && f.o.Board.View().Complete() {
				cancel()
			}
		})
	}
	running.Wait()
}

// ask sends one question to a peer and reports whether its view is fresh and
// comes from a process that the store serves.
func (f *Follower) ask(ctx context.Context, links *links, peer netip.AddrPort) bool {
	asked := time.Now()
	answer, err := links.ask(ctx, peer, newQuestion(f.o.Board.View(), peerWait))
	if err != nil {
		if ctx.Err() == nil {
			f.o.Logger.Failure(event.PeerLost, err, event.Fields{"peer": peer.String()})
		}
		return false
	}
	for _, d := range answer.Deltas {
		f.apply(d)
	}
	if answer.AgeMS < 0 || answer.AgeMS > freshAge.Milliseconds() {
		return false
	}
	if answer.Source == "" || answer.Source == f.o.Name {
		// The peer has no source, or this process is its source: following it
		// would keep an old view in a circle.
		return false
	}
	f.setSource(answer.Source)
	confirmed := asked.Add(-time.Duration(answer.AgeMS) * time.Millisecond)
	for _, s := range view.Sections() {
		f.o.Board.Confirm(s, confirmed)
	}
	return true
}
