//go:build race

package session

// atOnce is the number of sessions that run at once: the race detector makes
// each fleet need several processors.
const atOnce = 2
