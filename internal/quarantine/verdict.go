package quarantine

import (
	"slices"
	"sort"
	"time"
)

const (
	// endsToHold is under how many ends of servers work is held back: one may be an
	// accident of the server, two may be a coincidence of kills, and each further try costs
	// all answers in progress at one more server.
	endsToHold = 3
	// fullWeight is what one end counts, where a common event counts 1; eventEnds is how many of the ends of one event count
	// at most. Work that callers ask for again and again is at most servers at any moment, so
	// that a loss of power of a rack ends servers under several copies of it: that is one
	// observation, which a further copy, sent alone, has to confirm. Work that does end
	// servers costs one server more for it where several copies were under way.
	fullWeight, eventEnds = 12, 2
	// eventWindow is within what time of the first of them ends are one event. Kills at the
	// same moment reach the entries within some ms, or a round trip of 100 ms; daemons that
	// are short of processor time see and tell them up to some hundred ms later.
	eventWindow = time.Second
	// commonEnds is from how many servers on that end within commonWindow an event is common,
	// if the work was at less than half of them: a power loss, a roll. Common events count
	// the square of their number: one copy at a time meets one or two of them by chance,
	// and counts less than one end for three; at the sixth it is held, since several
	// requests that end servers may be about at the same time.
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

// weigh sums the ends that count against work up by event, and returns when the newest was.
func (t *Table) weigh(r *record) (weight int, newest time.Time) {
	ends := r.countedEnds()
	if len(ends) > 0 {
		newest = ends[len(ends)-1].at
	}
	common := 0
	var own []fact
	for _, moment := range within(commonWindow, ends) {
		ended, explained := t.endedAt(r, moment[0].at)
		switch {
		case ended >= commonEnds && 2*explained < ended:
			common++
		case ended >= commonEnds:
			// Also a copy that was sent alone may have met one of the servers that were about
			// to end with the others.
			own = append(own, besideOthers(moment)...)
		default:
			own = append(own, moment...)
		}
	}
	for _, event := range within(eventWindow, own) {
		weight += observations(event) * fullWeight
	}
	return weight + common*common, newest
}

// within parts ends, the first one first, into those within this time of the first of each part.
func within(window time.Duration, ends []fact) (parts [][]fact) {
	for len(ends) > 0 {
		n := sort.Search(len(ends), func(i int) bool { return ends[i].at.Sub(ends[0].at) > window })
		parts = append(parts, ends[:n])
		ends = ends[n:]
	}
	return parts
}

// observations is how many ends of one event count: each under a copy that was sent alone, and
// eventEnds at most of those under copies that were under way at the same time.
func observations(ends []fact) int {
	alone := 0
	for _, f := range ends {
		if f.alone {
			alone++
		}
	}
	return alone + min(len(ends)-alone, eventEnds)
}

// countedEnds returns the ends that count against the work, the first one first.
func (r *record) countedEnds() []fact {
	var ends []fact
	for _, f := range r.ends {
		if r.counts(f) {
			ends = append(ends, f)
		}
	}
	slices.SortFunc(ends, func(a, b fact) int { return a.at.Compare(b.at) })
	return ends
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

// besideOthers returns ends as those of copies that were under way at the same time.
func besideOthers(ends []fact) []fact {
	out := slices.Clone(ends)
	for i := range out {
		out[i].alone = false
	}
	return out
}

// endedAt returns how many servers ended at about this time, and at how many of them the work was.
func (t *Table) endedAt(r *record, at time.Time) (ended, explained int) {
	for server, other := range t.servers {
		if other.Sub(at).Abs() > commonWindow {
			continue
		}
		ended++
		if _, ok := r.ends[server]; ok {
			explained++
		}
	}
	return ended, explained
}
