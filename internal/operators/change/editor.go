// Package change makes new generations of the accepted configuration in the
// platform. Every update is conditional on the version that it was derived
// from and carries a random change ID. An update whose answer was lost is read
// back by that ID and never sent again.
package change

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
)

// Defaults of Options. Reading back lasts at least 1 s, so that a write that
// the platform applies late is usually seen.
const (
	defaultReadBackTries = 5
	defaultReadBackPause = 250 * time.Millisecond
	maxRaces             = 8
)

// Edit derives a configuration from base, which may be nil and must not be
// changed. An unchanged copy means that nothing is to be done. The editor sets
// generation, change ID and accept time.
type Edit func(base *config.Config) (*config.Config, error)

// Options adjust an Editor. Zero fields give the defaults.
type Options struct {
	Now           func() time.Time
	NewID         func() string // random change IDs
	Log           *event.Logger
	ReadBackTries int           // reads after a lost answer
	ReadBackPause time.Duration // between two of them
}

// Editor updates the accepted configuration.
type Editor struct {
	store   objectstore.Store
	options Options
}

// Result is the outcome of an edit.
type Result struct {
	Config     *config.Config   // accepted now, nil when nothing was ever accepted
	Difference sheet.Difference // what this edit changed, empty when nothing
	ReadBack   bool             // the answer was lost and the change was found by reading back
}

// New returns an editor of the configuration in store.
func New(store objectstore.Store, o Options) *Editor {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = rand.Text
	}
	if o.Log == nil {
		o.Log = event.Discard()
	}
	if o.ReadBackTries == 0 {
		o.ReadBackTries = defaultReadBackTries
	}
	if o.ReadBackPause == 0 {
		o.ReadBackPause = defaultReadBackPause
	}
	return &Editor{store, o}
}

// Now returns the editor's time.
func (e *Editor) Now() time.Time { return e.options.Now() }

// Current returns the accepted configuration, or nil when nothing was ever
// accepted.
func (e *Editor) Current(ctx context.Context) (*config.Config, error) {
	s, err := e.read(ctx)
	return s.config, err
}

// Apply makes a small single change. When another operator is faster, the edit
// is derived again from the newer configuration if both touch different
// subjects; otherwise the error has kind VersionConflict and shows what the
// other changed.
func (e *Editor) Apply(ctx context.Context, edit Edit) (Result, error) {
	return e.run(ctx, edit, &policy{conflict: errkind.VersionConflict})
}

// ApplySheet makes what a sheet asks for. A sheet that was made on an older
// base gives a SheetStale error when the difference matters; see stale.
func (e *Editor) ApplySheet(ctx context.Context, s *sheet.Sheet) (Result, error) {
	edit := func(base *config.Config) (*config.Config, error) { return s.Apply(base, e.Now()) }
	return e.run(ctx, edit, &policy{conflict: errkind.SheetStale, known: s.Base})
}

// run repeats the edit on newer configurations until it is accepted, has
// nothing to do, or fails.
func (e *Editor) run(ctx context.Context, edit Edit, p *policy) (Result, error) {
	base, err := e.read(ctx)
	if err != nil {
		return Result{}, err
	}
	for range maxRaces {
		u, err := e.prepare(base, edit)
		if err != nil || len(u.difference) == 0 {
			return Result{Config: base.config}, err
		}
		if err := p.allow(u); err != nil {
			return Result{}, e.refuse(err)
		}
		out, err := e.write(ctx, u)
		if err != nil {
			return Result{}, err
		}
		if out.accepted {
			return e.accept(u, out), nil
		}
		if err := p.merge(u, out, edit); err != nil {
			return Result{}, e.refuse(err)
		}
		base = out.current
	}
	return Result{}, e.refuse(errkind.Errorf(errkind.VersionConflict,
		"other updates came first %d times in a row; nothing was changed", maxRaces))
}

// update is one conditional update.
type update struct {
	base       state
	wanted     *config.Config
	difference sheet.Difference
}

// prepare derives an update from base, prunes it and seals it with the next
// generation. The difference does not list what is pruned, because no view
// changes by it; a need to prune alone makes no generation.
func (e *Editor) prepare(base state, edit Edit) (update, error) {
	wanted, err := edit(base.config)
	if err != nil {
		return update{}, err
	}
	now := e.Now().UTC()
	if err := sheet.Settle(wanted, now); err != nil {
		return update{}, err
	}
	u := update{base: base, wanted: wanted, difference: sheet.Diff(base.config, wanted)}
	if len(u.difference) == 0 {
		return u, nil
	}
	wanted.Generation = base.generation() + 1
	u.wanted = wanted.Pruned(now) // before the accept time of the base is replaced
	u.wanted.ChangeID = e.options.NewID()
	u.wanted.AcceptedAt = now
	return u, u.wanted.Check()
}

func (e *Editor) accept(u update, out outcome) Result {
	id := event.ChangeAccepted
	if out.readBack {
		id = event.ChangeReadBack
	}
	e.options.Log.Emit(id, event.Fields{"generation": u.wanted.Generation, "change_id": u.wanted.ChangeID})
	return Result{Config: out.current.config, Difference: u.difference, ReadBack: out.readBack}
}

func (e *Editor) refuse(err error) error {
	e.options.Log.Failure(event.ChangeConflict, err, nil)
	return err
}
