//go:build !race

package session

// maxConcurrentSessions bounds the sessions that run at the same time.
const maxConcurrentSessions = 5
