package staging

import (
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/ledger"
)

// wanted returns the versions to fetch, in order: the next one to load, then the newest.
// While the engine is still starting, pieces are fetched only from peers, because the
// engine may have them already. This lets an added VM serve earlier, as its engine starts
// later than its agent.
func (s *Stager) wanted() []goal {
	next, ok := s.goal()
	if !ok || !s.reported.Load() && !s.engineDown.Load() {
		return nil
	}
	newest := next
	if v, named := s.cfg.View().Versions[next.model]; named && v.Number > next.version {
		newest.version, newest.named = v.Number, v
		return []goal{next, newest}
	}
	return []goal{next}
}

// superseded reports whether another version than g is to be fetched first.
func (s *Stager) superseded(g goal) bool {
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

// goal is the version that the engine is to load.
type goal struct {
	model   string
	version uint64
	engine  *fleet.Engine
	origin  *fleet.Origin
	// named is the ledger entry of the version; zero if it was never named.
	named ledger.Version
}

// firstVersion is the version in use before any is named. Backend servers may have it
// loaded when the system starts.
const firstVersion = 1

// goal returns the version that the engine is to load; false while it is unknown.
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
		v = s.chooseVersion(g, v)
		g.version, g.named = v.Number, v
	}
	return g, true
}

// chooseVersion returns the version to fetch: the newest, or the previous one if most of
// it had time to arrive before the newest was named. Starting over with the newest would
// then leave the engines without a version that may be used. The times of the namings are the
// same at all agents, so that they tend to choose the same version. The choice also depends on
// what this agent knows: whether the origin is down, whether the digests of the newer version
// are known, and how many pieces of each are available.
func (s *Stager) chooseVersion(g goal, newest ledger.Version) ledger.Version {
	before := newest.Previous
	if before == nil || before.Number == 0 || clock.Since(before.AppliedAt) > s.cfg.VersionBound {
		return newest
	}
	if s.engineVersion.Load() >= before.Number {
		return newest
	}
	older := s.sets.get(key{g.model, before.Number})
	choice := versionChoice{
		gap: newest.AppliedAt.Sub(before.AppliedAt), spread: s.distributionTime(g),
		age: clock.Since(before.AppliedAt), originTime: g.originTime(), pieces: g.engine.Pieces,
		originDown: s.originDown(clock.Now()), newerKnown: s.sets.get(key{g.model, newest.Number}) != nil,
		olderAvailable: older.available(), newerAvailable: s.sets.get(key{g.model, newest.Number}).available(),
	}
	chosen := newest
	if preferOlder(choice) {
		chosen = *before
	}
	if s.chosenVersion.Swap(chosen.Number) != chosen.Number {
		s.log.Info().Str("model", g.model).Uint64("version", chosen.Number).Uint64("older", before.Number).Uint64("newer", newest.Number).
			Dur("gap_ms", choice.gap).Dur("spread_ms", choice.spread).Bool("origin_fails", choice.originDown).
			Bool("newer_known", choice.newerKnown).Int("older_at_hand", choice.olderAvailable).Int("newer_at_hand", choice.newerAvailable).
			Msg("version to go for chosen")
	}
	return chosen
}

// versionChoice is the input of preferOlder: the state of two versions that were named
// one shortly after the other.
type versionChoice struct {
	// gap is the time between the two namings, spread the time that a version takes to
	// reach all agents.
	gap, spread time.Duration
	// age is the time since the older one was named, originTime the time that the origin's
	// link takes for one copy, and pieces the number of pieces of a copy.
	age, originTime time.Duration
	pieces          int
	// originDown: the origin is down.
	originDown bool
	// newerKnown: the digests of the newer one are known, so that its pieces can be fetched.
	newerKnown bool
	// olderAvailable and newerAvailable are the number of pieces of each that this agent or a
	// peer has.
	olderAvailable, newerAvailable int
}

// nearlySentShare is the share of originTime from which on the older version is completed.
const nearlySentShare = 0.75

// preferOlder reports whether to fetch the older of two versions first. That pays only if the
// older one can be in use before the newer one: if it had the time to reach all agents before
// the newer one was named, or if the newer one cannot be fetched because the origin is down.
// Otherwise each engine would load twice, the second time when the older one's bound expires.
func preferOlder(c versionChoice) bool {
	switch {
	case c.gap >= c.spread:
		return true
	case !c.newerKnown:
		return c.olderAvailable > 0
	case c.originDown:
		return c.olderAvailable > c.newerAvailable
	}
	// A version of which the origin has sent most is completed in case the origin fails next:
	// the agents can then fetch it from each other.
	nearlySent := float64(c.gap) >= nearlySentShare*float64(c.originTime) && c.age < 2*c.originTime
	return nearlySent && c.olderAvailable < c.pieces
}

// distributionTime returns the time that a version takes to reach all agents: the time on the
// origin's link and on one agent's link, since agents forward pieces while they receive others.
func (s *Stager) distributionTime(g goal) time.Duration {
	spread := g.originTime()
	if s.cfg.LinkMbps > 0 {
		spread += timeOnLink(g.engine.Pieces*g.engine.PieceBytes, s.cfg.LinkMbps)
	}
	return spread
}

// originTime returns the time that the origin's link takes for one copy; 0 if unknown.
func (g goal) originTime() time.Duration {
	if g.origin.LinkMbps <= 0 {
		return 0
	}
	return timeOnLink(g.engine.Pieces*g.engine.PieceBytes, g.origin.LinkMbps)
}

func (g goal) key() key { return key{g.model, g.version} }

// logAge adds the time since the version was named, if it is known.
func (g goal) logAge(e *zerolog.Event) {
	if !g.named.TimeUnknown {
		e.Dur("since_named_ms", g.age())
	}
}

// age returns the time since the version was named; 0 if it was never named.
func (g goal) age() time.Duration {
	if g.named.Number == 0 {
		return 0
	}
	return clock.Since(g.named.AppliedAt)
}
