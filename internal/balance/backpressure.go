package balance

import (
	"maps"
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/fleet"
)

// statedRetention is for how long what a start of a server has said is kept while no control
// server lists it: one that is listed again is the same start.
const statedRetention = 10 * time.Minute

// tellInterval is the least time between two pieces of news of one server.
const tellInterval = 500 * time.Millisecond

// stated is what one start of a backend server says of itself in its answers, and what this
// entry has sent there.
type stated struct {
	// id of the server, empty while only others have told of it, and start of it.
	id, start string
	limit     backpressure.Limit
	pacer     backpressure.Pacer
	// part of the limit that this entry holds, of this rate and these entries.
	part     backpressure.Part
	partRate float64
	partOf   int
	// rest is what the server asks of this entry. After one it gets one request at a time until it
	// has taken one: untried is set until then, trying while one is on its way.
	rest            backpressure.Rest
	untried, trying bool
	// leavingAt is when it said that it leaves, zero if it has not.
	leavingAt time.Time
	// listedAt is when the start was listed last.
	listedAt time.Time
	// untold: other entries are to be told of a change; toldAt is when they were told last.
	untold bool
	toldAt time.Time
}

// word names what the server says that weighs most, for metrics.
func (s *stated) word(now time.Time) string {
	switch {
	case !s.leavingAt.IsZero():
		return "leaving"
	case !s.rest.Over(now):
		return "rest"
	case s.limit.InForce:
		return "limit"
	}
	return ""
}

// statedBy returns what a start has said that was heard of at this time.
func (b *Balancer) statedBy(start string, at time.Time) *stated {
	said := b.stated[start]
	if said == nil {
		said = &stated{start: start, listedAt: at}
		b.stated[start] = said
	}
	return said
}

// OnStated sets what is called with news of what servers have said, for other entries; nil if
// nobody is told. Call it before any other goroutine uses the balancer.
func (b *Balancer) OnStated(tell func([]backpressure.News)) {
	if tell != nil {
		b.tellStated = tell
	}
}

// Stated takes what the head of an answer to a chosen send says of the server's limit.
func (b *Balancer) Stated(c *Choice, now time.Time, told backpressure.Statement) {
	b.mu.Lock()
	s := c.Server
	before := s.stated.limit
	if !s.stated.limit.Hear(now, c.pickedAt, told) {
		b.mu.Unlock()
		return
	}
	b.limitChanged(now, s.stated, before, "answer")
	s.stated.untold = true
	news := b.untold(now)
	b.mu.Unlock()
	if len(news) > 0 {
		b.tellStated(news)
	}
}

// Learn takes what other entries have heard from servers.
func (b *Balancer) Learn(now time.Time, news []backpressure.News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range news {
		said := b.statedBy(n.Start, n.At)
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

// limitChanged takes a changed limit into force; the source of it is an answer or another entry.
func (b *Balancer) limitChanged(now time.Time, said *stated, before backpressure.Limit, source string) {
	limit := said.limit
	if limit.InForce && !before.InForce {
		said.pacer.Begin(now)
	}
	event := b.cfg.Logger.Info().Str("server", said.id).Str("start", said.start).Str("source", source).Dur("age_ms", now.Sub(limit.HeardAt)).
		Bool("limited", limit.InForce).Float64("rate", limit.Rate).Bool("was_limited", before.InForce).Float64("rate_before", before.Rate)
	if s := b.servers[said.id]; s != nil && s.stated == said && limit.InForce {
		b.peers.note(now, b.self(), b.view.Entries)
		part := b.partOf(s)
		event.Int("own_requests", s.inFlight).Int("entries", len(b.peers.entries)).Float64("own_rate", part.Rate).Dur("probe_ms", part.Probe)
	}
	event.Msg("backend server's limit changed")
}

// untold returns what is to be told to other entries now. A server that changes its word all the time is
// told of once in tellInterval.
func (b *Balancer) untold(now time.Time) (news []backpressure.News) {
	for _, said := range b.stated {
		if said.untold && now.Sub(said.toldAt) >= tellInterval {
			said.untold, said.toldAt = false, now
			news = append(news, said.news())
		}
	}
	return news
}

// Statements returns all that servers have said that were heard lately, for control servers that
// may have forgotten it.
func (b *Balancer) Statements() (news []backpressure.News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, said := range b.stated {
		if !said.limit.HeardAt.IsZero() || !said.leavingAt.IsZero() {
			news = append(news, said.news())
		}
	}
	return news
}

func (s *stated) news() backpressure.News {
	at := s.limit.HeardAt
	if s.leavingAt.After(at) {
		at = s.leavingAt
	}
	return backpressure.News{Start: s.start, Limited: s.limit.InForce, Rate: s.limit.Rate, Leaving: !s.leavingAt.IsZero(), At: at}
}

func (b *Balancer) self() backpressure.Entry {
	return backpressure.Entry{Name: b.cfg.Name, Zone: b.cfg.Zone}
}

// partOf returns the part of a server's limit that this entry holds.
func (b *Balancer) partOf(s *Server) backpressure.Part {
	said := s.stated
	if said.partRate != said.limit.Rate || said.partOf != b.peers.changes {
		said.part = backpressure.PartOf(said.limit.Rate, s.Addr, s.record.Zone, b.cfg.Name, b.peers.entries)
		said.partRate, said.partOf = said.limit.Rate, b.peers.changes
	}
	return said.part
}

// opens returns when this entry may send to a server next by what the server has said; now, if
// it may at once.
func (b *Balancer) opens(now time.Time, s *Server) time.Time {
	if !s.stated.limit.InForce {
		return now
	}
	return s.stated.pacer.Opens(now, b.partOf(s))
}

// refreshStated takes the entries that are known now, forgets starts that are gone, and returns
// what is to be told.
func (b *Balancer) refreshStated(now time.Time) []backpressure.News {
	b.peers.note(now, b.self(), b.view.Entries)
	for _, s := range b.servers {
		if s.record.State != fleet.StateGone {
			s.stated.listedAt = now
		}
	}
	maps.DeleteFunc(b.stated, func(_ string, said *stated) bool { return now.Sub(said.listedAt) > statedRetention })
	return b.untold(now)
}

// AskedToRest takes a server's wish to get nothing from this entry for a time.
func (b *Balancer) AskedToRest(c *Choice, now time.Time, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.Server
	if d > 0 {
		s.stated.untried = true
	}
	if s.stated.rest.Ask(now, d) {
		b.cfg.Logger.Info().Str("server", s.ID).Str("addr", s.Addr).Dur("for_ms", d).Int("own_requests", s.inFlight).
			Msg("backend server asks for rest")
	}
}

// TookWork notes that a server has begun with a request: one that was sent after its last rest
// was asked for ends the time in which it is tried.
func (b *Balancer) TookWork(c *Choice) {
	if !b.tookWork(c) {
		return
	}
	b.cfg.Logger.Info().Str("server", c.Server.ID).Msg("backend server takes work again after a rest")
	b.freed()
}

func (b *Balancer) tookWork(c *Choice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tried(c)
	said := c.Server.stated
	if !said.untried || !c.pickedAt.After(said.rest.AskedAt) {
		return false
	}
	said.untried = false
	return true
}

// tried ends the time in which a choice is the only one at a server after a rest.
func (b *Balancer) tried(c *Choice) {
	if c.tries {
		c.tries = false
		c.Server.stated.trying = false
	}
}

// takes tells whether the server's rest is over, and no request is on its way to try it.
func (s *stated) takes(now time.Time) bool { return s.rest.Over(now) && !s.trying }

// sent notes a request that was chosen for the server, and tells whether it tries it.
func (s *stated) sent(now time.Time) (tries bool) {
	s.pacer.Sent(now)
	s.trying = s.untried
	return s.trying
}

// SaidToLeave takes a server's word that it leaves: this start gets nothing more, whatever it
// announces.
func (b *Balancer) SaidToLeave(c *Choice, now time.Time) {
	b.mu.Lock()
	if !c.Server.stated.leavingAt.IsZero() {
		b.mu.Unlock()
		return
	}
	b.leave(now, c.Server.stated, "answer")
	c.Server.stated.untold = true
	news := b.untold(now)
	b.mu.Unlock()
	if len(news) > 0 {
		b.tellStated(news)
	}
}

// leave takes a server out that has said that it leaves; the source of that is an answer or
// another entry.
func (b *Balancer) leave(now time.Time, said *stated, source string) {
	said.leavingAt = now
	event := b.cfg.Logger.Info().Str("server", said.id).Str("start", said.start).Str("source", source)
	if s := b.servers[said.id]; s != nil && s.stated == said {
		event.Str("addr", s.Addr).Stringer("announced", s.record.State).Int("own_requests", s.inFlight)
		s.Pool.Close()
		b.removeFromService(s)
	}
	event.Msg("backend server says that it leaves")
}

// Words counts what servers say of themselves.
type Words struct {
	// Limited servers have a limit in force, Resting ones want nothing from this entry for a
	// time, Leaving ones have said so in an answer.
	Limited, Resting, Leaving int
}

// Words returns, by service, how many servers say what.
func (b *Balancer) Words(now time.Time) map[string]Words {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Words, len(b.services))
	for _, s := range b.servers {
		words := out[s.record.Service]
		if s.stated.limit.InForce {
			words.Limited++
		}
		if !s.stated.rest.Over(now) {
			words.Resting++
		}
		if !s.stated.leavingAt.IsZero() {
			words.Leaving++
		}
		out[s.record.Service] = words
	}
	return out
}
