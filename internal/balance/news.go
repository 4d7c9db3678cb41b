package balance

import (
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
)

// tellInterval is the least time between two pieces of news of one server.
const tellInterval = 500 * time.Millisecond

// OnSignals sets what is called with news of what servers have said, for other entries; nil if
// nobody is told. Call it before any other goroutine uses the balancer.
func (b *Balancer) OnSignals(tell func([]backpressure.News)) {
	if tell != nil {
		b.tellSignals = tell
	}
}

// Learn takes what other entries have heard from servers.
func (b *Balancer) Learn(now time.Time, news []backpressure.News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range news {
		said := b.signalsOf(n.Start, n.At)
		before := said.limit
		if said.limit.Learn(n) {
			said.untold = false
			b.limitChanged(now, said, before, "entry")
		}
		if n.Leaving && said.leavingAt.IsZero() {
			b.leave(now, said, "entry")
		}
	}
}

// untold returns what is to be told to other entries now. A server that changes its signals all the time is
// told of once in tellInterval.
func (b *Balancer) untold(now time.Time) (news []backpressure.News) {
	for _, said := range b.signals {
		if said.untold && now.Sub(said.toldAt) >= tellInterval {
			said.untold, said.toldAt = false, now
			news = append(news, said.news())
		}
	}
	return news
}

// Signals returns all that servers have said that were heard lately, for control servers that
// may have forgotten it.
func (b *Balancer) Signals() (news []backpressure.News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, said := range b.signals {
		if !said.limit.HeardAt.IsZero() || !said.leavingAt.IsZero() {
			news = append(news, said.news())
		}
	}
	return news
}

func (s *signals) news() backpressure.News {
	at := s.limit.HeardAt
	if s.leavingAt.After(at) {
		at = s.leavingAt
	}
	return backpressure.News{Start: s.start, Limited: s.limit.InForce, Rate: s.limit.Rate, Leaving: !s.leavingAt.IsZero(), At: at}
}
