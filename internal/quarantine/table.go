package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// forgetAfter is how long ends and verdicts count. What ends a server does so until the
	// server or its weights are replaced. After it the work may run again, once at a time: one
	// server in ten minutes, of a hundred that are each out for 5 s.
	forgetAfter = 10 * time.Minute
	// forgetCleared is for how long it is remembered that an end was cleared: longer than news
	// of it is under way. Most ends are cleared within seconds.
	forgetCleared = 30 * time.Second
	// maxRecords bounds the work that is known, 670 bytes each with three ends (BenchmarkRecordSize):
	// that of all the slots of 300 servers that end at once. What was touched longest ago is dropped first, work that is
	// held back last.
	maxRecords = 4096
)

// News is one fact. With a Server, the work was in flight there when that start of a server
// ended, and Cleared tells that it was answered in full since. Without one, the work is held, or,
// Cleared, was let go by an operator: what was known of it until then counts no more.
type News struct {
	Digest  Digest
	Server  string
	Cleared bool
	// Alone: the work was sent there after another server had ended under it, as the only
	// copy.
	Alone bool
	// At is when the server ended, or the work began to be held or was let go, by the clock of
	// the table.
	At time.Time
}

// relaySlack is by how much later the same fact may seem to be when it comes over several
// daemons, each of which tells its age: one that is let go twice within it is let go once.
const relaySlack = time.Second

type fact struct {
	at             time.Time
	cleared, alone bool
}

type record struct {
	// ends are facts by start of a server.
	ends map[string]fact
	// heldAt is when the verdict became final, liftedAt when an operator let the work go;
	// zero if that was not.
	heldAt, liftedAt time.Time
	touchedAt        time.Time
}

// held tells whether the verdict is final.
func (r *record) held() bool { return r.heldAt.After(r.liftedAt) }

// Table holds what is known of work and of servers that ended. It is not safe for
// concurrent use.
type Table struct {
	records map[Digest]*record
	// servers are the starts that ended, and when, whatever ran there.
	servers map[string]time.Time
}

// New returns an empty table.
func New() *Table { return &Table{records: map[Digest]*record{}, servers: map[string]time.Time{}} }

// Empty tells whether nothing is held against any work.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Len returns how many pieces of work are known.
func (t *Table) Len() int { return len(t.records) }

// Merge takes a fact in, and tells whether it was new.
func (t *Table) Merge(now time.Time, n News) bool {
	if now.Sub(n.At) > forgetAfter {
		return false
	}
	r := t.records[n.Digest]
	if r == nil {
		if len(t.records) >= maxRecords {
			t.dropOldest()
		}
		r = &record{ends: map[string]fact{}}
		t.records[n.Digest] = r
	}
	r.touchedAt = now
	if n.Server == "" {
		return r.mergeVerdict(n)
	}
	if at, known := t.servers[n.Server]; !known || n.At.Before(at) {
		t.servers[n.Server] = n.At
	}
	known, ok := r.ends[n.Server]
	if !ok {
		known.at = n.At
	}
	joined := fact{at: known.at, cleared: known.cleared || n.Cleared, alone: known.alone || n.Alone}
	r.ends[n.Server] = joined
	return !ok || joined != known
}

// mergeVerdict takes in that work is held or was let go.
func (r *record) mergeVerdict(n News) bool {
	if n.Cleared {
		if n.At.Sub(r.liftedAt) <= relaySlack {
			return false
		}
		r.liftedAt = n.At
		return true
	}
	wasHeld := r.held()
	if n.At.After(r.heldAt) {
		r.heldAt = n.At
	}
	return !wasHeld && r.held()
}

// Served notes that work was answered in full, and returns the facts that this clears.
func (t *Table) Served(now time.Time, d Digest) []News {
	r := t.records[d]
	if r == nil {
		return nil
	}
	var out []News
	for server, f := range r.ends {
		if !f.cleared {
			n := News{Digest: d, Server: server, Cleared: true, At: f.at}
			t.Merge(now, n)
			out = append(out, n)
		}
	}
	return out
}

// Evidence returns the starts of servers that count against work, in the order of names.
func (t *Table) Evidence(d Digest) []string {
	r := t.records[d]
	if r == nil {
		return nil
	}
	var out []string
	for _, server := range slices.Sorted(maps.Keys(r.ends)) {
		if r.counts(r.ends[server]) {
			out = append(out, server)
		}
	}
	return out
}

// Settle makes the verdict final for work that is to be held, and returns the news of it.
func (t *Table) Settle(now time.Time) []News {
	var out []News
	for d, r := range t.records {
		if !r.held() && t.Verdict(now, d) == Held {
			n := News{Digest: d, At: now}
			t.Merge(now, n)
			out = append(out, n)
		}
	}
	return out
}

// All returns what counts, for a daemon that knows nothing: not what was cleared.
func (t *Table) All() []News {
	var out []News
	for d, r := range t.records {
		for server, f := range r.ends {
			if r.counts(f) {
				out = append(out, News{Digest: d, Server: server, Alone: f.alone, At: f.at})
			}
		}
		if !r.liftedAt.IsZero() {
			out = append(out, News{Digest: d, Cleared: true, At: r.liftedAt})
		}
		if r.held() {
			out = append(out, News{Digest: d, At: r.heldAt})
		}
	}
	return out
}

// Forget drops what no longer counts.
func (t *Table) Forget(now time.Time) {
	for server, at := range t.servers {
		if now.Sub(at) > forgetAfter {
			delete(t.servers, server)
		}
	}
	for d, r := range t.records {
		maps.DeleteFunc(r.ends, func(_ string, f fact) bool {
			return now.Sub(f.at) > forgetAfter || f.cleared && now.Sub(r.touchedAt) > forgetCleared
		})
		if now.Sub(r.heldAt) > forgetAfter {
			r.heldAt = time.Time{}
		}
		if now.Sub(r.liftedAt) > forgetAfter {
			r.liftedAt = time.Time{}
		}
		if len(r.ends) == 0 && r.heldAt.IsZero() && r.liftedAt.IsZero() {
			delete(t.records, d)
		}
	}
}

// dropOldest makes room for one more record.
func (t *Table) dropOldest() {
	var oldest Digest
	var least *record
	for d, r := range t.records {
		if least == nil || r.before(least) {
			oldest, least = d, r
		}
	}
	delete(t.records, oldest)
}

// before tells whether a record is dropped sooner than another.
func (r *record) before(other *record) bool {
	if r.held() != other.held() {
		return !r.held()
	}
	return r.touchedAt.Before(other.touchedAt)
}
