package settings

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
)

// reloadInterval is the interval at which files are re-read.
const reloadInterval = 5 * time.Second

// RingSource holds the key ring in use and reloads it when its file changes. It
// is safe for concurrent use.
type RingSource struct {
	path string // empty for a fixed ring
	log  *event.Logger
	ring atomic.Pointer[keyring.Ring]
}

// OpenRingSource loads --keyring or --keyring-file and returns its source.
// Errors have kind KeyRingInvalid.
func (c *Common) OpenRingSource(log *event.Logger) (*RingSource, error) {
	s := &RingSource{path: c.KeyringFile, log: log}
	ring, err := s.load(c.Keyring)
	if err != nil {
		return nil, err
	}
	s.ring.Store(ring)
	return s, nil
}

// FixedRing returns a source that always returns ring.
func FixedRing(ring *keyring.Ring) *RingSource {
	s := &RingSource{}
	s.ring.Store(ring)
	return s
}

func (s *RingSource) load(text string) (*keyring.Ring, error) {
	if s.path == "" {
		return parseKeyRing(text)
	}
	return readKeyRing(s.path)
}

// Ring returns the key ring in use. It returns the same pointer until the keys
// change.
func (s *RingSource) Ring() *keyring.Ring { return s.ring.Load() }

// Run re-reads the file every 5 s until ctx ends. If the file cannot be loaded,
// the previous key ring stays in use and ReloadFailed is logged.
func (s *RingSource) Run(ctx context.Context) {
	if s.path == "" {
		<-ctx.Done()
		return
	}
	callEvery(ctx, reloadInterval, s.reload)
}

func (s *RingSource) reload() {
	next, err := s.load("")
	if err == nil {
		err = s.replaceRing(next)
	}
	if err != nil {
		s.log.EmitError(event.ReloadFailed, err, event.Fields{"file": s.path})
	}
}

// replaceRing puts next in use if the keys changed. It refuses a key ring that
// shares no key with the one in use, which would cut every open flow at once; a
// rotation keeps the old key as the second one.
func (s *RingSource) replaceRing(next *keyring.Ring) error {
	current := s.Ring().Keys()
	if slices.Equal(current, next.Keys()) {
		return nil
	}
	if !slices.ContainsFunc(next.Keys(), func(k keyring.Key) bool { return slices.Contains(current, k) }) {
		return errkind.New(errkind.KeyRingInvalid, "shares no key with the ring in use: keep the old key as the second one while rotating")
	}
	s.ring.Store(next)
	s.log.Emit(event.KeyRingReloaded, event.Fields{"file": s.path, "signing_key_id": next.SigningKey().ID})
	return nil
}

// callEvery calls fn once each interval until ctx ends.
func callEvery(ctx context.Context, interval time.Duration, fn func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn()
		}
	}
}
