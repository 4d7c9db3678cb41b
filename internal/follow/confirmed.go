package follow

import (
	"slices"
	"time"
)

// Every message of a control server tells all namings of weights that it knew when it encoded the message. A naming that was acknowledged
// is in the log of a majority, so a majority that has told nothing of one shows that none was acknowledged by then, but for the time in
// which a control server has the entry in its log and has not applied it.

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
