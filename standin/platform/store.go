package platform

import (
	"sort"
	"strings"
	"sync"
	"time"

	api "github.com/knapweedpier/knapweedpier/internal/control/objectstore"
)

// store holds the objects. The version of an object is the revision of its
// last write, so that a deleted and recreated key never repeats a version.
type store struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]entry // with deleted keys, so that watches report them
	changed  chan struct{}    // closed at the next change
	ledger   Ledger
}

type entry struct {
	object   api.Object // Version 0: deleted
	revision uint64
}

// condition says which version a write expects.
type condition struct {
	any     bool
	version uint64 // 0: the object must not exist
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
	if !s.admits(key, c) {
		return api.Object{}, false
	}
	o := api.Object{Key: key, Version: s.revision + 1, Value: value}
	s.record(o)
	return o, true
}

// remove deletes key; found is false when it does not exist.
func (s *store) remove(key string, c condition) (found, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].object.Version == 0 {
		return false, false
	}
	if !s.admits(key, c) {
		return true, false
	}
	s.record(api.Object{Key: key})
	return true, true
}

func (s *store) admits(key string, c condition) bool {
	if c.any || s.entries[key].object.Version == c.version {
		return true
	}
	s.ledger.Conflicts++
	return false
}

func (s *store) record(o api.Object) {
	s.revision++
	s.entries[o.Key] = entry{o, s.revision}
	s.ledger.Accepted = append(s.ledger.Accepted,
		Accepted{Key: o.Key, Version: s.revision, Deleted: o.Version == 0, At: time.Now()})
	s.wakeLocked()
}

// list returns the objects under prefix, without deleted ones.
func (s *store) list(prefix string) api.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.collect(func(e entry) bool {
		return e.object.Version != 0 && strings.HasPrefix(e.object.Key, prefix)
	})
}

// since returns the objects under prefix that changed after a revision, with
// deleted ones, and a channel that is closed at the next change.
func (s *store) since(prefix string, after uint64) (api.Listing, <-chan struct{}) {
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

// wake ends the wait of all watches, so that they look again.
func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
