package change

import (
	"context"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// fault is the failure mode of one write.
type fault int

const (
	none        fault = iota
	answerLost        // takes effect, the answer is lost
	writeLost         // no effect, no answer
	appliedLate       // no answer, takes effect some reads later
	rateLimited       // rejected by the rate limit
)

// writePlan is the failure mode of one write and of the reads after it.
type writePlan struct {
	fault   fault
	failing int // number of reads that fail after the write
	delay   int // number of reads until a late write takes effect
}

// scriptedStore is an in-memory store whose writes fail according to the plans
// that next returns.
type scriptedStore struct {
	objectstore.Store
	object  objectstore.Object
	history []*config.Config
	next    func() writePlan
	failing int
	pending []*lateWrite
}

type lateWrite struct {
	reads int
	apply func()
}

func (s *scriptedStore) Get(context.Context, string) (objectstore.Object, error) {
	s.applyDueWrites()
	if s.failing > 0 {
		s.failing--
		return objectstore.Object{}, errkind.New(errkind.PlatformDown, "scripted")
	}
	if s.object.Version == 0 {
		return objectstore.Object{}, errkind.New(errkind.NotFound, "scripted")
	}
	return s.object, nil
}

// applyDueWrites counts a read and applies the late writes that are due.
func (s *scriptedStore) applyDueWrites() {
	for _, w := range s.pending {
		w.reads--
		if w.reads == 0 {
			w.apply()
		}
	}
}

func (s *scriptedStore) Put(_ context.Context, _ string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	plan := s.next()
	var err error
	switch plan.fault {
	case none, answerLost:
		err = s.put(value, ifVersion)
	case appliedLate:
		s.pending = append(s.pending, &lateWrite{plan.delay, func() { _ = s.put(value, ifVersion) }})
	case rateLimited:
		return objectstore.Object{}, errkind.New(errkind.PlatformLimited, "scripted")
	}
	if plan.fault != none {
		s.failing = plan.failing
		return objectstore.Object{}, errkind.New(errkind.PlatformDown, "scripted")
	}
	return s.object, err
}

func (s *scriptedStore) put(value []byte, ifVersion uint64) error {
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

// operationStore is the store of one operation. It records the history at the
// operation's first read.
type operationStore struct {
	*scriptedStore
	historyAtStart int // length of the history at its first read, 0 before
}

func (o *operationStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	object, err := o.scriptedStore.Get(ctx, key)
	if o.historyAtStart == 0 {
		o.historyAtStart = len(o.history)
	}
	return object, err
}
