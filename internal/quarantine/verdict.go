package quarantine

import (
	"slices"
	"sort"
	"time"
)

const (
	// crashesToQuarantine is the number of crashes after which content is quarantined. One may be a
	// fault of the server and two may be coincidental kills, but each further attempt may cost all
	// answers in progress at one more server.
	crashesToQuarantine = 3
	// crashWeight is the weight of one crash, where the first common event weighs 1. maxCrashesPerEvent
	// is how many crashes of one event count at most, besides those of attempts that were dispatched
	// alone. Content that callers request all the time is in flight at most servers, so a power loss of
	// a rack crashes several servers that have it, and a further attempt, dispatched alone, has to
	// confirm that the content is the cause. The price is that content which does crash servers crashes
	// one more where several attempts were in flight.
	crashWeight, maxCrashesPerEvent = 12, 2
	// eventWindow is the time since the first crash within which crashes count as one event. Entries
	// see simultaneous kills within some ms, or within a round trip of 100 ms. Daemons that are short
	// of processor time detect and report them up to some hundred ms later.
	eventWindow = time.Second
	// An event is common, such as a power loss or a rolling restart, if at least commonEventServers
	// servers crash within commonWindow and the content was at less than half of them. Common events
	// together weigh the square of their number. Content with one attempt at a time meets one or two by
	// chance, and three weigh less than one crash. At the sixth the content is quarantined, since
	// several requests that crash servers may be active at the same time.
	commonEventServers = 4
	commonWindow       = 250 * time.Millisecond
	// settleTime is how long updates about an event may still arrive: until then content is not
	// quarantined, only not dispatched.
	settleTime = 300 * time.Millisecond
)

// Verdict says how content may be dispatched.
type Verdict uint8

// The verdicts.
const (
	// Free content has crashed no server, or was answered since.
	Free Verdict = iota
	// Suspect content was at a server that crashed: it runs one attempt at a time.
	Suspect
	// Unsettled content was at so many servers that crashed that it may be the cause: it waits
	// until updates about other crashes have arrived.
	Unsettled
	// Quarantined content is quarantined: it is not dispatched to any server.
	Quarantined
)

// String returns the verdict's name, as in logs.
func (v Verdict) String() string { return [...]string{"free", "suspect", "unsettled", "held"}[v] }

// Verdict returns the verdict on the content as of now.
func (t *Table) Verdict(now time.Time, d Digest) Verdict {
	r := t.records[d]
	if r == nil {
		return Free
	}
	if r.quarantined() {
		if now.Sub(r.quarantinedSince()) < retention {
			return Quarantined
		}
		return Suspect
	}
	switch counted := r.counted(); {
	case counted == 0, r.ofOneOrganisation():
		return Free
	case counted < crashesToQuarantine:
		return Suspect
	}
	weight, newest := t.weigh(r)
	switch {
	case weight < crashesToQuarantine*crashWeight:
		return Suspect
	case now.Sub(newest) < settleTime:
		return Unsettled
	}
	return Quarantined
}

// weigh returns the weight of all crashes that count against the content, by event, and the time of
// the newest of them.
func (t *Table) weigh(r *record) (weight int, newest time.Time) {
	crashes := r.countedCrashes()
	if len(crashes) > 0 {
		newest = crashes[len(crashes)-1].at
	}
	common := 0
	var uncommon []crash
	for _, group := range groupWithin(commonWindow, crashes) {
		crashed, involved := t.crashedAround(r, group[0].at)
		switch {
		case crashed >= commonEventServers && 2*involved < crashed:
			common++
		case crashed >= commonEventServers:
			// Even an attempt that was dispatched alone may have reached a server that was about to
			// crash with the others.
			uncommon = append(uncommon, asConcurrent(group)...)
		default:
			uncommon = append(uncommon, group...)
		}
	}
	for _, event := range groupWithin(eventWindow, uncommon) {
		weight += countObservations(event) * crashWeight
	}
	return weight + common*common, newest
}

// groupWithin splits sorted crashes into groups that each span at most window from their first crash.
func groupWithin(window time.Duration, crashes []crash) (parts [][]crash) {
	for len(crashes) > 0 {
		n := sort.Search(len(crashes), func(i int) bool { return crashes[i].at.Sub(crashes[0].at) > window })
		parts = append(parts, crashes[:n])
		crashes = crashes[n:]
	}
	return parts
}

// countObservations returns how many crashes of one event count: each under an attempt that was
// dispatched alone, and at most maxCrashesPerEvent under concurrent attempts.
func countObservations(crashes []crash) int {
	alone := 0
	for _, f := range crashes {
		if f.alone {
			alone++
		}
	}
	return alone + min(len(crashes)-alone, maxCrashesPerEvent)
}

// countedCrashes returns the crashes that count against the content, oldest first.
func (r *record) countedCrashes() []crash {
	var crashes []crash
	for _, f := range r.crashes {
		if r.counts(f) {
			crashes = append(crashes, f)
		}
	}
	slices.SortFunc(crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	return crashes
}

// counts reports whether a crash counts against the content.
func (r *record) counts(f crash) bool { return !f.cleared && f.at.After(r.releasedAt) }

// counted returns the number of crashes that count against the content.
func (r *record) counted() (n int) {
	for _, f := range r.crashes {
		if r.counts(f) {
			n++
		}
	}
	return n
}

// ofOneOrganisation reports whether the candidate is one of several organisations, and all crashes that count were under requests of
// one.
func (r *record) ofOneOrganisation() bool {
	var seen uint64
	for _, f := range r.crashes {
		if !r.counts(f) || f.origins[0] == 0 {
			continue
		}
		if f.origins[1] != 0 || seen != 0 && seen != f.origins[0] {
			return false
		}
		seen = f.origins[0]
	}
	return seen != 0
}

// asConcurrent returns the crashes as if none of the attempts had been dispatched alone.
func asConcurrent(crashes []crash) []crash {
	out := slices.Clone(crashes)
	for i := range out {
		out[i].alone = false
	}
	return out
}

// crashedAround returns how many servers crashed at about this time, and how many of them had the
// content in flight. A server that crashed under the only attempt with another suspect part is left out: several parts that crash
// servers at the same time are no common event.
func (t *Table) crashedAround(r *record, at time.Time) (crashed, involved int) {
	for server, other := range t.servers {
		if other.Sub(at).Abs() > commonWindow {
			continue
		}
		_, ok := r.crashes[server]
		if ok {
			involved++
		}
		if ok || !t.trials[server] {
			crashed++
		}
	}
	return crashed, involved
}
