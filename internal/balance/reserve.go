package balance

import (
	"time"

	"lynxgate.dev/lynxgate/internal/reservation"
)

// Where slots are reserved with the agents beside the servers, the choice only says whom to ask first:
// an agent knows what all entries have been granted, so that a wrong guess costs a round trip instead of
// a late answer.

const (
	// reservedOwnerPenalty is otherOwnerPenalty where a slot is reserved: one queued request, so that
	// equal servers are asked by their owners.
	reservedOwnerPenalty = queuedPenalty
	// reservedTieBreak bounds the random cost. Load reports that all entries see are some
	// hundred ms old, and servers that differ by one request are equal by then.
	reservedTieBreak = queuedPenalty
	// reservedSamples is how many servers of others are evaluated for one request to an agent. With twelve,
	// entries that see the same reports ask the same servers first, which refuse while
	// others have free slots.
	reservedSamples = 2
)

// reserves reports whether a slot of a server can be reserved.
func (w Requirements) reserves(s *Server) bool {
	return w.Reserves != nil && s.engine != nil && w.Reserves(s.Addr)
}

// costs are those that depend on who knows a server's load best.
type costs struct{ owner, tieBreak time.Duration }

// costsOf returns the costs of a server for a request; reserves says whether a slot of it can be reserved. Where slots
// are reserved, a server whose agent does not answer counts as one of another entry: others may know it better.
func costsOf(s *Server, w Requirements, reserves bool) costs {
	c := costs{tieBreak: maxTieBreak}
	switch {
	case reserves && s.otherOwner:
		c = costs{reservedOwnerPenalty, reservedTieBreak}
	case reserves:
		c.tieBreak = reservedTieBreak
	case s.otherOwner, s.engine != nil && w.Reserves != nil:
		c.owner = otherOwnerPenalty
	}
	return c
}

// samplesFor returns how many of n servers are evaluated besides the owned ones, if one of them fits.
func (b *Balancer) samplesFor(w Requirements, n int) int {
	if w.Reserves != nil {
		return reservedSamples
	}
	return b.sampleSize(n)
}

// Decided applies what the agent beside a server has stated with its decision on a reservation for a
// choice that has not ended. A server that cannot take requests at all is not chosen for a moment.
func (b *Balancer) Decided(c *Choice, now time.Time, d reservation.Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.Server
	if d.Reason == reservation.ReasonSilent {
		return // the VM runs, but nothing shows that the server does
	}
	s.agentAnsweredAt = now
	switch d.Reason {
	case reservation.ReasonLoading, reservation.ReasonVersion, reservation.ReasonUnknown:
		s.busyUntil = now.Add(busyBackoff)
		return
	}
	own := s.inFlight
	if d.Granted {
		c.reserved = true
		c.takes = max(c.takes+d.FirstEvent-c.FirstEvent, d.End)
		c.Wait, c.FirstEvent = d.Wait, d.FirstEvent
		b.setVersion(c, d.Load.Version, SourceDecision, d.Load.Age)
		c.Expiry, c.Confirm = b.expiryAt(s, now, c.model, c.Version, c.takes, 0, c.cancellable, c.bodiless), b.mustConfirm(c.model, c.Version)
		c.pathMargin = b.pathMargin(s, c.Expiry)
	} else {
		own-- // the stated load is without the refused request
	}
	s.load = load{known: true, running: d.Load.Running + d.Load.Reserved, waiting: d.Load.Waiting, at: now, ownInFlight: own, decidedAt: now}
}
