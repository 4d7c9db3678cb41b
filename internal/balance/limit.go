package balance

import (
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
)

// LimitSignalled takes what the head of an answer to a chosen send says of the server's limit.
func (b *Balancer) LimitSignalled(c *Choice, now time.Time, told backpressure.Statement) {
	b.mu.Lock()
	s := c.Server
	before := s.signals.limit
	if !s.signals.limit.Hear(now, c.pickedAt, told) {
		b.mu.Unlock()
		return
	}
	b.limitChanged(now, s.signals, before, "answer")
	s.signals.untold = true
	news := b.untold(now)
	b.mu.Unlock()
	if len(news) > 0 {
		b.tellSignals(news)
	}
}

// limitChanged takes a changed limit into force; the source of it is an answer or another entry.
func (b *Balancer) limitChanged(now time.Time, said *signals, before backpressure.Limit, source string) {
	limit := said.limit
	if limit.InForce && !before.InForce {
		said.pacer.Begin(now)
	}
	event := b.cfg.Logger.Info().Str("server", said.id).Str("start", said.start).Str("source", source).Dur("age_ms", now.Sub(limit.HeardAt)).
		Bool("limited", limit.InForce).Float64("rate", limit.Rate).Bool("was_limited", before.InForce).Float64("rate_before", before.Rate)
	if s := b.servers[said.id]; s != nil && s.signals == said && limit.InForce {
		b.peers.note(now, b.self(), b.view.Entries)
		part := b.partOf(s)
		event.Int("own_requests", s.inFlight).Int("entries", len(b.peers.entries)).Float64("own_rate", part.Rate).Dur("probe_ms", part.Probe)
	}
	event.Msg("backend server's limit changed")
}

// partOf returns the part of a server's limit that this entry holds.
func (b *Balancer) partOf(s *Server) backpressure.Part {
	said := s.signals
	if said.partRate != said.limit.Rate || said.partOf != b.peers.changes {
		said.part = backpressure.PartOf(said.limit.Rate, s.Addr, s.record.Zone, b.cfg.Name, b.peers.entries)
		said.partRate, said.partOf = said.limit.Rate, b.peers.changes
	}
	return said.part
}

// opens returns when this entry may send to a server next by what the server has said; now, if
// it may at once.
func (b *Balancer) opens(now time.Time, s *Server) time.Time {
	if !s.signals.limit.InForce {
		return now
	}
	return s.signals.pacer.Opens(now, b.partOf(s))
}
