package balance

import (
	"math"
	"time"
)

// An entry knows what it has sent to a server of another entry, and what the server told some
// hundred ms ago; it doesn't know what others have sent there since. Where there is room
// that does not matter. Under a load that the servers just bear, all entries place what
// their own servers have no room for by the same reports, and what they don't see of each other
// makes their callers wait for a slot. How many requests that are depends on the number of
// entries, on their load and on the age of reports, so that it is learned from what callers
// got: first events at servers of others that came after the objective.

const (
	// missedStep is how many requests are taken to be unseen in addition when a first event
	// came after its objective, or a server of another entry refused: an entry that sends
	// ten a second to others has learned an overload within one. missesAllowed is the part
	// of first events at which the number stays as it is.
	missedStep    = 0.5
	missesAllowed = 0.1
	// mostUnseenPart of a server's slots is the most that is taken to be unseen.
	mostUnseenPart = 0.5
	// unseenHalfLife is how fast the number fades while nothing is sent to servers of others:
	// it is their state of some reports ago.
	unseenHalfLife = 2 * time.Second
)

// unseen is how many requests this entry takes to be at a server of another entry beside those
// that it knows of.
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

// observe learns from a request at a server of another entry with so many slots.
func (u *unseen) observe(now time.Time, missed bool, slots int) {
	step := -missedStep * missesAllowed / (1 - missesAllowed)
	if missed {
		step = missedStep
	}
	u.requests = min(max(u.now(now)+step, 0), mostUnseenPart*float64(slots))
	u.at = now
}

// unseenAt is how many requests are taken to be at a server that this entry doesn't know of.
func (b *Balancer) unseenAt(s *Server, now time.Time) float64 {
	if !s.foreign || s.engine == nil || b.passing(s.record.Service, now) {
		return 0
	}
	if u := b.unseen[s.record.Service]; u != nil {
		return u.now(now)
	}
	return 0
}

// learnUnseen learns from a request at a server of another entry.
func (b *Balancer) learnUnseen(c *Choice, now time.Time, missed bool) {
	if !c.foreign || c.due.IsZero() {
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

// Unseen returns, by service, how many requests are taken to be at servers of other entries beside
// those that are known.
func (b *Balancer) Unseen(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.unseen))
	for service, u := range b.unseen {
		out[service] = u.now(now)
	}
	return out
}
