package backpressure

import (
	"maps"
	"slices"
	"time"
)

// News is what a start of a backend server has said to one entry, for the others: those that do not
// ask the server would hear neither that it names a limit nor that it has lifted it.
type News struct {
	// Start names the start of the backend server.
	Start string
	// Limited: a limit is in force; Rate is in requests a second.
	Limited bool
	Rate    float64
	// Leaving: it takes no new requests for good. It is never taken back.
	Leaving bool
	// At is when an entry heard it.
	At time.Time
}

// says tells whether two pieces of news say the same.
func (n News) says(other News) bool {
	return n.Limited == other.Limited && n.Rate == other.Rate && n.Leaving == other.Leaving
}

// newsRetention is for how long news is kept that nobody tells again.
const newsRetention = 10 * time.Minute

// Table holds the latest news by start of a backend server. It is not safe for concurrent use.
type Table struct{ latest map[string]News }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{latest: map[string]News{}} }

// Merge takes news, and returns all that is known of the start then and whether that is new: only
// then it is passed on, so that it does not go round in a circle.
func (t *Table) Merge(n News) (News, bool) {
	known, ok := t.latest[n.Start]
	merged := n
	if ok && !n.At.After(known.At) {
		merged = known
	}
	merged.Leaving = n.Leaving || known.Leaving
	t.latest[n.Start] = merged
	return merged, !ok || !merged.says(known)
}

// All returns all news.
func (t *Table) All() []News { return slices.Collect(maps.Values(t.latest)) }

// Forget drops old news.
func (t *Table) Forget(now time.Time) {
	maps.DeleteFunc(t.latest, func(_ string, n News) bool { return now.Sub(n.At) > newsRetention })
}

// Learn takes what another entry has heard, and tells whether it changes anything.
func (l *Limit) Learn(n News) bool {
	if !n.At.After(l.HeardAt) {
		return false
	}
	before := *l
	l.HeardAt, l.InForce, l.Rate = n.At, n.Limited, 0
	if n.Limited {
		l.Rate = n.Rate
	}
	return before.InForce != l.InForce || before.Rate != l.Rate
}
