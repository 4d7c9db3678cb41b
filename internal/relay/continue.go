package relay

import (
	"sync"
	"time"
)

// A request that lies unread at an engine which stands still is read when that goes on, maybe past the bound, and its deadline counts
// from then. So the agent sends the head first and asks the engine to ask for the body (Expect: 100-continue). The engine cannot
// begin without the body, and the agent sends that only after a look at its own clock, at a moment at which the engine runs.

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

// expect reports whether the engine is to ask for the next body.
func (c *continuing) expect(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asks || !now.Before(c.unaskedUntil)
}

// asked records that the engine has asked for a body. It reports whether it had not before.
func (c *continuing) asked() (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, c.asks = !c.asks, true
	return first
}

// giveUp reports whether a body that has waited since a time is to be sent unasked.
func (c *continuing) giveUp(since, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asks || now.Sub(since) < continueTime {
		return false
	}
	c.unaskedUntil = now.Add(unaskedTime)
	return true
}
