// Package directory keeps what is known of the backend servers: each announces
// itself to some control server, late and out of order, and the control servers
// spread it. State: the newest announcement by server. Merging is idempotent
// and commutative, so that any order and repetition gives the same result.
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

// Directory is a table of backend servers. It is not safe for concurrent use.
type Directory struct {
	servers map[string]*fleet.BackendServer
}

// New returns an empty directory.
func New() *Directory { return &Directory{servers: map[string]*fleet.BackendServer{}} }

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
	known, ok := d.servers[b.ID]
	if !ok {
		d.servers[b.ID] = &b
		return Changed
	}
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

// leave is the record of a server of which only the id is told.
func leave(known *fleet.BackendServer, b fleet.BackendServer) fleet.BackendServer {
	next := *known
	next.State = fleet.StateGone
	next.SeenAt = b.SeenAt
	return next
}

// Renew notes that a server was heard with this sequence number.
func (d *Directory) Renew(id string, seq uint64, at time.Time) Change {
	known, ok := d.servers[id]
	if !ok || seq <= known.Seq {
		return Unchanged
	}
	next := *known
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

// All returns all records, in no order. They must not be changed.
func (d *Directory) All() []*fleet.BackendServer {
	all := make([]*fleet.BackendServer, 0, len(d.servers))
	for _, b := range d.servers {
		all = append(all, b)
	}
	return all
}
