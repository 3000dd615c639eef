// Package session holds end-to-end tests: each runs planned changes and
// failures in a small embedded fleet under load, and compares a transcript of
// what callers, backend servers and the platform observed with a golden file.
// It has no code outside its tests.
package session
