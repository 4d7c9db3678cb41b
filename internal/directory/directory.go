// Package directory keeps what is known of the backend servers: each announces
// itself to some control server, late and out of order, and the control servers
// spread it. State: the newest announcement by server. Merging is idempotent
// and commutative, so that any order and repetition gives the same result. Starts under one
// id are told apart by when they were born: the later one replaces the former, of which
// nothing counts any more. A leave that does not tell its start is of the one known here.
package directory

import (
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// forgetAfter is for how long a server that left or fell silent is remembered, so
// that an announcement delayed on its way does not bring it back. Announcements
// come seconds late at most.
const forgetAfter = 60 * time.Second

// maxLife bounds what a sequence number is taken to say of a server's age.
const maxLife = 10 * 365 * 24 * time.Hour

// Directory is a table of backend servers. It is not safe for concurrent use.
type Directory struct {
	servers map[string]*fleet.BackendServer
	// interval is the time between two announcements of one server.
	interval time.Duration
}

// New returns an empty directory of servers that announce themselves at this interval,
// 0 if it isn't known.
func New(interval time.Duration) *Directory {
	return &Directory{servers: map[string]*fleet.BackendServer{}, interval: interval}
}

// Change tells what an announcement changed.
type Change uint8

// The changes.
const (
	// Unchanged: the announcement is old.
	Unchanged Change = iota
	// Renewed: only the sequence number and the time are new.
	Renewed
	// Changed: the record says something else than before.
	Changed
)

// Merge takes an announcement in.
func (d *Directory) Merge(b fleet.BackendServer) Change {
	b.StartedAt = d.startedAt(b.Seq, b.SeenAt)
	known, ok := d.servers[b.ID]
	if !ok {
		d.servers[b.ID] = &b
		return Changed
	}
	if b.Born != 0 && b.Born < known.Born {
		return Unchanged // of a start before the one that is known
	}
	if known.Born != 0 && b.Born > known.Born {
		return d.replace(known, b)
	}
	b.Born = max(b.Born, known.Born)
	known = d.noteStart(known, b.StartedAt)
	b.StartedAt = known.StartedAt
	if b.State < known.State {
		return Unchanged // it has said that it leaves
	}
	if b.Seq <= known.Seq && b.State == known.State {
		return Unchanged
	}
	if b.State == fleet.StateGone && b.Addr == "" {
		b = leave(known, b)
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

// replace takes a later start under the same id in: nothing is left of the former one,
// but its address if the later one has said nothing but that it leaves.
func (d *Directory) replace(former *fleet.BackendServer, b fleet.BackendServer) Change {
	if b.State == fleet.StateGone && b.Addr == "" {
		b.Service, b.Addr, b.Zone, b.Slots = former.Service, former.Addr, former.Zone, former.Slots
	}
	d.servers[b.ID] = &b
	return Changed
}

// startedAt is when a server started that is heard with this sequence number, which
// rises by one with each announcement: this late at the latest, if it was not
// repeated more often than it was delayed.
func (d *Directory) startedAt(seq uint64, at time.Time) time.Time {
	if d.interval <= 0 {
		return at
	}
	return at.Add(-time.Duration(min(seq, uint64(maxLife/d.interval))) * d.interval)
}

// noteStart returns the record of a server with the earlier one of two estimates of
// its start.
func (d *Directory) noteStart(known *fleet.BackendServer, startedAt time.Time) *fleet.BackendServer {
	if !startedAt.Before(known.StartedAt) {
		return known
	}
	next := *known
	next.StartedAt = startedAt
	d.servers[known.ID] = &next
	return &next
}

// leave is the record of a server of which only the id is told.
func leave(known *fleet.BackendServer, b fleet.BackendServer) fleet.BackendServer {
	next := *known
	next.State = fleet.StateGone
	next.SeenAt, next.Born = b.SeenAt, b.Born
	return next
}

// Renew notes that a server was heard with this sequence number. born is of the start
// that was heard, 0 if it is not known.
func (d *Directory) Renew(id string, born int64, seq uint64, at time.Time) Change {
	known, ok := d.servers[id]
	if !ok || seq <= known.Seq || born != 0 && known.Born != 0 && born != known.Born {
		return Unchanged
	}
	next := *d.noteStart(known, d.startedAt(seq, at))
	next.Seq = seq
	next.SeenAt = at
	d.servers[id] = &next
	return Renewed
}

func sameRecord(a, b *fleet.BackendServer) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.State == b.State && (a.Cold > 0) == (b.Cold > 0) && slices.Equal(a.Models, b.Models)
}

// Forget drops servers that were not heard for long.
func (d *Directory) Forget(now time.Time) {
	for id, b := range d.servers {
		if now.Sub(b.SeenAt) > forgetAfter {
			delete(d.servers, id)
		}
	}
}

// Get returns a server's record, nil if it is not known. It must not be changed.
func (d *Directory) Get(id string) *fleet.BackendServer { return d.servers[id] }

// Replaced tells whether a later start has a server's address.
func (d *Directory) Replaced(b *fleet.BackendServer) bool {
	for _, other := range d.servers {
		if other.ID != b.ID && other.Addr == b.Addr && b.Life().EndedBefore(other.Life()) {
			return true
		}
	}
	return false
}

// All returns all records, in no order. They must not be changed.
func (d *Directory) All() []*fleet.BackendServer {
	all := make([]*fleet.BackendServer, 0, len(d.servers))
	for _, b := range d.servers {
		all = append(all, b)
	}
	return all
}
