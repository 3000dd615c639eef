// Package session holds golden tests of whole sessions: planned changes and
// failures in a small fleet with callers, compared with what callers, backend
// servers and the platform must see. It has no code outside its tests.
package session
