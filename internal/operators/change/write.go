package change

import (
	"context"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// state is what the platform held at one time.
type state struct {
	config  *config.Config // nil: nothing was ever accepted
	version uint64         // of the object, 0: it does not exist
}

func (s state) generation() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Generation
}

// outcome is what became of one update.
type outcome struct {
	accepted  bool
	readBack  bool
	ambiguous bool  // a later generation does not tell whether the update was part of it
	current   state // accepted now
}

func (e *Editor) read(ctx context.Context) (state, error) {
	o, err := e.store.Get(ctx, config.ObjectKey)
	if errkind.Is(err, errkind.NotFound) {
		return state{}, nil
	}
	if err != nil {
		return state{}, err
	}
	c, err := config.Parse(o.Value)
	return state{c, o.Version}, err
}

// write sends an update once.
func (e *Editor) write(ctx context.Context, u update) (outcome, error) {
	data, err := u.wanted.Encode()
	if err != nil {
		return outcome{}, err
	}
	o, err := e.store.Put(ctx, config.ObjectKey, data, u.base.version)
	switch {
	case err == nil:
		return outcome{accepted: true, current: state{u.wanted, o.Version}}, nil
	case errkind.Is(err, errkind.VersionConflict):
		current, err := e.read(ctx)
		return outcome{current: current}, err
	case errkind.Is(err, errkind.PlatformDown):
		return e.readBack(context.WithoutCancel(ctx), u, err)
	}
	return outcome{}, err
}

// readBack finds out what became of an update whose answer was lost. It goes
// on for all tries while the platform still holds the base, because the
// platform may apply a write late.
func (e *Editor) readBack(ctx context.Context, u update, cause error) (outcome, error) {
	seen := false
	for try := range e.options.ReadBackTries {
		if try > 0 {
			time.Sleep(e.options.ReadBackPause)
		}
		current, err := e.read(ctx)
		if err != nil {
			continue
		}
		seen = true
		if current.version != u.base.version {
			return u.judge(current), nil
		}
	}
	if seen {
		return outcome{}, errkind.Wrap(cause, errkind.PlatformDown, "not accepted when it was read back; applying again is safe")
	}
	return outcome{}, errkind.Wrap(cause, errkind.OutcomeUnread, "may or may not be accepted; applying again is safe")
}

// judge tells from a newer state whether u is part of it. The generation after
// the base belongs to one update only: if its change ID is another's, u lost
// and can never be applied, since its condition no longer holds.
func (u update) judge(current state) outcome {
	if u.isPartOf(current) {
		return outcome{accepted: true, readBack: true, current: current}
	}
	ambiguous := current.generation() != u.wanted.Generation
	return outcome{current: current, ambiguous: ambiguous}
}

// isPartOf reports whether current is u's generation, or a later one that
// still holds a planned change that u's generation accepted.
func (u update) isPartOf(current state) bool {
	if current.config == nil {
		return false
	}
	if current.config.ChangeID == u.wanted.ChangeID {
		return true
	}
	if current.generation() <= u.wanted.Generation {
		return false
	}
	return slices.ContainsFunc(current.config.Changes, func(have config.PlannedChange) bool {
		return have.Generation == u.wanted.Generation && u.adds(have)
	})
}

func (u update) adds(c config.PlannedChange) bool {
	return slices.ContainsFunc(u.wanted.Changes, func(mine config.PlannedChange) bool {
		return mine.ID == c.ID && mine.Generation == c.Generation
	})
}
