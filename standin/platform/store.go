package platform

import (
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	api "github.com/knapweedpier/knapweedpier/internal/control/objectstore"
)

// store holds the objects. The version of an object is the revision of its
// last write, so that a deleted and recreated key never gets an earlier version
// again.
type store struct {
	mu       sync.Mutex
	revision uint64
	era      uint64           // how often a copy was restored
	entries  map[string]entry // includes deleted keys, so that watches report them
	changed  chan struct{}    // closed at the next change
	ledger   Ledger
}

type entry struct {
	object   api.Object // Version is 0 if deleted
	revision uint64
}

// condition is the version that a write expects.
type condition struct {
	unconditional bool
	version       uint64 // 0: the object must not exist
}

func newStore() *store {
	return &store{entries: map[string]entry{}, changed: make(chan struct{})}
}

func (s *store) get(key string) (api.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.entries[key].object
	return o, o.Version != 0
}

func (s *store) put(key string, value []byte, c condition) (api.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.checkCondition(key, c) {
		return api.Object{}, false
	}
	o := api.Object{Key: key, Version: s.revision + 1, Value: value}
	s.record(o)
	return o, true
}

// delete deletes key. found is false if it does not exist, ok is false if the
// condition does not hold.
func (s *store) delete(key string, c condition) (found, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].object.Version == 0 {
		return false, false
	}
	if !s.checkCondition(key, c) {
		return true, false
	}
	s.record(api.Object{Key: key})
	return true, true
}

// checkCondition reports whether c holds for key, and counts a conflict if not.
// It is called with mu held.
func (s *store) checkCondition(key string, c condition) bool {
	if c.unconditional || s.entries[key].object.Version == c.version {
		return true
	}
	s.ledger.Conflicts++
	return false
}

// record stores o under a new revision. It is called with mu held.
func (s *store) record(o api.Object) {
	s.revision++
	s.entries[o.Key] = entry{o, s.revision}
	s.ledger.Accepted = append(s.ledger.Accepted,
		AcceptedWrite{Key: o.Key, Version: s.revision, Deleted: o.Version == 0, At: time.Now()})
	s.notifyWatchesLocked()
}

// Copy is a copy of the objects of a Server.
type Copy struct {
	revision uint64
	entries  map[string]entry
}

// Copy returns a copy of all objects.
func (s *Server) Copy() Copy {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return Copy{s.store.revision, maps.Clone(s.store.entries)}
}

// Restore replaces all objects by a copy, and raises the era in the header Store-Era of all
// responses. The revisions after the copy are assigned again. Waiting watches end with status
// 410.
func (s *Server) Restore(c Copy) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.revision, s.store.entries = c.revision, maps.Clone(c.entries)
	s.store.era++
	s.store.notifyWatchesLocked()
}

// currentEra returns how often a copy was restored.
func (s *store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// list returns the objects under prefix, except deleted ones.
func (s *store) list(prefix string) api.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.collect(func(e entry) bool {
		return e.object.Version != 0 && strings.HasPrefix(e.object.Key, prefix)
	})
}

// changesSince returns the objects under prefix that changed after a revision,
// including deleted ones, and a channel that is closed at the next change.
func (s *store) changesSince(prefix string, after uint64) (api.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.collect(func(e entry) bool {
		return e.revision > after && strings.HasPrefix(e.object.Key, prefix)
	})
	return l, s.changed
}

func (s *store) collect(want func(entry) bool) api.Listing {
	l := api.Listing{Objects: []api.Object{}, Revision: s.revision}
	for _, e := range s.entries {
		if want(e) {
			l.Objects = append(l.Objects, e.object)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l
}

// notifyWatches wakes all waiting watches, so that they check again for changes
// and outages.
func (s *store) notifyWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWatchesLocked()
}

func (s *store) notifyWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
