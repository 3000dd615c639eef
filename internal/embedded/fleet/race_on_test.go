//go:build race

package fleet

// RaceDetector is set if the tests run with the race detector, which takes six times the
// processor time.
const RaceDetector = true
