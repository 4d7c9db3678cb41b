package staging

import (
	"cmp"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rendezvous"
)

// originSchedule determines when pieces are requested from the origin in a large swarm.
// Without it, 96 agents request 96 pieces at once: that exceeds the origin's connection
// limit, and because the requests share its link, all pieces arrive only at the end of
// originTime and none can be forwarded earlier. With it a few pieces are in flight at any
// time, and the first ones arrive after a quarter of originTime.
//
// It is a pure function of its input, so that agents with the same input agree on it.
type originSchedule struct {
	base time.Time
	// rank is the position of each piece, window the number of pieces requested at first.
	rank   map[int]int
	window int
	// conns is the origin's connection limit.
	conns int
	// perPiece is the time that the origin's link takes for one piece.
	perPiece time.Duration
}

const (
	// windowShare is the initial window as a share of the origin's connection limit. Later
	// pieces are requested a little faster than the link sends them and need free
	// connections, too.
	windowShare = 1.0 / 6
	// minWindow keeps the link busy if the origin accepts few connections.
	minWindow = 4
	// scheduleRate is the rate of requests relative to the rate at which the link sends
	// pieces, so that the link stays busy if some agents are late or have crashed.
	scheduleRate = 1.15
	// inFlightShare is the average number of pieces in flight as a share of the
	// connection limit.
	inFlightShare = 0.5
)

// newOriginSchedule returns a schedule, starting at base, of the missing pieces.
func newOriginSchedule(base time.Time, version uint64, missing []int, e *fleet.Engine, o *fleet.Origin) *originSchedule {
	s := &originSchedule{base: base, rank: make(map[int]int, len(missing)), window: max(minWindow, int(windowShare*float64(o.MaxConns))), conns: o.MaxConns}
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

// due returns when the first agent requests a piece.
func (s *originSchedule) due(piece int) time.Time {
	wait := max(0, s.rank[piece]-s.window)
	return s.base.Add(time.Duration(float64(wait) / scheduleRate * float64(s.perPiece)))
}

// failoverAt returns when an agent with this rank requests a piece instead of the agents before
// it. These have then had the time that a piece takes with many others in flight.
func (s *originSchedule) failoverAt(piece, rank int) time.Time {
	inFlight := time.Duration(inFlightShare * float64(s.conns) * float64(s.perPiece))
	return s.due(piece).Add(inFlight + time.Duration(rank)*idleFailoverDelayLarge)
}

// scheduled reports whether the schedule of a large swarm permits a request for a piece to
// the origin now. In other swarms it returns true.
func (f *fetcher) scheduled(piece, rank int, now time.Time) bool {
	if !f.large() {
		return true
	}
	if f.schedule == nil {
		f.schedule = newOriginSchedule(f.scheduleBase(), f.g.version, f.unannounced(), f.g.engine, f.g.origin)
	}
	if rank == 0 {
		return !now.Before(f.schedule.due(piece))
	}
	return !now.Before(f.schedule.failoverAt(piece, rank))
}

// scheduleBase returns when the version could first be requested from the origin: after its
// digests were known and after the last failure of the origin. An agent that started after
// the naming uses the time of the naming, if known, because the others began then.
func (f *fetcher) scheduleBase() time.Time {
	base := f.set.createdAt
	if named := f.g.named; !named.TimeUnknown && f.s.start.After(named.AppliedAt) {
		base = named.AppliedAt
	}
	if failed := f.s.originFailedAt.Load(); failed > 0 {
		if at := f.s.start.Add(time.Duration(failed)); at.After(base) {
			base = at
		}
	}
	return base
}

// unannounced returns the missing pieces that no peer has announced.
func (f *fetcher) unannounced() []int {
	return slices.DeleteFunc(f.set.missing(), func(piece int) bool { return f.peerCount[piece] > 0 })
}
