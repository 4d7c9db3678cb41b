// Package testseed makes property tests repeatable: importing it sets a fixed
// seed for rapid, so that every test run has the same result. The flags
// -rapid.seed and -rapid.checks still override it for a wider search. Only test
// files import it.
package testseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // registers its flags
)

// Seed is the fixed seed. It must not be 0, which makes rapid use a random seed.
const Seed = "20261202"

func init() {
	for name, value := range map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("testseed: set flag %s: %v", name, err))
		}
	}
}

// Checks sets the number of cases for each property of the importing package. The
// flag -rapid.checks overrides it. Call it from an init function.
func Checks(n int) {
	if err := flag.Set("rapid.checks", fmt.Sprint(n)); err != nil {
		panic(fmt.Sprintf("testseed: %v", err))
	}
}
