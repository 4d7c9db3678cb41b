package backpressure

import (
	"maps"
	"slices"
	"time"
)

// Update is an update about the signals of one incarnation of a backend server, received by one entry
// and passed on to the others: those that send the server nothing would otherwise learn neither
// that it names a limit nor that it has lifted it.
type Update struct {
	// Incarnation identifies the incarnation of the backend server.
	Incarnation string
	// Limited: a limit is in force; Rate is in requests per second.
	Limited bool
	Rate    float64
	// Leaving: it takes no new requests any more. This is never taken back.
	Leaving bool
	// At is when an entry received the signal.
	At time.Time
}

// sameSignals reports whether two updates carry the same signals.
func (n Update) sameSignals(other Update) bool {
	return n.Limited == other.Limited && n.Rate == other.Rate && n.Leaving == other.Leaving
}

// updateRetention is how long an update is kept that is not repeated.
const updateRetention = 10 * time.Minute

// Table holds the latest update per incarnation of a backend server. It is not safe for concurrent use.
type Table struct{ latest map[string]Update }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{latest: map[string]Update{}} }

// Merge adds an update, and returns the merged state of the incarnation and whether it changed: only
// then it is forwarded, so that updates do not circulate.
func (t *Table) Merge(n Update) (Update, bool) {
	known, ok := t.latest[n.Incarnation]
	merged := n
	if ok && !n.At.After(known.At) {
		merged = known
	}
	merged.Leaving = n.Leaving || known.Leaving
	t.latest[n.Incarnation] = merged
	return merged, !ok || !merged.sameSignals(known)
}

// All returns all updates.
func (t *Table) All() []Update { return slices.Collect(maps.Values(t.latest)) }

// Forget drops old updates.
func (t *Table) Forget(now time.Time) {
	maps.DeleteFunc(t.latest, func(_ string, n Update) bool { return now.Sub(n.At) > updateRetention })
}

// ApplyUpdate applies an update of another entry, and reports whether the limit changed.
func (l *Limit) ApplyUpdate(n Update) bool {
	if !n.At.After(l.ReceivedAt) {
		return false
	}
	before := *l
	l.ReceivedAt, l.InForce, l.Rate = n.At, n.Limited, 0
	if n.Limited {
		l.Rate = n.Rate
	}
	return before.InForce != l.InForce || before.Rate != l.Rate
}
