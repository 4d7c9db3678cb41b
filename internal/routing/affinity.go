package routing

import (
	"lynxgate.dev/lynxgate/internal/rendezvous"
	"maps"
	"time"
)

// hintSet holds the prefixes that a backend server reported as cached. It is
// replaced, never changed, so that views may share it.
type hintSet struct{ seen map[uint64]time.Time }

// with returns the set after some cache events. The oldest hints beyond the limit
// are removed.
func (h hintSet) with(now time.Time, events []CacheEvent, cfg *Config) hintSet {
	if len(events) == 0 {
		return h
	}
	next := maps.Clone(h.seen)
	if next == nil {
		next = map[uint64]time.Time{}
	}
	for _, e := range events {
		if e.Evicted {
			delete(next, e.PrefixHash)
			continue
		}
		next[e.PrefixHash] = now
	}
	for len(next) > cfg.CacheHints {
		dropOldest(next)
	}
	return hintSet{next}
}

func dropOldest(seen map[uint64]time.Time) {
	var oldest uint64
	var at time.Time
	for prefix, t := range seen {
		older := t.Before(at) || t.Equal(at) && prefix < oldest
		if at.IsZero() || older {
			oldest, at = prefix, t
		}
	}
	delete(seen, oldest)
}

func (h hintSet) has(now time.Time, prefix uint64, ttl time.Duration) bool {
	at, ok := h.seen[prefix]
	return ok && now.Sub(at) < ttl
}

// chooseByPrefix returns the backend server that owns the prefix: the first in
// rendezvous order that is not loaded above the bound. A cache hint only decides
// between the first two, since hints are late and incomplete.
func chooseByPrefix(c *Candidates) *ServerView {
	bound := c.affinityBound()
	var first, second *ServerView
	for _, s := range c.Servers {
		if s.load(c.Now)+1 > bound*s.slots() || s.share(c.Now) < 1 {
			continue
		}
		switch {
		case first == nil || outranks(c.Request.Prefix, s, first):
			first, second = s, first
		case second == nil || outranks(c.Request.Prefix, s, second):
			second = s
		}
	}
	if second == nil || first.hinted(c) || !second.hinted(c) {
		return first
	}
	return second
}

func outranks(prefix uint64, a, b *ServerView) bool {
	wa, wb := rendezvous.Weight(prefix, a.hash), rendezvous.Weight(prefix, b.hash)
	if wa != wb {
		return wa > wb
	}
	return a.VM < b.VM
}

// affinityBound is the utilisation up to which a backend server gets the requests
// of its prefixes: a multiple of the mean, the new request included, and at least
// AffinityFree.
func (c *Candidates) affinityBound() float64 {
	load, slots := 1.0, 0.0
	for _, s := range c.Servers {
		load += s.load(c.Now)
		slots += s.slots()
	}
	return max(c.cfg.AffinityBound*load/slots, c.cfg.AffinityFree)
}

func (s *ServerView) hinted(c *Candidates) bool {
	return s.hints.has(c.Now, c.Request.Prefix, c.cfg.HintTTL)
}
