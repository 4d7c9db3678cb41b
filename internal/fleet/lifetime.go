package fleet

import "time"

// Lifetime is the observed lifetime of one incarnation of a backend server. It decides
// which of two incarnations that announced the same address has it now. Neither ids
// nor the order of arrival show this: announcements may be delayed, also those of an
// incarnation that has crashed since, so the one received last may be the dead one.
type Lifetime struct {
	// StartedAt is the estimated start time. Each announcement yields an estimate:
	// its time of receipt less one interval for each announcement before it. The
	// earliest estimate counts, so a delayed announcement does not make it later.
	StartedAt time.Time
	// SeenAt is when the last announcement was received.
	SeenAt time.Time
}

const (
	// startMargin is by how much the estimated starts of two incarnations at one
	// address must differ before their order counts. It covers some delayed
	// announcements, and some repeated ones, which count as intervals. Requests may
	// be dispatched to either of two closer incarnations: a server refuses a request
	// for another incarnation without running it.
	startMargin = 2 * time.Second
	// lateAnnouncementTolerance is for how long after the last announcement of the
	// later incarnation those of the earlier one do not count against their order:
	// four announcements at intervals of 1.2 s. A single late announcement must not
	// revive a dead incarnation while the next one of the other is in transit.
	lateAnnouncementTolerance = 5 * time.Second
)

// Life returns the observed lifetime of this incarnation.
func (b *BackendServer) Life() Lifetime { return Lifetime{StartedAt: b.StartedAt, SeenAt: b.SeenAt} }

// SupersededBy reports whether another incarnation at the same address shows that this
// one has ended. Of two incarnations, at most one has ended before the other.
func (l Lifetime) SupersededBy(other Lifetime) bool {
	return l.startedBefore(other) && l.SeenAt.Sub(other.SeenAt) <= lateAnnouncementTolerance
}

// startedBefore reports whether this incarnation started earlier, beyond the error of the
// estimates.
func (l Lifetime) startedBefore(o Lifetime) bool { return o.StartedAt.Sub(l.StartedAt) > startMargin }
