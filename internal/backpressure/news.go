package backpressure

import (
	"maps"
	"slices"
	"time"
)

// News is an update about the signals of one incarnation of a backend server, received by one entry
// and passed on to the others: those that send the server nothing would otherwise learn neither
// that it names a limit nor that it has lifted it.
type News struct {
	// Start identifies the incarnation of the backend server.
	Start string
	// Limited: a limit is in force; Rate is in requests per second.
	Limited bool
	Rate    float64
	// Leaving: it takes no new requests any more. This is never taken back.
	Leaving bool
	// At is when an entry received the signal.
	At time.Time
}

// sameSignals reports whether two updates carry the same signals.
func (n News) sameSignals(other News) bool {
	return n.Limited == other.Limited && n.Rate == other.Rate && n.Leaving == other.Leaving
}

// updateRetention is how long an update is kept that is not repeated.
const updateRetention = 10 * time.Minute

// Table holds the latest update per incarnation of a backend server. It is not safe for concurrent use.
type Table struct{ latest map[string]News }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{latest: map[string]News{}} }

// Merge adds an update, and returns the merged state of the incarnation and whether it changed: only
// then it is forwarded, so that updates do not circulate.
func (t *Table) Merge(n News) (News, bool) {
	known, ok := t.latest[n.Start]
	merged := n
	if ok && !n.At.After(known.At) {
		merged = known
	}
	merged.Leaving = n.Leaving || known.Leaving
	t.latest[n.Start] = merged
	return merged, !ok || !merged.sameSignals(known)
}

// All returns all updates.
func (t *Table) All() []News { return slices.Collect(maps.Values(t.latest)) }

// Forget drops old updates.
func (t *Table) Forget(now time.Time) {
	maps.DeleteFunc(t.latest, func(_ string, n News) bool { return now.Sub(n.At) > updateRetention })
}

// Learn applies an update of another entry, and reports whether the limit changed.
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
