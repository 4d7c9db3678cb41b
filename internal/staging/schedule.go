package staging

import (
	"cmp"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rendezvous"
)

// originSchedule says from when on pieces are asked of the origin in a large swarm. All
// agents ask for those whose turn it is to fetch; without it, 96 pieces were asked for at
// once by as many agents: over the connections that the origin takes, and since they shared
// its link all of them came at the end of a copy's time, so that nothing could be passed on
// before. With it some are under way at any moment, and the first are there after a
// quarter of that time.
//
// It is pure, and the same at all agents that know the same.
type originSchedule struct {
	base time.Time
	// rank is the place of each piece, window how many are asked for at first.
	rank   map[int]int
	window int
	// conns is how many connections the origin takes.
	conns int
	// perPiece is the time of one piece on the origin's link.
	perPiece time.Duration
}

const (
	// windowPart of the connections that the origin takes is how many pieces are asked for
	// at first: later ones come a little faster than the link carries them, and must find
	// connections, too.
	windowPart = 1.0 / 6
	// leastWindow keeps the link full where the origin takes few connections.
	leastWindow = 4
	// scheduleRate is by how much faster pieces are asked for than the link carries them, so
	// that it is full though some agents are late or dead.
	scheduleRate = 1.15
	// underWayPart of the connections is how many pieces share the link on average.
	underWayPart = 0.5
)

// newOriginSchedule orders the pieces that nobody holds as of base.
func newOriginSchedule(base time.Time, version uint64, missing []int, e *fleet.Engine, o *fleet.Origin) *originSchedule {
	s := &originSchedule{base: base, rank: make(map[int]int, len(missing)), window: max(leastWindow, int(windowPart*float64(o.MaxConns))), conns: o.MaxConns}
	if o.LinkMbps > 0 {
		s.perPiece = timeOnLink(e.PieceBytes, o.LinkMbps)
	}
	weight := func(piece int) uint64 { return rendezvous.Weight(version, uint64(piece)) }
	sorted := slices.SortedFunc(slices.Values(missing), func(a, b int) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
	for rank, piece := range sorted {
		s.rank[piece] = rank
	}
	return s
}

// due is when the agent whose turn it is asks for a piece.
func (s *originSchedule) due(piece int) time.Time {
	wait := max(0, s.rank[piece]-s.window)
	return s.base.Add(time.Duration(float64(wait) / scheduleRate * float64(s.perPiece)))
}

// standIn is when an agent asks that comes after so many others: those have had the time in
// which a piece comes that is under way with as many as may be.
func (s *originSchedule) standIn(piece, turn int) time.Time {
	underWay := time.Duration(underWayPart * float64(s.conns) * float64(s.perPiece))
	return s.due(piece).Add(underWay + time.Duration(turn)*idlePatienceLarge)
}

// scheduled tells whether a piece may be asked of the origin now by the schedule of a large
// swarm.
func (f *fetcher) scheduled(piece, turn int, now time.Time) bool {
	if !f.large() {
		return true
	}
	if f.schedule == nil {
		f.schedule = newOriginSchedule(f.scheduleBase(), f.g.version, f.nowhere(), f.g.engine, f.g.origin)
	}
	if turn == 0 {
		return !now.Before(f.schedule.due(piece))
	}
	return !now.Before(f.schedule.standIn(piece, turn))
}

// scheduleBase is from when on the origin could be asked for the version: its digests were
// known, and the origin has not failed since. An agent that started after the naming takes
// its turns as if it had been there: others have asked long ago.
func (f *fetcher) scheduleBase() time.Time {
	base := f.set.opened
	if named := f.g.named.AppliedAt; f.s.start.After(named) {
		base = named
	}
	if failed := f.s.originFailedAt.Load(); failed > 0 {
		if at := f.s.start.Add(time.Duration(failed)); at.After(base) {
			base = at
		}
	}
	return base
}

// nowhere are the missing pieces that no peer has told to hold.
func (f *fetcher) nowhere() []int {
	return slices.DeleteFunc(f.set.missing(), func(piece int) bool { return f.count[piece] > 0 })
}
