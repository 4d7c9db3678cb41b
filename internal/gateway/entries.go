package gateway

import (
	"slices"
	"time"
)

// entryCount is the number of entries that share the retry floor: the highest number
// that was known at one time within the last window. After all control servers
// restart, the known number is too low for a moment, since each control server lists
// only the entries that follow it; every entry would then take the whole floor.
type entryCount struct {
	// counts are those within the window, at most one per second, the oldest first.
	counts []countSample
}

type countSample struct {
	at    time.Time
	count int
}

// countInterval is the least time between two stored counts; counts in between are merged into
// the earlier one.
const countInterval = time.Second

// note adds a count and drops those that are older than the window.
func (e *entryCount) note(now time.Time, count int, window time.Duration) {
	e.counts = slices.DeleteFunc(e.counts, func(c countSample) bool { return now.Sub(c.at) > window })
	if n := len(e.counts); n > 0 && now.Sub(e.counts[n-1].at) < countInterval {
		e.counts[n-1].count = max(e.counts[n-1].count, count)
		return
	}
	e.counts = append(e.counts, countSample{at: now, count: count})
}

// highest returns the highest count within the window, at least 1.
func (e *entryCount) highest() int {
	highest := 1
	for _, c := range e.counts {
		highest = max(highest, c.count)
	}
	return highest
}
