package distribution

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
)

// initMetrics registers the metrics of the control plane. The peer package
// registers its counters in the same registry.
func (n *Node) initMetrics() {
	registry := n.opts.Metrics
	if registry == nil {
		registry = metrics.New()
	}
	n.registry = registry.GoMetrics()
	n.metrics = metrics.NewControl(registry)
	n.opts.Store = countingStore{n.opts.Store, n.metrics}
}

// updateGauges sets the gauges to the current state.
func (n *Node) updateGauges() {
	members := n.Board.Members.Get().Members
	suspects := 0
	for _, m := range members {
		if m.IsSuspected() {
			suspects++
		}
	}
	n.metrics.Generation.Update(int64(n.Board.View.Get().Generation))
	n.metrics.Members.Update(int64(len(members)))
	n.metrics.Suspects.Update(int64(suspects))
	n.metrics.ClockOffset.Update(n.Board.ClockOffset.Get().Microseconds())
}

// countingStore counts the calls of a Store and their failures.
type countingStore struct {
	objectstore.Store
	metrics *metrics.Control
}

func (s countingStore) count(ctx context.Context, err error) {
	s.metrics.PlatformCalls.Inc(1)
	// The platform has answered if an object is missing or was changed by
	// another process. A call that was cancelled here is not its failure either.
	answered := err == nil || errkind.Is(err, errkind.NotFound) || errkind.Is(err, errkind.VersionConflict)
	if !answered && context.Cause(ctx) != context.Canceled {
		s.metrics.PlatformFailures.Inc(errkind.Of(err))
	}
}

// Get implements objectstore.Store.
func (s countingStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	object, err := s.Store.Get(ctx, key)
	s.count(ctx, err)
	return object, err
}

// Put implements objectstore.Store.
func (s countingStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	object, err := s.Store.Put(ctx, key, value, ifVersion)
	s.count(ctx, err)
	return object, err
}

// Delete implements objectstore.Store.
func (s countingStore) Delete(ctx context.Context, key string, ifVersion uint64) error {
	err := s.Store.Delete(ctx, key, ifVersion)
	s.count(ctx, err)
	return err
}

// List implements objectstore.Store.
func (s countingStore) List(ctx context.Context, prefix string) (objectstore.Listing, error) {
	listing, err := s.Store.List(ctx, prefix)
	s.count(ctx, err)
	return listing, err
}

// Watch implements objectstore.Store.
func (s countingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectstore.Listing, error) {
	listing, err := s.Store.Watch(ctx, prefix, after, wait)
	s.count(ctx, err)
	return listing, err
}
