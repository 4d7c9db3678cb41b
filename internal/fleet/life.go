package fleet

import "time"

// Life is what is known of the life of one start of a backend server. Two starts
// that announced themselves at one address can't both be there: the address has
// passed from one to the other. Ids say nothing about which came first, and
// announcements come late, also those of a start that has crashed since; so the last
// one heard is not the one that is there.
type Life struct {
	// StartedAt is when it started, as far as its announcements tell: the least,
	// over all that were heard, of the time it was heard less one interval for each
	// announcement before it. A late announcement makes it no later.
	StartedAt time.Time
	// SeenAt is when it was last heard.
	SeenAt time.Time
}

const (
	// startSlack is by how much two starts at one address must differ before their
	// order is believed: some announcements that were repeated, which count as
	// intervals, or that came late. Closer ones are both tried; a server that is
	// asked for another start says so and does not run the request.
	startSlack = 2 * time.Second
	// takeoverAfter is for how long a start must go on to be heard after the later
	// one fell silent before the order is doubted: four announcements of 1.2 s. One
	// late announcement alone must not bring a dead start back while the other's
	// next one is under way.
	takeoverAfter = 5 * time.Second
)

// Life returns what is known of the life of this start.
func (b *BackendServer) Life() Life { return Life{StartedAt: b.StartedAt, SeenAt: b.SeenAt} }

// EndedBefore tells whether another start at the same address shows that this one has
// ended. Of two starts at most one has ended before the other.
func (l Life) EndedBefore(other Life) bool {
	return l.startedBefore(other) && l.SeenAt.Sub(other.SeenAt) <= takeoverAfter
}

// startedBefore tells whether this start is the earlier one for sure.
func (l Life) startedBefore(other Life) bool { return other.StartedAt.Sub(l.StartedAt) > startSlack }
