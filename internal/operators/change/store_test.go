package change

import (
	"context"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// fault is what happens to one write.
type fault int

const (
	none    fault = iota
	lost          // takes effect without an answer
	refused       // no effect and no answer
	late          // no answer, takes effect some reads later
	limited       // refused because of the rate limit
)

// script decides the faults of one write.
type script struct {
	fault   fault
	failing int // reads that fail after it
	delay   int // reads until a late write takes effect
}

// scripted is a store in memory whose writes fail as the script says.
type scripted struct {
	objectstore.Store
	object  objectstore.Object
	history []*config.Config
	next    func() script
	failing int
	pending []*lateWrite
}

type lateWrite struct {
	reads int
	apply func()
}

func (s *scripted) Get(context.Context, string) (objectstore.Object, error) {
	s.tick()
	if s.failing > 0 {
		s.failing--
		return objectstore.Object{}, errkind.New(errkind.PlatformDown, "scripted")
	}
	if s.object.Version == 0 {
		return objectstore.Object{}, errkind.New(errkind.NotFound, "scripted")
	}
	return s.object, nil
}

// tick applies late writes that are due.
func (s *scripted) tick() {
	for _, w := range s.pending {
		w.reads--
		if w.reads == 0 {
			w.apply()
		}
	}
}

func (s *scripted) Put(_ context.Context, _ string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	step := s.next()
	var err error
	switch step.fault {
	case none, lost:
		err = s.put(value, ifVersion)
	case late:
		s.pending = append(s.pending, &lateWrite{step.delay, func() { _ = s.put(value, ifVersion) }})
	case limited:
		return objectstore.Object{}, errkind.New(errkind.PlatformLimited, "scripted")
	}
	if step.fault != none {
		s.failing = step.failing
		return objectstore.Object{}, errkind.New(errkind.PlatformDown, "scripted")
	}
	return s.object, err
}

func (s *scripted) put(value []byte, ifVersion uint64) error {
	if s.object.Version != ifVersion {
		return errkind.New(errkind.VersionConflict, "scripted")
	}
	c, err := config.Parse(value)
	if err != nil {
		return err
	}
	s.object = objectstore.Object{Key: config.ObjectKey, Version: ifVersion + 1, Value: value}
	s.history = append(s.history, c)
	return nil
}

// observed is the store as one operation sees it.
type observed struct {
	*scripted
	began int // length of the history at its first read, 0 before
}

func (o *observed) Get(ctx context.Context, key string) (objectstore.Object, error) {
	object, err := o.scripted.Get(ctx, key)
	if o.began == 0 {
		o.began = len(o.history)
	}
	return object, err
}
