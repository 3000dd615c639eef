// Package change writes new generations of the accepted configuration to the
// platform. Every update is conditional on the version that it was derived from
// and carries a random change ID. If the answer to an update is lost, the
// configuration is read back and searched for that ID; the update is never sent
// again.
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

// Defaults of Options. Reading back takes at least 1 s, so that a write that
// the platform applies late is usually found.
const (
	defaultReadBackTries = 5
	defaultReadBackPause = 250 * time.Millisecond
	maxAttempts          = 8 // updates that one edit tries when others come first
)

// Edit derives a configuration from base, which may be nil and must not be
// modified. An unchanged copy means that no update is needed. The editor sets
// generation, change ID and accept time.
type Edit func(base *config.Config) (*config.Config, error)

// Options configure an Editor. Zero values stand for the defaults.
type Options struct {
	Now           func() time.Time
	NewID         func() string // returns a random change ID
	Log           *event.Logger
	ReadBackTries int           // reads after a lost answer
	ReadBackPause time.Duration // between two reads
}

// Editor updates the accepted configuration.
type Editor struct {
	store   objectstore.Store
	options Options
}

// Result is the outcome of an edit.
type Result struct {
	Config     *config.Config   // currently accepted, nil if there has never been one
	Difference sheet.Difference // changes made by this edit, empty if there are none
	ReadBack   bool             // the answer was lost and reading back found the change
}

// New returns an editor for the configuration in store.
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

// Now returns the current time of the editor's clock.
func (e *Editor) Now() time.Time { return e.options.Now() }

// Current returns the accepted configuration, or nil if there has never been one.
func (e *Editor) Current(ctx context.Context) (*config.Config, error) {
	s, err := e.read(ctx)
	return s.config, err
}

// Apply makes a small single change. If another operator's update is accepted
// first, the edit is derived again from the newer configuration if both change
// different subjects; otherwise the error has kind VersionConflict and lists
// the other operator's changes.
func (e *Editor) Apply(ctx context.Context, edit Edit) (Result, error) {
	return e.run(ctx, edit, &conflictPolicy{conflict: errkind.VersionConflict})
}

// ApplySheet makes the changes that a sheet requests. A sheet that was made on an
// older generation gives a SheetStale error if it conflicts with later changes;
// see staleError.
func (e *Editor) ApplySheet(ctx context.Context, s *sheet.Sheet) (Result, error) {
	edit := func(base *config.Config) (*config.Config, error) { return s.Apply(base, e.Now()) }
	return e.run(ctx, edit, &conflictPolicy{conflict: errkind.SheetStale, knownGeneration: s.BaseGeneration})
}

// run repeats the edit on newer configurations until the update is accepted, no
// update is needed, or the edit fails.
func (e *Editor) run(ctx context.Context, edit Edit, p *conflictPolicy) (Result, error) {
	base, err := e.read(ctx)
	if err != nil {
		return Result{}, err
	}
	for range maxAttempts {
		u, err := e.prepare(base, edit)
		if err != nil || len(u.difference) == 0 {
			return Result{Config: base.config}, err
		}
		if err := p.checkBase(u); err != nil {
			return Result{}, e.logRefusal(err)
		}
		out, err := e.write(ctx, u)
		if err != nil {
			return Result{}, err
		}
		if out.accepted {
			return e.logAccepted(u, out), nil
		}
		if err := p.checkRetry(u, out, edit); err != nil {
			return Result{}, e.logRefusal(err)
		}
		base = out.current
	}
	return Result{}, e.logRefusal(errkind.Errorf(errkind.VersionConflict,
		"other updates came first %d times in a row; nothing was changed", maxAttempts))
}

// update is a conditional update, derived from base.
type update struct {
	base       snapshot
	wanted     *config.Config
	difference sheet.Difference
}

// prepare derives an update from base, prunes it and assigns the next generation.
// The difference does not list pruned changes, because pruning changes no view;
// pruning alone does not cause a new generation.
func (e *Editor) prepare(base snapshot, edit Edit) (update, error) {
	wanted, err := edit(base.config)
	if err != nil {
		return update{}, err
	}
	now := e.Now().UTC()
	if err := sheet.RemoveObsoleteChanges(wanted, now); err != nil {
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

func (e *Editor) logAccepted(u update, out outcome) Result {
	id := event.ChangeAccepted
	if out.readBack {
		id = event.ChangeReadBack
	}
	e.options.Log.Emit(id, event.Fields{"generation": u.wanted.Generation, "change_id": u.wanted.ChangeID})
	return Result{Config: out.current.config, Difference: u.difference, ReadBack: out.readBack}
}

func (e *Editor) logRefusal(err error) error {
	e.options.Log.EmitError(event.ChangeConflict, err, nil)
	return err
}
