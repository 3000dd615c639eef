// Package follow keeps a process's view current. In each failure domain one
// process watches the store and the others long-poll it over jsonrpc2. A process
// that gets no fresh response from a peer watches the store itself, and one whose
// calls of the store fail polls peers in all failure domains.
//
// The package reaches the store only through the interface Store and must not
// import an implementation of it.
package follow

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/blackboard"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
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

// ErrNotSent is wrapped by the error of a watch that was not sent, because its revision is of an
// era that is over, of which the store has no history. Such an error doesn't show that the store
// answers.
var ErrNotSent = errors.New("not sent to the store")

// EraObserver is a Store that distinguishes eras, and to which those seen at peers are reported.
type EraObserver interface {
	// ObserveEra reports to the store that an era has begun. From then on, the store refuses
	// revisions and responses of earlier eras.
	ObserveEra(era int64)
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
	// because there is none yet. The first era of the store that it sees is taken for one that
	// has lost no members.
	FirstStart bool
	// Dial opens connections to peers, by TCP if nil.
	Dial DialFunc
}

// Follower keeps a board current from the store or from peers.
type Follower struct {
	opts        Options
	followsPeer blackboard.Entry[bool] // a peer's responses are fresh, so no watches are needed
	storeLost   atomic.Bool            // the last call of the store failed
	// storeUntried is set from the time when the process ceases to follow a peer until its
	// next call of the store has ended.
	storeUntried atomic.Bool
	pendingCalls atomic.Int32 // of the store
	loggedEra    atomic.Int64 // see logEra
	// needsConfiguration is set when a peer's change of the configuration doesn't apply to the
	// one that this process has. The next request to a peer is for the whole configuration.
	needsConfiguration atomic.Bool
}

// New returns a follower, which does nothing before Run.
func New(opts Options) *Follower {
	if opts.Dial == nil {
		opts.Dial = dialTCP
	}
	return &Follower{opts: opts}
}

// Run keeps the board current until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	conns := newPeerConns(f.opts.Dial)
	defer conns.closeAll()
	if f.opts.FirstStart {
		f.opts.Board.SetFirstStart()
	}
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

// recordStoreResult records from the error of a call whether the store serves this
// process, updates the path accordingly and logs changes.
func (f *Follower) recordStoreResult(err error) {
	f.storeUntried.Store(false)
	if err == nil || errkind.Is(err, errkind.HistoryGone) || errkind.Is(err, errkind.NotFound) {
		if !f.followsPeer.Get() {
			f.setPath(f.opts.Name)
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
		f.setPath()
	}
}

// setPath records the processes through which changes of the store reach this one, none
// if no process that the store serves is known, and logs a change.
func (f *Follower) setPath(path ...string) {
	if f.opts.Board.SetPath(path...) {
		f.opts.Logger.Emit(event.ViewSourceChanged, event.Fields{"source": f.opts.Board.Source(), "path": path, "age_ms": f.opts.Board.AgeMS()})
	}
}
