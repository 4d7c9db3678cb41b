package balance

import (
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
)

// publishInterval is the least time between two updates about one server.
const publishInterval = 500 * time.Millisecond

// OnSignals sets the callback for updates about servers' signals for other entries; nil for none.
// Call it before any other goroutine uses the balancer.
func (b *Balancer) OnSignals(publish func([]backpressure.Update)) {
	if publish != nil {
		b.publishSignals = publish
	}
}

// ApplyUpdates applies the updates of other entries.
func (b *Balancer) ApplyUpdates(now time.Time, updates []backpressure.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range updates {
		sig := b.signalsOf(n.Incarnation, n.At)
		before := sig.limit
		if sig.limit.ApplyUpdate(n) {
			sig.unpublished = false
			b.limitChanged(now, sig, before, "entry")
		}
		if n.Leaving && sig.leavingAt.IsZero() {
			b.setLeaving(now, sig, "entry")
		}
	}
}

// takeUnpublished returns the updates that are due to be published. Updates about a server whose
// signals change all the time are published once per publishInterval.
func (b *Balancer) takeUnpublished(now time.Time) (updates []backpressure.Update) {
	for _, sig := range b.signals {
		if sig.unpublished && now.Sub(sig.publishedAt) >= publishInterval {
			sig.unpublished, sig.publishedAt = false, now
			updates = append(updates, sig.update())
		}
	}
	return updates
}

// Signals returns the current signals of all servers, for control servers that may have
// lost them.
func (b *Balancer) Signals() (updates []backpressure.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sig := range b.signals {
		if !sig.limit.ReceivedAt.IsZero() || !sig.leavingAt.IsZero() {
			updates = append(updates, sig.update())
		}
	}
	return updates
}

func (s *signals) update() backpressure.Update {
	at := s.limit.ReceivedAt
	if s.leavingAt.After(at) {
		at = s.leavingAt
	}
	return backpressure.Update{Incarnation: s.start, Limited: s.limit.InForce, Rate: s.limit.Rate, Leaving: !s.leavingAt.IsZero(), At: at}
}
