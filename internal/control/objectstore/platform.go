// Package objectstore is the client of the platform's object API: versioned
// objects, conditional updates and long-poll watches over HTTP. It doesn't
// interpret the values of objects and must not depend on packages that do.
package objectstore

import (
	"context"
	"time"
)

// Object is a key with its value and version.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"` // 0 if the object was deleted
	Value   []byte `json:"value"`
}

// Listing holds objects under a prefix: all of them from List, the changed ones
// from Watch.
type Listing struct {
	Objects  []Object `json:"objects"`
	Revision uint64   `json:"revision"` // the revision after which a Watch continues
}

// Store is the object API. Its errors have the kinds PlatformDown, PlatformLimited,
// VersionConflict, NotFound and, for unexpected statuses, Internal.
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object if its version is ifVersion; 0 means that the object
	// must not exist yet.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error)
	// Delete removes an object if its version is ifVersion.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// List returns all objects under prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch returns the objects under prefix that changed after revision after, as
	// soon as there are any, or none after wait.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
}
