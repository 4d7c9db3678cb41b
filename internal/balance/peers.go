package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/follow"
)

// peerRetention is how long an entry that is no longer listed counts as one that sends to limited
// servers: each control server lists the entries that follow it, so that the list shrinks for a
// moment when control servers restart.
const peerRetention = 10 * time.Second

// peers are the entries that share limits, including this one.
type peers struct {
	listedAt map[backpressure.Entry]time.Time
	// entries are sorted by name; changes counts how often they have changed.
	entries []backpressure.Entry
	changes int
}

// update records the entries that are listed now.
func (p *peers) update(now time.Time, self backpressure.Entry, listed []follow.Entry) {
	if p.listedAt == nil {
		p.listedAt = map[backpressure.Entry]time.Time{}
	}
	p.listedAt[self] = now
	for _, e := range listed {
		if e.Name != self.Name {
			p.listedAt[backpressure.Entry(e)] = now
		}
	}
	maps.DeleteFunc(p.listedAt, func(_ backpressure.Entry, at time.Time) bool { return now.Sub(at) > peerRetention })
	entries := slices.SortedFunc(maps.Keys(p.listedAt), func(a, b backpressure.Entry) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Zone, b.Zone))
	})
	if !slices.Equal(entries, p.entries) {
		p.entries = entries
		p.changes++
	}
}
