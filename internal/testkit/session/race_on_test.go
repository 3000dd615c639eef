//go:build race

package session

// maxConcurrentSessions bounds the sessions that run at the same time: with the
// race detector, each fleet needs several processors.
const maxConcurrentSessions = 2
