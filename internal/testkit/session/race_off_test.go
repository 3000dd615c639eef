//go:build !race

package session

// atOnce is the number of sessions that run at once.
const atOnce = 5
