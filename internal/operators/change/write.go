package change

import (
	"context"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// snapshot is the configuration in the platform at one time.
type snapshot struct {
	config  *config.Config // nil if there has never been one
	version uint64         // of the object, 0 if it does not exist
}

func (s snapshot) generation() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Generation
}

// outcome is the result of one update.
type outcome struct {
	accepted  bool
	readBack  bool
	ambiguous bool     // a newer generation is current that does not show whether the update was accepted
	current   snapshot // currently accepted
}

func (e *Editor) read(ctx context.Context) (snapshot, error) {
	o, err := e.store.Get(ctx, config.ObjectKey)
	if errkind.Is(err, errkind.NotFound) {
		return snapshot{}, nil
	}
	if err != nil {
		return snapshot{}, err
	}
	c, err := config.Parse(o.Value)
	return snapshot{c, o.Version}, err
}

// write sends an update, once only.
func (e *Editor) write(ctx context.Context, u update) (outcome, error) {
	data, err := u.wanted.Encode()
	if err != nil {
		return outcome{}, err
	}
	o, err := e.store.Put(ctx, config.ObjectKey, data, u.base.version)
	switch {
	case err == nil:
		return outcome{accepted: true, current: snapshot{u.wanted, o.Version}}, nil
	case errkind.Is(err, errkind.VersionConflict):
		current, err := e.read(ctx)
		return outcome{current: current}, err
	case errkind.Is(err, errkind.PlatformDown):
		return e.readBack(context.WithoutCancel(ctx), u, err)
	}
	return outcome{}, err
}

// readBack determines the outcome of an update whose answer was lost. While the
// platform still holds the base, it uses all tries, because the platform may
// apply a write late.
func (e *Editor) readBack(ctx context.Context, u update, cause error) (outcome, error) {
	readSucceeded := false
	for attempt := range e.options.ReadBackTries {
		if attempt > 0 {
			time.Sleep(e.options.ReadBackPause)
		}
		current, err := e.read(ctx)
		if err != nil {
			continue
		}
		readSucceeded = true
		if current.version != u.base.version {
			return u.outcomeIn(current), nil
		}
	}
	if readSucceeded {
		return outcome{}, errkind.Wrap(cause, errkind.PlatformDown, "not accepted when it was read back; applying again is safe")
	}
	return outcome{}, errkind.Wrap(cause, errkind.OutcomeUnread, "may or may not be accepted; applying again is safe")
}

// outcomeIn returns the outcome of u, given a newer configuration. Only one
// update can create the generation after the base. If its change ID is another
// update's, u was not accepted and never will be, since its condition no longer
// holds.
func (u update) outcomeIn(current snapshot) outcome {
	if u.isIncludedIn(current) {
		return outcome{accepted: true, readBack: true, current: current}
	}
	ambiguous := current.generation() != u.wanted.Generation
	return outcome{current: current, ambiguous: ambiguous}
}

// isIncludedIn reports whether current is u's generation, or a later one that
// still contains a planned change added by u.
func (u update) isIncludedIn(current snapshot) bool {
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
	return slices.ContainsFunc(u.wanted.Changes, func(planned config.PlannedChange) bool {
		return planned.ID == c.ID && planned.Generation == c.Generation
	})
}
