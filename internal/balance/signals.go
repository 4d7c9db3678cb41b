package balance

import (
	"maps"
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/fleet"
)

// signalRetention is for how long what a start of a server has said is kept while no control
// server lists it: one that is listed again is the same start.
const signalRetention = 10 * time.Minute

// signals are what one start of a backend server says of itself in its answers, and what this
// entry has sent there.
type signals struct {
	// id of the server, empty while only others have told of it, and start of it.
	id, start string
	limit     backpressure.Limit
	pacer     backpressure.Pacer
	// part of the limit that this entry holds, of this rate and these entries.
	part     backpressure.Part
	partRate float64
	partOf   int
	// backoff is what the server requested of this entry. After one it gets one request at a time until it
	// has taken one: onTrial is set until then, trialInFlight while one is on its way.
	backoff                backpressure.Backoff
	onTrial, trialInFlight bool
	// leavingAt is when it said that it leaves, zero if it has not.
	leavingAt time.Time
	// listedAt is when the start was listed last.
	listedAt time.Time
	// untold: other entries are to be told of a change; toldAt is when they were told last.
	untold bool
	toldAt time.Time
}

// strongest names the signal that weighs most, for metrics.
func (s *signals) strongest(now time.Time) string {
	switch {
	case !s.leavingAt.IsZero():
		return "leaving"
	case !s.backoff.Over(now):
		return "backoff"
	case s.limit.InForce:
		return "limit"
	}
	return ""
}

// signalsOf returns the signals of a start that was heard of at this time.
func (b *Balancer) signalsOf(start string, at time.Time) *signals {
	said := b.signals[start]
	if said == nil {
		said = &signals{start: start, listedAt: at}
		b.signals[start] = said
	}
	return said
}

// refreshSignals takes the entries that are known now, forgets starts that are gone, and returns
// what is to be told.
func (b *Balancer) refreshSignals(now time.Time) []backpressure.News {
	b.peers.note(now, b.self(), b.view.Entries)
	for _, s := range b.servers {
		if s.record.State != fleet.StateGone {
			s.signals.listedAt = now
		}
	}
	maps.DeleteFunc(b.signals, func(_ string, said *signals) bool { return now.Sub(said.listedAt) > signalRetention })
	return b.untold(now)
}

func (b *Balancer) self() backpressure.Entry {
	return backpressure.Entry{Name: b.cfg.Name, Zone: b.cfg.Zone}
}

// SignalCounts counts what servers say of themselves.
type SignalCounts struct {
	// Limited servers have a limit in force, BackingOff ones want nothing from this entry for a
	// time, Leaving ones have said so in an answer.
	Limited, BackingOff, Leaving int
}

// SignalCounts returns, by service, how many servers signal what.
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
		out[s.record.Service] = counts
	}
	return out
}
