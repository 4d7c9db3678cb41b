package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// Entry is what is held against one piece of work, for operators.
type Entry struct {
	Digest  Digest
	Verdict Verdict
	// Servers are the starts of servers that ended under it.
	Servers []string
	// Since is when the verdict became final, zero if it is not.
	Since time.Time
}

// Entries returns all work that anything counts against, in the order of digests.
func (t *Table) Entries(now time.Time) []Entry {
	var out []Entry
	for d, r := range t.records {
		verdict := t.Verdict(now, d)
		if verdict == Free {
			continue
		}
		e := Entry{Digest: d, Verdict: verdict, Servers: t.Evidence(d)}
		if r.held() {
			e.Since = r.heldAt
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return bytes.Compare(a.Digest[:], b.Digest[:]) })
	return out
}
