package fleetcontrol

import (
	"cmp"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/rendezvous"
)

// A document comes to every control server in the log, and each entry follows all of them. The one nearest to an entry sends it
// the document at once. The others do so a moment later, one after the other, unless the entry tells them that it has it: copies of a
// document to all entries would fill the links between regions, on which the leader's heartbeats are sent.

const (
	// secondCopyDelay is after which time a second control server sends a document to an entry: the nearest one learns of a commit
	// with the leader's next heartbeat, after 100 ms at most.
	secondCopyDelay = 300 * time.Millisecond
	// furtherCopyDelay is the time between two further copies.
	furtherCopyDelay = 100 * time.Millisecond
)

// controlServer is a control server as a sender of documents.
type controlServer struct{ addr, zone string }

// documentDelay returns how long after a commit this control server sends a document to an entry.
func (h *hub) documentDelay(f *follower) time.Duration {
	if f.role != RoleEntry {
		return 0
	}
	preferred := slices.SortedFunc(slices.Values(h.controls), func(a, b controlServer) int {
		return cmp.Or(cmp.Compare(h.distance(f, a.zone), h.distance(f, b.zone)), cmp.Compare(weight(f, b.addr), weight(f, a.addr)))
	})
	switch i := slices.IndexFunc(preferred, func(c controlServer) bool { return c.addr == h.addr }); {
	case i <= 0:
		return 0
	default:
		return secondCopyDelay + time.Duration(i-1)*furtherCopyDelay
	}
}

func weight(f *follower, addr string) uint64 {
	return rendezvous.Weight(rendezvous.Hash(f.name), rendezvous.Hash(addr))
}

// distance returns 0 for a control server in a follower's zone, 1 for one in its region, 2 for others.
func (h *hub) distance(f *follower, zone string) int {
	switch {
	case zone == f.zone:
		return 0
	case f.region != "" && h.region(zone) == f.region:
		return 1
	}
	return 2
}

// documentDue reports whether the committed document may be sent to a follower now. If not, the follower is woken when it may.
func (h *hub) documentDue(f *follower, version uint64, now time.Time) bool {
	if version > h.documentVersion {
		h.documentVersion, h.documentAt = version, now
	}
	from := h.documentAt
	if f.joinedAt.After(from) {
		from = f.joinedAt
	}
	f.documentWait = from.Add(h.documentDelay(f))
	return !now.Before(f.documentWait)
}

// documentWaited reports whether a follower's wait for a copy of a document from here has ended.
func (f *follower) documentWaited(now time.Time) bool {
	return !f.documentWait.IsZero() && !now.Before(f.documentWait)
}
