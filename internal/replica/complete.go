package replica

import (
	"sync"
	"time"
)

// completeness tells as of when a server has applied every entry that its log held. Where entries keep coming there may be no moment at which
// all are applied.
type completeness struct {
	mu sync.Mutex
	// asOf is the latest such time, zero if there is none.
	asOf time.Time
	// The log ended with the entry pendingIndex at pendingAt, which is zero if all entries were applied when last observed.
	pendingAt    time.Time
	pendingIndex uint64
}

// observe returns the latest time as of which all entries are applied, if the log ends with the entry last after now.
func (c *completeness) observe(now time.Time, last, applied uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case applied >= last:
		c.asOf, c.pendingAt = later(c.asOf, now), time.Time{}
		return c.asOf
	case !c.pendingAt.IsZero() && applied >= c.pendingIndex:
		c.asOf, c.pendingAt = later(c.asOf, c.pendingAt), time.Time{}
	}
	if c.pendingAt.IsZero() {
		c.pendingAt, c.pendingIndex = now, last
	}
	return c.asOf
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// CompleteAsOf returns the latest time, at most now, as of which this server has applied every entry that its log held, zero if there is none. A command that was
// committed before a time as of which all servers of a majority are complete is applied by one of them. Learners belong to no majority.
func (n *Node) CompleteAsOf(now time.Time) time.Time {
	last := n.lastIndex.Load() // before the applied index, which only grows
	switch n.status.Load().Role {
	case RoleLearner, RoleJoining:
		return time.Time{}
	}
	return n.complete.observe(now, last, n.applier.appliedIndex())
}
