package follow

import (
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// A keep-alive with an echo says that its control server has told all namings of weights that its log held when it encoded the message. A
// naming that was acknowledged is in the log of a majority, so a majority that has told nothing of one shows that none was acknowledged by
// then. An update does not say so: its control server may have an entry in its log that it has not applied.

// noteConfirmed records what a message says about the namings that its control server knows.
func (c *Client) noteConfirmed(addr string, u *rpc.FleetUpdate, at Anchor, listed []string) {
	if u.Number == 0 && at.Echoed {
		c.noteTold(addr, at.AsOf, listed)
	}
}

// noteTold records as of when a control server has told all that it knows, and the control servers that it lists.
func (c *Client) noteTold(addr string, asOf time.Time, listed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.known[addr]
	if s == nil {
		return
	}
	if asOf.After(s.toldAt) {
		s.toldAt = asOf
	}
	at := confirmed(listed, func(addr string) time.Time {
		if s := c.known[addr]; s != nil {
			return s.toldAt
		}
		return time.Time{}
	})
	c.confirmedAt.Store(&at)
}

// ConfirmedAt returns as of when a majority of the control servers has told all namings of weights that it knows, zero if none has.
func (c *Client) ConfirmedAt() time.Time {
	if at := c.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// confirmed returns the latest time as of which a majority of these control servers has told what it knows.
func confirmed(addrs []string, toldAt func(addr string) time.Time) time.Time {
	if len(addrs) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(addrs))
	for _, addr := range addrs {
		times = append(times, toldAt(addr))
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[(len(times)-1)/2]
}
