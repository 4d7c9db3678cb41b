package balance

import (
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// An agent that stands still alone says nothing of its engine, whose announcements come too seldom to show soon that it runs. So the
// engine itself is probed while it gets no requests for want of a sign of life, but only as often as requests could use it.

const (
	// minProbeInterval is the least time between two probes of an engine by an entry, maxProbeInterval that while none is answered.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 1 * time.Second
	// probesPerSecond bounds the probes of an engine by all entries together.
	probesPerSecond = 100
)

// probes is what the probes of an engine by this entry tell.
type probes struct {
	// sentAt is when the last probe was sent, unanswered the number of those since the last answer.
	sentAt     time.Time
	unanswered int
	// answeredAt is when the newest probe with an answer was sent: the engine has run since.
	answeredAt time.Time
}

// interval returns the time between two probes if there are this many entries.
func (p *probes) interval(entries int) time.Duration {
	interval := max(minProbeInterval, time.Duration(entries)*time.Second/probesPerSecond)
	for range p.unanswered {
		if interval >= maxProbeInterval {
			break
		}
		interval = min(2*interval, maxProbeInterval)
	}
	return interval
}

// due reports whether a probe is to be sent now, and records it.
func (p *probes) due(now time.Time, entries int) bool {
	if !p.sentAt.IsZero() && now.Sub(p.sentAt) < p.interval(entries) {
		return false
	}
	if !p.sentAt.IsZero() && p.answeredAt.Before(p.sentAt) {
		p.unanswered++
	}
	p.sentAt = now
	return true
}

// OnProbe sets the function that sends an engine a probe, without waiting for the answer. Call it before any other goroutine uses
// the balancer.
func (b *Balancer) OnProbe(send func(*Server)) { b.sendProbe = send }

// probe sends an engine that is held back a probe if one is due.
func (b *Balancer) probe(now time.Time, s *Server) {
	if b.sendProbe != nil && s.engine != nil && s.probes.due(now, b.view.EntryCount()) {
		b.sendProbe(s)
	}
}

// ProbeAnswered applies the answer of an engine to a probe that was sent at sentAt.
func (b *Balancer) ProbeAnswered(s *Server, sentAt, now time.Time, r Report) {
	defer b.slotFreed()
	b.mu.Lock()
	defer b.mu.Unlock()
	born := s.record.StartUnixMs
	if s.retired || s.record.State == fleet.StateGone || s.replaced() || born != 0 && r.StartUnixMs != 0 && r.StartUnixMs != born {
		return
	}
	if sentAt.After(s.probes.answeredAt) {
		s.probes.answeredAt, s.probes.unanswered = sentAt, 0
	}
	if now.Sub(s.load.at) >= reportDelay {
		s.load = load{known: true, running: r.Running, waiting: r.Waiting, at: now, ownInFlight: s.inFlight}
	}
}

// answersProbes reports whether the engine has run a moment ago, as it has answered a probe.
func (s *Server) answersProbes(now time.Time) bool {
	return !s.probes.answeredAt.IsZero() && now.Sub(s.probes.answeredAt) <= writeInterval
}
