package daemon

import (
	"os"
	"runtime/debug"
)

// gcPercent is the GOGC value: the heap growth between two collections in
// percent of the live heap. It is half of Go's default because memory is scarcer
// than CPU time for a daemon. A soft limit (GOMEMLIMIT) is not set: a daemon
// with more live memory than the limit would collect continuously.
const gcPercent = 50

// tuneMemory configures the garbage collector, unless the operator sets GOGC.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
