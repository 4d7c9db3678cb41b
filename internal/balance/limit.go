package balance

import (
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
)

// LimitSignalled applies what the headers of an answer say about the server's limit.
func (b *Balancer) LimitSignalled(c *Choice, now time.Time, signal backpressure.LimitSignal) {
	b.mu.Lock()
	s := c.Server
	before := s.signals.limit
	if !s.signals.limit.ApplyAnswer(now, c.pickedAt, signal) {
		b.mu.Unlock()
		return
	}
	b.limitChanged(now, s.signals, before, "answer")
	s.signals.unpublished = true
	updates := b.takeUnpublished(now)
	b.mu.Unlock()
	if len(updates) > 0 {
		b.publishSignals(updates)
	}
}

// limitChanged puts a changed limit into force; its source is an answer or another entry.
func (b *Balancer) limitChanged(now time.Time, sig *signals, before backpressure.Limit, source string) {
	limit := sig.limit
	if limit.InForce && !before.InForce {
		sig.pacer.Reset(now)
	}
	event := b.cfg.Logger.Info().Str("server", sig.id).Str("start", sig.start).Str("source", source).Dur("age_ms", now.Sub(limit.ReceivedAt)).
		Bool("limited", limit.InForce).Float64("rate", limit.Rate).Bool("was_limited", before.InForce).Float64("rate_before", before.Rate)
	if s := b.servers[sig.id]; s != nil && s.signals == sig && limit.InForce {
		b.peers.update(now, b.self(), b.view.Entries)
		part := b.partOf(s, limit.Rate, false)
		event.Int("own_requests", s.inFlight).Int("entries", len(b.peers.entries)).Float64("own_rate", part.Rate).Dur("probe_ms", part.Probe)
	}
	event.Msg("backend server's limit changed")
}

// partKey is what the part of a rate limit depends on.
type partKey struct {
	rate float64
	// peers is the number of changes of the peers, near as in partOf.
	peers int
	near  bool
}

// partOf returns the part of a rate limit of a server that this entry holds. With near, only the
// entries of the server's zone hold parts, if there are any: they own its servers and send most of
// their requests.
func (b *Balancer) partOf(s *Server, rate float64, near bool) backpressure.Part {
	sig := s.signals
	if key := (partKey{rate: rate, peers: b.peers.changes, near: near}); sig.partKey != key {
		sig.part, sig.partKey = b.computePart(s, rate, near), key
	}
	return sig.part
}

func (b *Balancer) computePart(s *Server, rate float64, near bool) backpressure.Part {
	zone, entries := s.record.Zone, b.peers.entries
	if near {
		elsewhere := func(e backpressure.Entry) bool { return e.Zone != zone }
		if inZone := slices.DeleteFunc(slices.Clone(entries), elsewhere); len(inZone) > 0 {
			entries = inZone
		}
	}
	if !slices.Contains(entries, b.self()) {
		return backpressure.Part{}
	}
	return backpressure.PartOf(rate, s.Addr, zone, b.cfg.Name, entries)
}

// opens returns when this entry may next send to a server according to the limit that it has named
// and the one that applies while it is cold; now, if it may at once.
func (b *Balancer) opens(now time.Time, s *Server) time.Time {
	coldUntil := b.noteCold(now, s)
	limit := s.signals.limit
	switch {
	case now.Before(coldUntil):
		rate := s.coldRate
		if limit.InForce {
			rate = min(rate, limit.Rate)
		}
		return b.opensCold(now, s, rate, coldUntil)
	case limit.InForce:
		return s.signals.pacer.NextAt(now, b.partOf(s, limit.Rate, false))
	}
	return now
}
