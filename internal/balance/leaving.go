package balance

import (
	"time"
)

// LeavingSignalled takes the signal of a server that it leaves: this start gets nothing more, whatever it
// announces.
func (b *Balancer) LeavingSignalled(c *Choice, now time.Time) {
	b.mu.Lock()
	if !c.Server.signals.leavingAt.IsZero() {
		b.mu.Unlock()
		return
	}
	b.leave(now, c.Server.signals, "answer")
	c.Server.signals.untold = true
	news := b.untold(now)
	b.mu.Unlock()
	if len(news) > 0 {
		b.tellSignals(news)
	}
}

// leave takes a server out that has said that it leaves; the source of that is an answer or
// another entry.
func (b *Balancer) leave(now time.Time, said *signals, source string) {
	said.leavingAt = now
	event := b.cfg.Logger.Info().Str("server", said.id).Str("start", said.start).Str("source", source)
	if s := b.servers[said.id]; s != nil && s.signals == said {
		event.Str("addr", s.Addr).Stringer("announced", s.record.State).Int("own_requests", s.inFlight)
		s.Pool.Close()
		b.removeFromService(s)
	}
	event.Msg("backend server signals that it leaves")
}
