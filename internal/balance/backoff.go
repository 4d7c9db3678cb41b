package balance

import (
	"time"
)

// BackoffRequested takes a server's request that this entry sends nothing for d.
func (b *Balancer) BackoffRequested(c *Choice, now time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.Server
	s.signals.onTrial = true
	if s.signals.backoff.Ask(now, d) {
		b.cfg.Logger.Info().Str("server", s.ID).Str("addr", s.Addr).Dur("for_ms", d).Int("own_requests", s.inFlight).
			Msg("backend server requests backoff")
	}
}

// AcceptedWork notes that a server has begun with a request: one that was sent after its last backoff
// was requested ends the time in which it is tried.
func (b *Balancer) AcceptedWork(c *Choice) {
	if !b.acceptedWork(c) {
		return
	}
	b.cfg.Logger.Info().Str("server", c.Server.ID).Msg("backend server accepts work again after its backoff")
	b.freed()
}

func (b *Balancer) acceptedWork(c *Choice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endTrial(c)
	said := c.Server.signals
	if !said.onTrial || !c.pickedAt.After(said.backoff.AskedAt) {
		return false
	}
	said.onTrial = false
	return true
}

// endTrial ends the time in which a choice is the only one at a server after a backoff.
func (b *Balancer) endTrial(c *Choice) {
	if c.trial {
		c.trial = false
		c.Server.signals.trialInFlight = false
	}
}

// takes tells whether the server's backoff is over, and no request is on its way to try it.
func (s *signals) takes(now time.Time) bool { return s.backoff.Over(now) && !s.trialInFlight }

// sent notes a request that was chosen for the server, and tells whether it is a trial.
func (s *signals) sent(now time.Time) (trial bool) {
	s.pacer.Sent(now)
	s.trialInFlight = s.onTrial
	return s.trialInFlight
}
