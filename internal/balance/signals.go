package balance

import (
	"maps"
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/fleet"
)

// signalRetention is how long the signals of an incarnation are kept while no control server
// lists it: one that is listed again is the same incarnation.
const signalRetention = 10 * time.Minute

// signals are the signals of one incarnation of a backend server in its answers, and the
// requests that this entry has sent there.
type signals struct {
	// id of the server, empty while only other entries have reported it, and its incarnation.
	id, start string
	limit     backpressure.Limit
	pacer     backpressure.Pacer
	// part is the part of a limit that this entry holds, for partKey.
	part    backpressure.Part
	partKey partKey
	// backoff is what the server requested of this entry. After it the server gets one request at a time
	// until it has accepted one: probing is set until then, probeInFlight while one is in flight.
	backoff                backpressure.Backoff
	probing, probeInFlight bool
	// leavingAt is when the server signalled that it leaves, zero if it has not.
	leavingAt time.Time
	// cold: the server was cold when it was last considered.
	cold bool
	// listedAt is when the incarnation was last listed.
	listedAt time.Time
	// unpublished: a change is to be sent to other entries; publishedAt is when that was done last.
	unpublished bool
	publishedAt time.Time
}

// strongest returns the signal that restricts the server most, for metrics.
func (s *signals) strongest(now time.Time) string {
	switch {
	case !s.leavingAt.IsZero():
		return "leaving"
	case !s.backoff.Over(now):
		return "backoff"
	case s.limit.InForce:
		return "limit"
	case s.cold:
		return "cold"
	}
	return ""
}

// signalsOf returns the signals of an incarnation that was announced at this time.
func (b *Balancer) signalsOf(start string, at time.Time) *signals {
	sig := b.signals[start]
	if sig == nil {
		sig = &signals{start: start, listedAt: at}
		b.signals[start] = sig
	}
	return sig
}

// refreshSignals updates the peers, drops the signals of old incarnations, and returns the
// updates to publish.
func (b *Balancer) refreshSignals(now time.Time) []backpressure.Update {
	b.peers.update(now, b.self(), b.view.Entries)
	for _, s := range b.servers {
		if s.record.State != fleet.StateGone {
			s.signals.listedAt = now
		}
	}
	maps.DeleteFunc(b.signals, func(_ string, sig *signals) bool { return now.Sub(sig.listedAt) > signalRetention })
	return b.takeUnpublished(now)
}

func (b *Balancer) self() backpressure.Entry {
	return backpressure.Entry{Name: b.cfg.Name, Zone: b.cfg.Zone}
}

// SignalCounts counts servers by their signals.
type SignalCounts struct {
	// Limited servers have a limit in force, BackingOff ones accept no requests of this entry for a
	// time, Leaving ones have signalled it in an answer, Cold ones are slow after their start.
	Limited, BackingOff, Leaving, Cold int
}

// SignalCounts returns the counts by service.
func (b *Balancer) SignalCounts(now time.Time) map[string]SignalCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]SignalCounts, len(b.services))
	for _, s := range b.servers {
		counts := out[s.record.Service]
		if s.signals.limit.InForce {
			counts.Limited++
		}
		if !s.signals.backoff.Over(now) {
			counts.BackingOff++
		}
		if !s.signals.leavingAt.IsZero() {
			counts.Leaving++
		}
		if s.coldRate > 0 && now.Before(b.coldUntil(now, s)) {
			counts.Cold++
		}
		out[s.record.Service] = counts
	}
	return out
}
