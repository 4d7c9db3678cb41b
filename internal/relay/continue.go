package relay

import (
	"sync"
	"time"
)

// A request that lies unread at an engine which stands still is read when that goes on, maybe past the bound, and its deadline counts
// from then. So the agent sends the head first and asks the engine to ask for the body (Expect: 100-continue). The engine cannot
// begin without the body, and the agent sends that only after a look at its own clock, at a moment at which the engine runs. A body goes
// unasked only to an engine that has answered its agent since it got the head: one that stands still asks for none either.

const (
	// continueTime is how long an engine that is not known to ask for bodies may take to do so before it gets the body unasked.
	continueTime = 100 * time.Millisecond
	// unaskedTime is for how long such an engine then gets bodies at once.
	unaskedTime = time.Minute
)

// continuing is what is known of an engine's answers to Expect: 100-continue.
type continuing struct {
	mu sync.Mutex
	// asks: the engine has asked for a body.
	asks bool
	// unaskedUntil is until when the engine gets bodies unasked, a time of package clock.
	unaskedUntil time.Time
}

// unasked reports whether the engine gets bodies without having asked for them.
func (c *continuing) unasked(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.asks && now.Before(c.unaskedUntil)
}

// asked records that the engine has asked for a body. It reports whether it had not before.
func (c *continuing) asked() (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, c.asks = !c.asks, true
	return first
}

// overdue reports whether an engine that is not known to ask for bodies has had one's head for long enough to ask for it.
func (c *continuing) overdue(since, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.asks && now.Sub(since) >= continueTime
}

// giveUp has the engine get bodies unasked for a time.
func (c *continuing) giveUp(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unaskedUntil = now.Add(unaskedTime)
}
