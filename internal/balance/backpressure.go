package balance

import (
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
)

// Stated takes what the head of an answer to a chosen send says of the server's limit.
func (b *Balancer) Stated(c *Choice, now time.Time, stated backpressure.Statement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.Server
	before := s.limit
	if !s.limit.Hear(now, c.pickedAt, stated) {
		return
	}
	b.cfg.Logger.Info().Str("server", s.ID).Str("addr", s.Addr).Bool("limited", s.limit.InForce).Float64("rate", s.limit.Rate).
		Bool("was_limited", before.InForce).Float64("rate_before", before.Rate).Int("own_requests", s.inFlight).
		Msg("backend server's limit changed")
}

// Limited returns, by service, how many servers have a limit in force.
func (b *Balancer) Limited() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.services))
	for service, servers := range b.services {
		out[service] = 0
		for _, s := range servers {
			if s.limit.InForce {
				out[service]++
			}
		}
	}
	return out
}
