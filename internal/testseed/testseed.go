// Package testseed makes property tests repeatable: importing it sets a fixed
// seed for rapid, so that a test run gives the same verdict every time. The
// flags -rapid.seed and -rapid.checks still override it for a wider search.
// Only test files import it.
package testseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // registers its flags
)

// Seed is the fixed seed; any number but 0 (random) would do.
const Seed = "20261202"

func init() {
	for name, value := range map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("testseed: set flag %s: %v", name, err))
		}
	}
}

// Checks sets how many cases each property of the importing package runs,
// unless the command line says otherwise. Call it from an init function.
func Checks(n int) {
	if err := flag.Set("rapid.checks", fmt.Sprint(n)); err != nil {
		panic(fmt.Sprintf("testseed: %v", err))
	}
}
