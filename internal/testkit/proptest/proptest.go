// Package proptest runs property tests with a fixed seed, so that CI checks the
// same cases on every run. It must not import other packages of this module.
package proptest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// seedVariable is the environment variable that replaces the fixed seed, to
// check other cases by hand.
const seedVariable = "KNAPWEEDPIER_RAPID_SEED"

const defaultSeed = "20261204"

func init() {
	seed := os.Getenv(seedVariable)
	if seed == "" {
		seed = defaultSeed
	}
	setFlag("rapid.seed", seed)
	setFlag("rapid.nofailfile", "true")
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("proptest: " + name + ": " + err.Error())
	}
}

// Check runs a property test with the fixed seed, or with that of seedVariable.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, property)
}
