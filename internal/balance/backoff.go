package balance

import (
	"time"
)

// BackoffRequested records a server's request that this entry sends it nothing for d.
func (b *Balancer) BackoffRequested(c *Choice, now time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.Server
	s.signals.probing = true
	if s.signals.backoff.Request(now, d) {
		b.cfg.Logger.Info().Str("server", s.ID).Str("addr", s.Addr).Dur("for_ms", d).Int("own_requests", s.inFlight).
			Msg("backend server requests backoff")
	}
}

// AcceptedWork records that a server has begun to process a request. If the request was sent after the
// last backoff was requested, the server is no longer limited to one request at a time.
func (b *Balancer) AcceptedWork(c *Choice) {
	if !b.acceptedWork(c) {
		return
	}
	b.cfg.Logger.Info().Str("server", c.Server.ID).Msg("backend server accepts work again after its backoff")
	b.slotFreed()
}

func (b *Balancer) acceptedWork(c *Choice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endProbe(c)
	sig := c.Server.signals
	if !sig.probing || !c.pickedAt.After(sig.backoff.RequestedAt) {
		return false
	}
	sig.probing = false
	return true
}

// endProbe releases the server if the choice was the only one there after a backoff.
func (b *Balancer) endProbe(c *Choice) {
	if c.probe {
		c.probe = false
		c.Server.signals.probeInFlight = false
	}
}

// acceptsWork reports whether the server's backoff is over and no probe is in flight.
func (s *signals) acceptsWork(now time.Time) bool { return s.backoff.Over(now) && !s.probeInFlight }

// dispatched records a request for which the server was chosen, and reports whether it is a probe.
func (s *signals) dispatched(now time.Time) (probe bool) {
	s.pacer.Sent(now)
	s.probeInFlight = s.probing
	return s.probeInFlight
}
