// Package directory merges the announcements of backend servers into a table. Each
// server announces itself to some control server, and control servers forward the
// announcements, late and out of order. State: the newest announcement by server.
// Merging is idempotent and commutative, so the result does not depend on order or
// repetition. Incarnations with one id are distinguished by StartUnixMs: the later one
// replaces the earlier one, whose announcements no longer count. A leave without StartUnixMs
// applies to the incarnation known here.
package directory

import (
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// forgetAfter is for how long the record of a server that left or fell silent is
// kept, so that a delayed announcement does not add the server again. Announcements
// are delayed by seconds at most.
const forgetAfter = 60 * time.Second

// maxAge bounds the age of a server that is derived from a sequence number, so that
// the duration does not overflow.
const maxAge = 10 * 365 * 24 * time.Hour

// Directory is a table of backend servers. It is not safe for concurrent use.
type Directory struct {
	servers map[string]*fleet.BackendServer
	// interval is the time between two announcements of one server.
	interval time.Duration
}

// New returns an empty directory of servers that announce themselves at this interval,
// 0 if it is not known.
func New(interval time.Duration) *Directory {
	return &Directory{servers: map[string]*fleet.BackendServer{}, interval: interval}
}

// Change says what an announcement changed.
type Change uint8

// The changes.
const (
	// Unchanged: the announcement is outdated.
	Unchanged Change = iota
	// Renewed: only the sequence number and the time of receipt are new.
	Renewed
	// Changed: the record differs from the one before.
	Changed
)

// Merge merges an announcement into the table.
func (d *Directory) Merge(b fleet.BackendServer) Change {
	b.StartedAt = d.estimateStart(b.Seq, b.SeenAt)
	known, ok := d.servers[b.ID]
	if !ok {
		d.servers[b.ID] = &b
		return Changed
	}
	if b.StartUnixMs != 0 && b.StartUnixMs < known.StartUnixMs {
		return Unchanged // an earlier incarnation
	}
	if known.StartUnixMs != 0 && b.StartUnixMs > known.StartUnixMs {
		return d.replace(known, b)
	}
	b.StartUnixMs = max(b.StartUnixMs, known.StartUnixMs)
	known = d.lowerStart(known, b.StartedAt)
	b.StartedAt = known.StartedAt
	if b.State < known.State {
		return Unchanged // states only advance
	}
	if b.Seq <= known.Seq && b.State == known.State {
		return Unchanged
	}
	if b.State == fleet.StateGone && b.Addr == "" {
		b = recordOfLeave(known, b)
	}
	change := Renewed
	if !sameRecord(known, &b) {
		change = Changed
	}
	b.Seq = max(b.Seq, known.Seq)
	if b.SeenAt.Before(known.SeenAt) {
		b.SeenAt = known.SeenAt
	}
	d.servers[b.ID] = &b
	return change
}

// replace replaces the record of an incarnation by that of a later one with the same id.
// If the later one has announced only that it leaves, its record gets the service, the
// address, the zone and the slots of the former one.
func (d *Directory) replace(former *fleet.BackendServer, b fleet.BackendServer) Change {
	if b.State == fleet.StateGone && b.Addr == "" {
		b.Service, b.Addr, b.Zone, b.Slots = former.Service, former.Addr, former.Zone, former.Slots
	}
	d.servers[b.ID] = &b
	return Changed
}

// estimateStart estimates when a server started from the sequence number of an announcement
// and its time of receipt. The sequence number rises by one with each announcement. The
// server started no later than the estimate, unless announcements were repeated for more
// intervals than this one was delayed.
func (d *Directory) estimateStart(seq uint64, at time.Time) time.Time {
	if d.interval <= 0 {
		return at
	}
	return at.Add(-time.Duration(min(seq, uint64(maxAge/d.interval))) * d.interval)
}

// lowerStart stores an estimate of the start of a server if it is earlier than the one
// known, and returns the record.
func (d *Directory) lowerStart(known *fleet.BackendServer, startedAt time.Time) *fleet.BackendServer {
	if !startedAt.Before(known.StartedAt) {
		return known
	}
	next := *known
	next.StartedAt = startedAt
	d.servers[known.ID] = &next
	return &next
}

// recordOfLeave returns the record of a server that has left with an announcement of its id only.
func recordOfLeave(known *fleet.BackendServer, b fleet.BackendServer) fleet.BackendServer {
	next := *known
	next.State = fleet.StateGone
	next.SeenAt, next.StartUnixMs = b.SeenAt, b.StartUnixMs
	return next
}

// Renew records the receipt of an announcement with this sequence number that changes
// nothing else. born is the start time of the incarnation that sent it, 0 if it is not known.
func (d *Directory) Renew(id string, born int64, seq uint64, at time.Time) Change {
	known, ok := d.servers[id]
	if !ok || seq <= known.Seq || born != 0 && known.StartUnixMs != 0 && born != known.StartUnixMs {
		return Unchanged
	}
	next := *d.lowerStart(known, d.estimateStart(seq, at))
	next.Seq = seq
	next.Cold = max(next.ColdUntil().Sub(at), 0)
	next.SeenAt = at
	d.servers[id] = &next
	return Renewed
}

func sameRecord(a, b *fleet.BackendServer) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.State == b.State && sameColdness(a, b) && slices.Equal(a.Models, b.Models)
}

// coldTolerance is by how much the end of a cold start may differ between announcements that differ
// in their delay.
const coldTolerance = 500 * time.Millisecond

// sameColdness reports whether a server is cold until about the same time by both announcements,
// or no longer.
func sameColdness(known, b *fleet.BackendServer) bool {
	end, newEnd := known.ColdUntil(), b.ColdUntil()
	if !end.After(b.SeenAt) && !newEnd.After(b.SeenAt) {
		return true
	}
	return end.Sub(newEnd).Abs() <= coldTolerance
}

// Forget drops servers that have sent no announcement for forgetAfter.
func (d *Directory) Forget(now time.Time) {
	for id, b := range d.servers {
		if now.Sub(b.SeenAt) > forgetAfter {
			delete(d.servers, id)
		}
	}
}

// Get returns a server's record, nil if it is not known. The caller must not change it.
func (d *Directory) Get(id string) *fleet.BackendServer { return d.servers[id] }

// AddressTakenOver reports whether a later incarnation, under another id, has taken over a
// server's address.
func (d *Directory) AddressTakenOver(b *fleet.BackendServer) bool {
	for _, other := range d.servers {
		if other.ID != b.ID && other.Addr == b.Addr && b.Life().SupersededBy(other.Life()) {
			return true
		}
	}
	return false
}

// All returns all records, in no order. The caller must not change them.
func (d *Directory) All() []*fleet.BackendServer {
	all := make([]*fleet.BackendServer, 0, len(d.servers))
	for _, b := range d.servers {
		all = append(all, b)
	}
	return all
}
