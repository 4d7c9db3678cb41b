package balance

import (
	"math"
	"time"
)

// An entry knows which requests it has sent to a server of another entry, and the server's report
// of some hundred ms ago, but not what others have sent there since. This does not matter while there
// are free slots. Near capacity all entries send the overflow of their own servers by the same reports,
// and the requests that they don't see of each other make their callers wait for a slot. Their number
// depends on the number of entries, their load and the age of reports, so it is learned from the
// results of requests: first events at servers of other entries that came after the objective.

const (
	// missStep is by how many requests the estimate grows when a first event came after its objective,
	// or a server of another entry refused. An entry that sends ten requests a second to servers of
	// others learns of an overload within a second.
	missStep = 0.5
	// allowedMissShare is the share of late first events at which the estimate stays the same.
	allowedMissShare = 0.1
	// maxUnseenShare is the bound of the estimate, as a share of a server's slots.
	maxUnseenShare = 0.5
	// unseenHalfLife is the half-life of the estimate while nothing is sent to servers of other
	// entries: it describes their state of some reports ago.
	unseenHalfLife = 2 * time.Second
)

// unseen estimates the requests at a server of another entry besides those that this entry
// knows of.
type unseen struct {
	requests float64
	at       time.Time
}

func (u *unseen) now(now time.Time) float64 {
	age := now.Sub(u.at)
	if u.requests == 0 || age <= 0 {
		return u.requests
	}
	return u.requests * math.Exp2(-float64(age)/float64(unseenHalfLife))
}

// observe updates the estimate with a request at a server of another entry with this many slots.
func (u *unseen) observe(now time.Time, missed bool, slots int) {
	step := -missStep * allowedMissShare / (1 - allowedMissShare)
	if missed {
		step = missStep
	}
	u.requests = min(max(u.now(now)+step, 0), maxUnseenShare*float64(slots))
	u.at = now
}

// unseenAt returns the estimate of requests at a server that this entry doesn't know of.
func (b *Balancer) unseenAt(s *Server, now time.Time) float64 {
	if !s.otherOwner || s.engine == nil || b.inLoadingPhase(s.record.Service, now) {
		return 0
	}
	if u := b.unseen[s.record.Service]; u != nil {
		return u.now(now)
	}
	return 0
}

// learnUnseen updates the estimate with a request at a server of another entry.
func (b *Balancer) learnUnseen(c *Choice, now time.Time, missed bool) {
	if !c.otherOwner || c.due.IsZero() {
		return
	}
	service := c.Server.record.Service
	u := b.unseen[service]
	if u == nil {
		u = &unseen{}
		b.unseen[service] = u
	}
	u.observe(now, missed, c.Server.slots())
}

// Unseen returns, by service, the estimate of requests at servers of other entries besides those
// that are known.
func (b *Balancer) Unseen(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.unseen))
	for service, u := range b.unseen {
		out[service] = u.now(now)
	}
	return out
}
