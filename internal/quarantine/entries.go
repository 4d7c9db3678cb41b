package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// ContentStatus describes one suspect or quarantined request content to operators.
type ContentStatus struct {
	Digest Digest
	// Part is the id of the part of prompts, empty for the whole content of a request.
	Part    string
	Verdict Verdict
	// Servers are the incarnations of servers that crashed with it in flight.
	Servers []string
	// Since is when the content was quarantined, zero if it is not.
	Since time.Time
}

// Entries returns all content whose verdict is not Free, ordered by digest.
func (t *Table) Entries(now time.Time) []ContentStatus {
	var out []ContentStatus
	for d, r := range t.records {
		verdict := t.Verdict(now, d)
		if verdict == Free {
			continue
		}
		e := ContentStatus{Digest: d, Part: r.part, Verdict: verdict, Servers: t.Evidence(d)}
		if r.quarantined() {
			e.Since = r.quarantinedSince()
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b ContentStatus) int { return bytes.Compare(a.Digest[:], b.Digest[:]) })
	return out
}
