package quarantine

import (
	"slices"
	"time"
)

// Judgement is the verdict on a request, and the candidate cause that it rests on.
type Judgement struct {
	Verdict Verdict
	Cause   Candidate
	// Servers are the crashed incarnations that count against the cause.
	Servers []string
}

// Judge returns the worst verdict on the candidate causes of one request. Of several with that verdict the cause is the one
// with the most crashes, of these the first. Candidates that come together in all crashes are quarantined together; which of them is the cause is not known.
// A request that has only some of them is suspect, and not quarantined, so that its answer can show that these are sound.
func (t *Table) Judge(now time.Time, candidates []Candidate) Judgement {
	var worst Judgement
	crashes := 0
	for _, c := range candidates {
		r := t.records[c.Digest]
		if r == nil {
			continue
		}
		verdict, counted := t.Verdict(now, c.Digest), r.counted()
		if verdict == Quarantined && t.explained(now, r, candidates) {
			verdict = Suspect
		}
		if verdict > worst.Verdict || verdict == worst.Verdict && verdict != Free && counted > crashes {
			worst, crashes = Judgement{Verdict: verdict, Cause: c}, counted
		}
	}
	if worst.Verdict != Free {
		worst.Servers = t.Evidence(worst.Cause.Digest)
	}
	return worst
}

// explained reports whether every crash that counts against r was also one under other quarantined candidates, which a request with
// these candidates does not have. The same part in the requests of one organisation explains nothing.
func (t *Table) explained(now time.Time, r *record, candidates []Candidate) bool {
	crashes := r.countedCrashes()
	if len(crashes) == 0 {
		return false
	}
	var others []*record
	for d, other := range t.records {
		isOwn := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Digest == d })
		samePart := r.part != "" && other.part == r.part
		if !isOwn && !samePart && t.Verdict(now, d) == Quarantined {
			others = append(others, other)
		}
	}
	for server, f := range r.crashes {
		if !r.counts(f) {
			continue
		}
		if !slices.ContainsFunc(others, func(other *record) bool { _, ok := other.crashes[server]; return ok }) {
			return false
		}
	}
	return true
}
