// Package proptest gives property tests a fixed seed, so that CI checks the
// same cases on every run.
package proptest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// seedVariable overrides the seed, to search other cases by hand.
const seedVariable = "KNAPWEEDPIER_RAPID_SEED"

const defaultSeed = "20261204"

func init() {
	seed := os.Getenv(seedVariable)
	if seed == "" {
		seed = defaultSeed
	}
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("proptest: " + name + ": " + err.Error())
	}
}

// Check runs prop as a property test with the fixed seed.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, prop)
}
