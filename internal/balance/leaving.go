package balance

import (
	"time"
)

// LeavingSignalled records a server's signal that it leaves: this incarnation gets no more requests,
// whatever it announces.
func (b *Balancer) LeavingSignalled(c *Choice, now time.Time) {
	b.mu.Lock()
	if !c.Server.signals.leavingAt.IsZero() {
		b.mu.Unlock()
		return
	}
	b.setLeaving(now, c.Server.signals, "answer")
	c.Server.signals.unpublished = true
	updates := b.takeUnpublished(now)
	b.mu.Unlock()
	if len(updates) > 0 {
		b.publishSignals(updates)
	}
}

// setLeaving removes a server that has signalled that it leaves; the source of the signal is an answer
// or another entry.
func (b *Balancer) setLeaving(now time.Time, sig *signals, source string) {
	sig.leavingAt = now
	event := b.cfg.Logger.Info().Str("server", sig.id).Str("start", sig.start).Str("source", source)
	if s := b.servers[sig.id]; s != nil && s.signals == sig {
		event.Str("addr", s.Addr).Stringer("announced", s.record.State).Int("own_requests", s.inFlight)
		s.closePools()
		b.removeFromService(s)
	}
	event.Msg("backend server signals that it leaves")
}
