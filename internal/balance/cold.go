package balance

import (
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
)

// A server is cold for some seconds after its start: it is slow, and crashes if it gets many more
// requests per second than its cold rate, from all entries together. So the cold rate is divided
// among the entries like the limits that servers name.

const (
	// coldMargin is added to the announced end of a cold start, for clocks of different speed.
	coldMargin = 200 * time.Millisecond
	// newcomerSpan is how long after its first choice an entry sends one request to each cold server:
	// it may not know all other entries yet, and would take too large a part. Entries that start
	// together know each other after a batch of renewals.
	newcomerSpan = time.Second
)

// coldRate returns the requests per second of all entries that a cold server of a service may get;
// 0 is no limit.
func (b *Balancer) coldRate(tolerated float64) float64 {
	if tolerated <= 0 {
		return 0
	}
	overage := b.cfg.ColdOverage
	if overage <= 0 {
		overage = 1
	}
	return min(backpressure.RateWithin(tolerated*overage+b.cfg.ColdSlack), tolerated)
}

// coldUntil returns until when a server is taken to be cold: as announced; for the time of a cold
// start after its zone's evacuation was withdrawn; and, if its VM has refused connections since its
// last announcement, until the next one, as it may have restarted under its id.
func (b *Balancer) coldUntil(now time.Time, s *Server) time.Time {
	until := s.record.ColdUntil()
	if s.record.Cold > 0 {
		until = until.Add(coldMargin)
	}
	if e, ok := b.view.Evacuations[s.record.Zone]; ok && !e.InForce {
		until = latest(until, e.AppliedAt.Add(s.coldStart))
	}
	if !s.refusedAt.IsZero() && !s.seenAt.After(s.refusedAt) {
		until = latest(until, now.Add(s.coldStart))
	}
	return until
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noteCold returns until when a server is cold, zero if there is no limit for that, and logs when
// that begins and ends.
func (b *Balancer) noteCold(now time.Time, s *Server) time.Time {
	if s.coldRate <= 0 {
		return time.Time{}
	}
	until := b.coldUntil(now, s)
	if cold := now.Before(until); cold != s.signals.cold {
		s.signals.cold = cold
		if cold {
			s.signals.pacer.Reset(now)
		}
		b.cfg.Logger.Info().Str("server", s.ID).Bool("cold", cold).Dur("for_ms", max(until.Sub(now), 0)).Float64("rate", s.coldRate).
			Dur("announced_ms", now.Sub(s.seenAt)).Int("own_requests", s.inFlight).Msg("backend server's cold start changed")
	}
	return until
}

// opensCold returns when this entry may next send to a cold server.
func (b *Balancer) opensCold(now time.Time, s *Server, rate float64, until time.Time) time.Time {
	if now.Sub(b.firstChoice) < newcomerSpan {
		if s.signals.pacer.Idle(now) {
			return now
		}
		return b.firstChoice.Add(newcomerSpan)
	}
	if b.peersView != b.view {
		b.peersView = b.view
		b.peers.update(now, b.self(), b.view.Entries)
	}
	part := b.partOf(s, rate, true)
	if part.Rate <= 0 {
		return until
	}
	return s.signals.pacer.NextAt(now, part)
}

// ConnectionRefused records that a server's VM has refused a connection.
func (b *Balancer) ConnectionRefused(s *Server, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.refusedAt = now
}
