package gateway

import (
	"slices"
	"time"
)

// entryCount is by how many entries the floor of repeats is divided: the most that
// were known at one time in the last window. What is known shrinks for a moment when
// all control servers restart, since each lists the entries that follow it; an entry
// that believed it to be alone then took the whole floor, and so did each other one.
type entryCount struct {
	// seen are the counts of the window, at most one by second, the oldest first.
	seen []countedEntries
}

type countedEntries struct {
	at    time.Time
	count int
}

// countGrain is the least time between two counts that are kept apart.
const countGrain = time.Second

// note takes a count; what is older than the window is dropped.
func (e *entryCount) note(now time.Time, count int, window time.Duration) {
	e.seen = slices.DeleteFunc(e.seen, func(c countedEntries) bool { return now.Sub(c.at) > window })
	if n := len(e.seen); n > 0 && now.Sub(e.seen[n-1].at) < countGrain {
		e.seen[n-1].count = max(e.seen[n-1].count, count)
		return
	}
	e.seen = append(e.seen, countedEntries{at: now, count: count})
}

// most is the highest count of the window, at least 1.
func (e *entryCount) most() int {
	most := 1
	for _, c := range e.seen {
		most = max(most, c.count)
	}
	return most
}
