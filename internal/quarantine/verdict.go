package quarantine

import "time"

const (
	// endsToHold is under how many ends of servers work is held back: one may be an
	// accident of the server, two may be a coincidence of kills, and each further try costs
	// all answers in progress at one more server.
	endsToHold = 3
	// fullWeight is what one end counts, commonWeight one of an event that has ended several
	// servers of which most did not run the work: a power loss, a roll. It counts still,
	// since several requests that end servers may be about at the same time.
	fullWeight, commonWeight = 2, 1
	// commonEnds is from how many servers on that end within commonWindow the ends are taken
	// for one event, if the work was at less than half of them. Kills of many servers at
	// once reach the entries within some ms, or within a round trip of 100 ms.
	commonEnds   = 4
	commonWindow = 250 * time.Millisecond
	// settleTime is for how long the news of an event may still come in: work is not
	// judged before, only not sent.
	settleTime = 300 * time.Millisecond
)

// Verdict is how work may be sent.
type Verdict uint8

// The verdicts.
const (
	// Free work ended no server, or was answered since.
	Free Verdict = iota
	// Suspect work was at a server that ended: one copy of it runs at a time.
	Suspect
	// Unsettled work was at so many that ended that it may be at fault: it waits until the
	// news of other ends has come in.
	Unsettled
	// Held work is not sent to any server.
	Held
)

// String returns the verdict's name in logs.
func (v Verdict) String() string { return [...]string{"free", "suspect", "unsettled", "held"}[v] }

// Verdict judges work as of now.
func (t *Table) Verdict(now time.Time, d Digest) Verdict {
	r := t.records[d]
	if r == nil {
		return Free
	}
	if r.held() {
		if now.Sub(r.heldAt) < forgetAfter {
			return Held
		}
		return Suspect
	}
	switch counted := r.counted(); {
	case counted == 0:
		return Free
	case counted < endsToHold:
		return Suspect
	}
	weight, newest := t.weigh(r)
	switch {
	case weight < endsToHold*fullWeight:
		return Suspect
	case now.Sub(newest) < settleTime:
		return Unsettled
	}
	return Held
}

// weigh sums the ends that count against work up, and returns when the newest was.
func (t *Table) weigh(r *record) (weight int, newest time.Time) {
	for _, f := range r.ends {
		if !r.counts(f) {
			continue
		}
		if f.at.After(newest) {
			newest = f.at
		}
		if t.common(r, f.at) {
			weight += commonWeight
		} else {
			weight += fullWeight
		}
	}
	return weight, newest
}

// counts tells whether a fact counts against the work.
func (r *record) counts(f fact) bool { return !f.cleared && f.at.After(r.liftedAt) }

// counted is how many facts count against the work.
func (r *record) counted() (n int) {
	for _, f := range r.ends {
		if r.counts(f) {
			n++
		}
	}
	return n
}

// common tells whether servers that ended at this time ended by an event that the work
// does not explain.
func (t *Table) common(r *record, at time.Time) bool {
	ended, explained := 0, 0
	for server, other := range t.servers {
		if other.Sub(at).Abs() > commonWindow {
			continue
		}
		ended++
		if _, ok := r.ends[server]; ok {
			explained++
		}
	}
	return ended >= commonEnds && 2*explained < ended
}
