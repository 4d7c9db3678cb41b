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
		if verdict == Quarantined && t.mayBeTried(now, r, candidates) {
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

const (
	// trialInterval is the time without a trial after the first one that crashed its server. It doubles with each further one.
	trialInterval = 4 * time.Second
	// excusedTime is how long after the quarantine a trial that crashes its server together with a request dispatched earlier does
	// not count. Two trials that crash one server together count.
	excusedTime = time.Second
	// maxTrialDoublings keeps the interval below the retention.
	maxTrialDoublings = 7
)

// mayBeTried reports whether a request with these candidates may be dispatched although one of them, with this record, is quarantined:
// every crash that counts against that one was also one under parts of prompts that the request does not have, and the
// last trial was long enough ago. Before the first trial there is no wait if all those parts are quarantined.
func (t *Table) mayBeTried(now time.Time, r *record, candidates []Candidate) bool {
	crashes := r.countedCrashes()
	if len(crashes) == 0 {
		return false
	}
	others := t.otherCauses(now, r, candidates)
	failed, certain := 0, true
	for server, f := range r.crashes {
		if !r.counts(f) {
			continue
		}
		by := explain(server, others)
		if !by.any {
			return false
		}
		certain = certain && by.quarantined
		since := f.at.Sub(r.quarantinedSince())
		inFlight := by.quarantined && !by.allAlone && since < excusedTime
		if f.alone && since > 0 && !inFlight {
			failed++
		}
	}
	if failed == 0 && certain {
		return true
	}
	last := crashes[len(crashes)-1].at
	return now.Sub(last) >= trialInterval<<min(max(failed-1, 0), maxTrialDoublings)
}

// otherCause is a part that may be the cause of crashes in place of another candidate.
type otherCause struct {
	*record
	quarantined bool
}

// otherCauses returns the suspect and quarantined parts of prompts that may be the cause of crashes under r, other than these
// candidates. The same part in the requests of one organisation is no other cause.
func (t *Table) otherCauses(now time.Time, r *record, candidates []Candidate) (others []otherCause) {
	for d, other := range t.parts {
		if !other.sharesCrash(r) || other.part == r.part {
			continue
		}
		if slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Digest == d }) {
			continue
		}
		if verdict := t.Verdict(now, d); verdict != Free {
			others = append(others, otherCause{record: other, quarantined: verdict == Quarantined})
		}
	}
	return others
}

// sharesCrash reports whether a server crashed with both in flight.
func (r *record) sharesCrash(other *record) bool {
	for server := range other.crashes {
		if _, ok := r.crashes[server]; ok {
			return true
		}
	}
	return false
}

// explanation says under which other causes a server crashed: whether there are any, whether one of them is quarantined, and
// whether none of these had another attempt in progress.
type explanation struct{ any, quarantined, allAlone bool }

func explain(server string, others []otherCause) explanation {
	e := explanation{allAlone: true}
	for _, other := range others {
		f, ok := other.crashes[server]
		if !ok {
			continue
		}
		e.any = true
		if other.quarantined {
			e.quarantined = true
			e.allAlone = e.allAlone && f.alone
		}
	}
	return e
}
