// Package objectstore is the client of the platform's object API: versioned
// objects, conditional updates and long-poll watches over HTTP.
package objectstore

import (
	"context"
	"time"
)

// Object is one stored value.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"` // 0: deleted
	Value   []byte `json:"value"`
}

// Listing is the state of a prefix at one revision.
type Listing struct {
	Objects  []Object `json:"objects"`
	Revision uint64   `json:"revision"` // to be passed to Watch
}

// Store is the object API as the rest of the module uses it. Errors have the
// kinds PlatformDown, PlatformLimited, VersionConflict or NotFound.
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object if its version is ifVersion; 0 creates it.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error)
	// Delete removes an object if its version is ifVersion.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// List returns all objects under prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch waits until an object under prefix changes after revision after,
	// or until wait has passed, and returns the changed objects only.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
}
