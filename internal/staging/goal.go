package staging

import (
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/ledger"
)

// wanted returns the versions to have at hand, in the order in which to fetch them:
// the next one to load, then the newest. Pieces are fetched while the engine is still
// starting, from peers only: whether it holds them already is not known. A VM that is
// added serves earlier by that, since its engine starts later than its agent.
func (s *Stager) wanted() []goal {
	next, ok := s.goal()
	if !ok || !s.reported.Load() && !s.absent.Load() {
		return nil
	}
	newest := next
	if v, named := s.cfg.View().Versions[next.model]; named && v.Number > next.version {
		newest.version, newest.named = v.Number, v
		return []goal{next, newest}
	}
	return []goal{next}
}

// overtaken tells whether another version than g is to be fetched first.
func (s *Stager) overtaken(g goal) bool {
	for _, other := range s.wanted() {
		if other.version == g.version {
			return false
		}
		if set := s.sets.get(key{other.model, other.version}); set == nil || len(set.missing()) > 0 {
			return true
		}
	}
	return true
}

// goal is the version that the engine is to hold.
type goal struct {
	model   string
	version uint64
	engine  *fleet.Engine
	origin  *fleet.Origin
	// named is the version as it was named; zero if it never was.
	named ledger.Version
}

// firstVersion is the one that is in use before any is named: backend servers that are
// there when the system starts may hold it.
const firstVersion = 1

// goal returns what the engine is to hold; false while that is not known.
func (s *Stager) goal() (goal, bool) {
	view := s.cfg.View()
	if view.Table == nil {
		return goal{}, false
	}
	service := view.Table.Service(s.cfg.Service)
	origin := view.Table.Origin()
	if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 || service.Engine.Pieces == 0 || origin == nil {
		return goal{}, false
	}
	g := goal{model: service.Engine.Models[0], version: firstVersion, engine: service.Engine, origin: origin}
	if v, ok := view.Versions[g.model]; ok && v.Number > g.version {
		v = s.nearest(g, v)
		g.version, g.named = v.Number, v
	}
	return g, true
}

// nearest returns the version to go for: the newest, or the one before it if most
// of that had time to arrive before the newest was named. To begin anew would leave
// the engines without a version that may be used. All agents judge by the same
// times, so that they go for the same.
func (s *Stager) nearest(g goal, newest ledger.Version) ledger.Version {
	before := newest.Previous
	if before == nil || before.Number == 0 || clock.Since(before.AppliedAt) > s.cfg.VersionBound {
		return newest
	}
	if s.holding.Load() >= before.Number {
		return newest
	}
	older := s.sets.get(key{g.model, before.Number})
	choice := versionChoice{
		gap: newest.AppliedAt.Sub(before.AppliedAt), spread: s.spreadTime(g),
		age: clock.Since(before.AppliedAt), originTime: g.originTime(), pieces: g.engine.Pieces,
		originFails: s.originFails(clock.Now()), newerKnown: s.sets.get(key{g.model, newest.Number}) != nil,
		olderAtHand: older.atHand(), newerAtHand: s.sets.get(key{g.model, newest.Number}).atHand(),
	}
	chosen := newest
	if olderFirst(choice) {
		chosen = *before
	}
	if s.goingFor.Swap(chosen.Number) != chosen.Number {
		s.log.Info().Str("model", g.model).Uint64("version", chosen.Number).Uint64("older", before.Number).Uint64("newer", newest.Number).
			Dur("gap_ms", choice.gap).Dur("spread_ms", choice.spread).Bool("origin_fails", choice.originFails).
			Bool("newer_known", choice.newerKnown).Int("older_at_hand", choice.olderAtHand).Int("newer_at_hand", choice.newerAtHand).
			Msg("version to go for chosen")
	}
	return chosen
}

// versionChoice is what decides which of two versions to go for that were named one after
// the other.
type versionChoice struct {
	// gap is the time between their namings, spread the time in which a version comes to
	// all agents.
	gap, spread time.Duration
	// age is how long ago the older one was named, originTime how long the origin's link
	// takes for a copy of so many pieces.
	age, originTime time.Duration
	pieces          int
	// originFails: the origin does not answer now.
	originFails bool
	// newerKnown: the digests of the newer one are here, so that its pieces can be fetched.
	newerKnown bool
	// olderAtHand and newerAtHand are how many pieces of each are held by agents.
	olderAtHand, newerAtHand int
}

// mostPart of the origin's time for a copy is from when on a version is let out whole.
const mostPart = 0.75

// olderFirst tells whether to go for the older of two versions. It is worth it only if it
// is in use before the newer one could be: where it had the time to come to all agents
// before the newer one was named, or where the newer one can't come since the origin does
// not answer. Else each engine would load twice, the second time as the bound of the older
// one passes.
func olderFirst(c versionChoice) bool {
	switch {
	case c.gap >= c.spread:
		return true
	case !c.newerKnown:
		return c.olderAtHand > 0
	case c.originFails:
		return c.olderAtHand > c.newerAtHand
	}
	// What has most of the way from the origin behind it is let out whole, in case that the
	// origin fails next: agents can then complete it among them.
	nearlyOut := float64(c.gap) >= mostPart*float64(c.originTime) && c.age < 2*c.originTime
	return nearlyOut && c.olderAtHand < c.pieces
}

// spreadTime is in what time a version comes to all agents: it leaves the origin, and each
// agent receives it and passes it on meanwhile.
func (s *Stager) spreadTime(g goal) time.Duration {
	spread := g.originTime()
	if s.cfg.LinkMbps > 0 {
		spread += timeOnLink(g.engine.Pieces*g.engine.PieceBytes, s.cfg.LinkMbps)
	}
	return spread
}

// originTime is how long the origin's link takes for one copy.
func (g goal) originTime() time.Duration {
	if g.origin.LinkMbps <= 0 {
		return 0
	}
	return timeOnLink(g.engine.Pieces*g.engine.PieceBytes, g.origin.LinkMbps)
}

func (g goal) key() key { return key{g.model, g.version} }

// age is how long ago the version was named; 0 if it never was.
func (g goal) age() time.Duration {
	if g.named.Number == 0 {
		return 0
	}
	return clock.Since(g.named.AppliedAt)
}
