package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// retention is how long crashes and verdicts count. Content that crashes servers does so until the
	// servers or their weights are replaced. After this time it may be dispatched again, one attempt at
	// a time: this costs one server in ten minutes, of a hundred that are each out for 5 s.
	retention = 10 * time.Minute
	// clearedRetention is how long a cleared crash is remembered; updates about it are under way
	// for less. Most crashes are cleared within seconds.
	clearedRetention = 30 * time.Second
	// maxRecords bounds the known content, 960 bytes each with three crashes (BenchmarkRecordSize):
	// that of all slots of 300 servers that crash at once. The record changed longest ago is evicted
	// first, quarantined content last.
	maxRecords = 4096
)

// Update is an update with one fact. With a Server, the content was in flight at that incarnation of a
// server when it crashed, and Cleared means that it was answered completely since. Without a Server,
// the content is quarantined or, if Cleared, was released by an operator: earlier facts count no more.
// With an Index, the replicated log says so as of that entry: the content is in the log as quarantined
// or, if Cleared, is not. Of these facts the one of the later entry counts, whenever it arrives.
type Update struct {
	Digest  Digest
	Server  string
	Cleared bool
	Index   uint64
	// Origin and Part are those of the Candidate. Version is the version of the weights that the server used, 0 if it has none.
	Origin  uint64
	Part    string
	Version uint64
	// SoleAttempt: the attempt was dispatched after another server had crashed with the content, as the
	// only one in flight.
	SoleAttempt bool
	// At is when the server crashed, or the content was quarantined or released, by the clock of
	// the table.
	At time.Time
}

// relaySlack is how much the times of one release may differ when it arrives through several
// daemons, each of which passes its age on: two releases within it are one.
const relaySlack = time.Second

type crash struct {
	at             time.Time
	cleared, alone bool
	version        uint64
	// origins are the least two of those of the requests that the server had, 0 for none.
	origins [2]uint64
}

// merge returns what both observations of one crash say.
func (c crash) merge(other crash) crash {
	c.cleared = c.cleared || other.cleared
	c.alone = c.alone || other.alone
	c.version = max(c.version, other.version)
	for _, origin := range other.origins {
		c.addOrigin(origin)
	}
	return c
}

func (c *crash) addOrigin(origin uint64) {
	all := slices.DeleteFunc([]uint64{c.origins[0], c.origins[1], origin}, func(o uint64) bool { return o == 0 })
	slices.Sort(all)
	c.origins = [2]uint64{}
	copy(c.origins[:], slices.Compact(all))
}

type record struct {
	// crashes is keyed by the incarnation of the server.
	crashes map[string]crash
	// quarantinedAt is when the content was quarantined because of its crashes, releasedAt when an
	// operator released it; zero if that has not happened.
	quarantinedAt, releasedAt time.Time
	logged                    logged
	touchedAt                 time.Time
	// part is the id of the part of the prompt, if it is known.
	part string
}

// logged is what the replicated log says about a content. A control server that has just started
// applies old entries long after they were committed, so only their order counts, not the time.
type logged struct {
	// quarantined is the latest entry as of which the content is in the log as quarantined, released
	// the latest one as of which it is not; 0 if there is none.
	quarantined, released uint64
	// at is when the latest of them arrived.
	at time.Time
}

func (l *logged) inForce() bool { return l.quarantined > l.released }

// merge adds a fact of the log and reports whether others may not know it.
func (l *logged) merge(n Update) bool {
	before := *l
	if n.Cleared {
		l.released = max(l.released, n.Index)
	} else {
		l.quarantined = max(l.quarantined, n.Index)
	}
	if l.quarantined != before.quarantined || l.released != before.released {
		l.at = n.At
	}
	return l.inForce() != before.inForce() || before.released == 0 && l.released > 0
}

// quarantined reports whether the content is quarantined and has not been released since.
func (r *record) quarantined() bool {
	return r.quarantinedAt.After(r.releasedAt) || r.logged.inForce() && !r.logged.at.Before(r.releasedAt)
}

// quarantinedSince returns when the content was quarantined last, as far as it is.
func (r *record) quarantinedSince() time.Time {
	if r.logged.inForce() && r.logged.at.After(r.quarantinedAt) {
		return r.logged.at
	}
	return r.quarantinedAt
}

// Table holds the known crashes of servers and the content that was in flight. It is not safe for
// concurrent use.
type Table struct {
	records map[Digest]*record
	// servers are the times at which incarnations crashed, whatever was in flight there.
	servers map[string]time.Time
	// parts are the records of parts of prompts.
	parts map[Digest]*record
	// trials are the servers that crashed while they had the only attempt with a suspect part.
	trials map[string]bool
	sound  soundParts
}

// New returns an empty table.
func New() *Table {
	return &Table{
		records: map[Digest]*record{}, servers: map[string]time.Time{}, parts: map[Digest]*record{}, trials: map[string]bool{},
	}
}

// Empty reports whether no content is known as suspect.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Len returns the number of known contents.
func (t *Table) Len() int { return len(t.records) }

// Merge adds a fact and reports whether it was new.
func (t *Table) Merge(now time.Time, n Update) bool {
	if now.Sub(n.At) > retention {
		return false
	}
	r := t.records[n.Digest]
	if r == nil {
		if len(t.records) >= maxRecords {
			t.evictOldest()
		}
		r = &record{crashes: map[string]crash{}}
		t.records[n.Digest] = r
	}
	r.touchedAt = now
	if n.Part != "" && (r.part == "" || n.Part < r.part) {
		r.part = n.Part
		t.parts[n.Digest] = r
	}
	if n.Index > 0 {
		return r.logged.merge(n)
	}
	if n.Server == "" {
		return r.mergeVerdict(n)
	}
	if at, known := t.servers[n.Server]; !known || n.At.Before(at) {
		t.servers[n.Server] = n.At
	}
	if n.SoleAttempt && n.Part != "" {
		t.trials[n.Server] = true
	}
	known, ok := r.crashes[n.Server]
	if !ok {
		known.at = n.At
	}
	joined := known.merge(crash{cleared: n.Cleared, alone: n.SoleAttempt, version: n.Version, origins: [2]uint64{n.Origin}})
	r.crashes[n.Server] = joined
	return !ok || joined != known
}

// mergeVerdict records that the content is quarantined or was released.
func (r *record) mergeVerdict(n Update) bool {
	if n.Cleared {
		if n.At.Sub(r.releasedAt) <= relaySlack {
			return false
		}
		r.releasedAt = n.At
		return true
	}
	wasQuarantined := r.quarantined()
	if n.At.After(r.quarantinedAt) {
		r.quarantinedAt = n.At
	}
	return !wasQuarantined && r.quarantined()
}

// Answered records that the content was answered completely on a version of the weights, and returns the facts that this clears. A
// crash on another version still counts. If no crash counts any more, a quarantine ends.
func (t *Table) Answered(now time.Time, d Digest, version uint64) []Update {
	r := t.records[d]
	if r == nil {
		return nil
	}
	counted := r.counted()
	var out []Update
	for server, f := range r.crashes {
		if !f.cleared && (f.version == version || f.version == 0 || version == 0) {
			out = append(out, Update{Digest: d, Server: server, Cleared: true, At: f.at})
		}
	}
	for _, n := range out {
		t.Merge(now, n)
	}
	if counted > 0 && r.counted() == 0 && r.quarantined() {
		release := Update{Digest: d, Cleared: true, At: now}
		t.Merge(now, release)
		out = append(out, release)
	}
	return out
}

// Evidence returns the crashed incarnations of servers that count against the content, sorted.
func (t *Table) Evidence(d Digest) []string {
	r := t.records[d]
	if r == nil {
		return nil
	}
	var out []string
	for _, server := range slices.Sorted(maps.Keys(r.crashes)) {
		if r.counts(r.crashes[server]) {
			out = append(out, server)
		}
	}
	return out
}

// Quarantine records as quarantined the content whose verdict is Quarantined by now, and returns the updates about it.
func (t *Table) Quarantine(now time.Time) []Update {
	var out []Update
	for d, r := range t.records {
		if !r.quarantined() && t.Verdict(now, d) == Quarantined {
			n := Update{Digest: d, Part: r.part, At: now}
			t.Merge(now, n)
			out = append(out, n)
		}
	}
	return out
}

// Released returns the candidates that are in the log as quarantined, but were released since they were quarantined last.
func (t *Table) Released() []Digest {
	var out []Digest
	for d, r := range t.records {
		if r.logged.inForce() && r.releasedAt.After(r.quarantinedAt) {
			out = append(out, d)
		}
	}
	return out
}

// All returns all facts that count, for a daemon that has just started; cleared crashes are left out.
func (t *Table) All() []Update {
	var out []Update
	for d, r := range t.records {
		for server, f := range r.crashes {
			if r.counts(f) {
				out = append(out, f.updates(d, server, r.part)...)
			}
		}
		if !r.releasedAt.IsZero() {
			out = append(out, Update{Digest: d, Cleared: true, At: r.releasedAt})
		}
		if r.quarantinedAt.After(r.releasedAt) {
			out = append(out, Update{Digest: d, At: r.quarantinedAt})
		}
		out = append(out, r.logged.updates(d)...)
	}
	return out
}

// updates returns the facts about a crash, one for each origin.
func (c crash) updates(d Digest, server, part string) []Update {
	n := Update{Digest: d, Server: server, SoleAttempt: c.alone, Version: c.version, Origin: c.origins[0], Part: part, At: c.at}
	out := []Update{n}
	if c.origins[1] != 0 {
		n.Origin = c.origins[1]
		out = append(out, n)
	}
	return out
}

// updates returns the facts of the log about a content.
func (l *logged) updates(d Digest) []Update {
	var out []Update
	if l.released > 0 {
		out = append(out, Update{Digest: d, Cleared: true, Index: l.released, At: l.at})
	}
	if l.inForce() {
		out = append(out, Update{Digest: d, Index: l.quarantined, At: l.at})
	}
	return out
}

// Forget drops the facts that have expired.
func (t *Table) Forget(now time.Time) {
	for server, at := range t.servers {
		if now.Sub(at) > retention {
			delete(t.servers, server)
			delete(t.trials, server)
		}
	}
	for d, r := range t.records {
		maps.DeleteFunc(r.crashes, func(_ string, f crash) bool {
			return now.Sub(f.at) > retention || f.cleared && now.Sub(r.touchedAt) > clearedRetention
		})
		if now.Sub(r.quarantinedAt) > retention {
			r.quarantinedAt = time.Time{}
		}
		if now.Sub(r.releasedAt) > retention {
			r.releasedAt = time.Time{}
		}
		if now.Sub(r.logged.at) > retention {
			r.logged = logged{}
		}
		if len(r.crashes) == 0 && r.quarantinedAt.IsZero() && r.releasedAt.IsZero() && r.logged == (logged{}) {
			t.drop(d)
		}
	}
}

func (t *Table) drop(d Digest) {
	delete(t.records, d)
	delete(t.parts, d)
}

// evictOldest drops one record to make space for another.
func (t *Table) evictOldest() {
	var oldest Digest
	var least *record
	for d, r := range t.records {
		if least == nil || r.evictedBefore(least) {
			oldest, least = d, r
		}
	}
	t.drop(oldest)
}

// evictedBefore reports whether the record is evicted before another.
func (r *record) evictedBefore(other *record) bool {
	if r.quarantined() != other.quarantined() {
		return !r.quarantined()
	}
	return r.touchedAt.Before(other.touchedAt)
}
