package staging

import (
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/ledger"
)

// wanted returns the versions to have at hand, in the order in which to fetch them:
// the next one to load, then the newest. Pieces are fetched while the engine is still
// starting, from peers only: whether it holds them already is not known. A VM that is
// added serves 0.9 s earlier by that (a played day; its engine starts that much later
// than its agent).
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
	if before == nil || before.Number == 0 || time.Since(before.AppliedAt) > s.cfg.VersionBound {
		return newest
	}
	if s.holding.Load() >= before.Number || newest.AppliedAt.Sub(before.AppliedAt) < g.originTime() {
		return newest
	}
	return *before
}

// originTime is how long the origin's link takes for one copy.
func (g goal) originTime() time.Duration {
	if g.origin.LinkMbps <= 0 {
		return 0
	}
	return timeOnLink(g.engine.Pieces*g.engine.PieceBytes, g.origin.LinkMbps)
}

// age is how long ago the version was named; 0 if it never was.
func (g goal) age() time.Duration {
	if g.named.Number == 0 {
		return 0
	}
	return time.Since(g.named.AppliedAt)
}
