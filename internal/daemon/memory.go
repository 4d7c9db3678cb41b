package daemon

import (
	"os"
	"runtime/debug"
)

// gcPercent is how far the heap may grow between two collections, in percent
// of what is live. A daemon's budget is memory rather than processor time, so
// it is half of Go's own default. A soft limit (GOMEMLIMIT) is not set: a
// daemon with more live memory than that would collect without end.
const gcPercent = 50

// tuneMemory sets the collector, unless the operator has with GOGC.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
