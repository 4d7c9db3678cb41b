// Knownred runs all tests of the project (make test) but those listed in
// KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.
//
// It prints the list, runs the other tests, and then runs each listed test once
// by itself and prints how that went. The verdict is that of the other tests
// only: exit code 0 when all of them passed. It is 1 when one of them failed,
// and also when the list has too many tests, a malformed line or a test that
// the tree does not have. Without a list it is
// `go test -count=1 -timeout=15m ./...`.
package main

import (
	"fmt"
	"os"
)

func main() {
	passed, err := newSuite(".", os.Stdout).run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "tests were not run:", err)
		os.Exit(1)
	}
	if !passed {
		os.Exit(1)
	}
}
