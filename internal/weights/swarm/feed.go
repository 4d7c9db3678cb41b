package swarm

import (
	"cmp"
	"slices"
	"time"
)

const (
	// feedPatience times the usual interval between two chunks of a feeder
	// may pass before it counts as late.
	feedPatience = 6
	// intervalWeight is the weight of a new interval in the smoothed one, and
	// intervalCap times the smoothed one is the most that counts as new, so
	// that one long gap does not make everybody patient.
	intervalWeight = 0.05
	intervalCap    = 4
	// deadlineLimit times the least deadline is the longest.
	deadlineLimit = 4
)

// feeding decides which member fetches a chunk from the origin. A few feeders,
// the first of all members in hash order, share the chunks by rendezvous
// hashing: each chunk has an order of feeders. A member fetches a chunk when
// all feeders before it in the chunk's order are late, that is, have brought
// nothing for the deadline. The first in the order never waits for anybody,
// whatever others believe, so no two members can wait for each other.
type feeding struct {
	feeders []Peer
	own     int // this member's place among the feeders, or beyond them
	// order holds, per chunk, the feeders' places from first to last.
	order [][]int
	// brought is, per feeder, when a chunk it is responsible for was last seen.
	brought []time.Time
	// late feeders have brought nothing for the deadline. They stay late,
	// since their share's chunks may from now on come through others.
	late []bool
	last time.Time // when any chunk was seen
	// interval is the smoothed time between two chunks seen the first time.
	interval time.Duration
}

// feedersChanged works out the feeders for the present members.
func (s *State) feedersChanged(now time.Time) {
	all, count := feeders(s.strategy, s.self, s.members, s.version)
	f := &s.feed
	old := f.feeders
	f.feeders = all[:min(count, len(all))]
	f.own = slices.IndexFunc(all, func(p Peer) bool { return p.VM == s.self.VM })
	if slices.Equal(old, f.feeders) {
		return
	}
	f.late = make([]bool, len(f.feeders))
	f.brought = make([]time.Time, len(f.feeders))
	for i := range f.brought {
		f.brought[i] = now
	}
	f.order = make([][]int, s.n)
	for i := range f.order {
		f.order[i] = rendezvousOrder(f.feeders, s.version, i)
	}
}

// rendezvousOrder returns the members' places by falling hash for chunk i.
func rendezvousOrder(members []Peer, version uint64, i int) []int {
	keys := make([]uint64, len(members))
	order := make([]int, len(members))
	for m, p := range members {
		keys[m] = hash(mix(version)^uint64(i), p.VM)
		order[m] = m
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(keys[b], keys[a]) })
	return order
}

// saw notes that chunk i has been fetched by someone.
func (f *feeding) saw(i int, now time.Time) {
	gap := now.Sub(f.last)
	f.last = now
	if f.interval == 0 {
		f.interval = gap
	} else {
		gap = min(gap, intervalCap*f.interval)
		f.interval += time.Duration(intervalWeight * float64(gap-f.interval))
	}
	if i >= len(f.order) {
		return
	}
	if m := f.responsible(i); m >= 0 {
		f.brought[m] = now
	}
}

// deadline is how long a feeder may bring nothing: what the settings say, or
// longer if the origin is seen to be slower, within limits, since an outage
// looks like a slow origin too.
func (s *State) deadline() time.Duration {
	least := max(s.cfg.OriginDeadline, time.Duration(s.cfg.DeadlineChunks)*s.chunkTime)
	observed := feedPatience * s.feed.interval * time.Duration(len(s.feed.feeders))
	return min(max(least, observed), deadlineLimit*least)
}

// responsible returns the place of the first feeder for chunk i that is not
// late, or -1.
func (f *feeding) responsible(i int) int {
	for _, m := range f.order[i] {
		if !f.late[m] {
			return m
		}
	}
	return -1
}

// findLate marks the feeders that have brought nothing for the deadline
// although they are responsible for chunks that have not been seen.
func (s *State) findLate(deadline time.Duration, now time.Time) {
	f := &s.feed
	waiting := make([]bool, len(f.feeders))
	for i := range f.order {
		if m := f.responsible(i); m >= 0 && !s.seen.Has(i) {
			waiting[m] = true
		}
	}
	for m := range waiting {
		if !waiting[m] || m == f.own {
			f.brought[m] = now // its time begins when something is due
			continue
		}
		if now.Sub(f.brought[m]) > deadline {
			f.late[m] = true
		}
	}
}

// scheduleOrigin fetches this member's share from the origin.
func (s *State) scheduleOrigin(now time.Time) []Action {
	if len(s.feed.feeders) == 0 || !s.source.open(now) || !s.informed(now) {
		return nil
	}
	free := max(1, s.cfg.OriginStreams/len(s.feed.feeders)) - s.askedOfOrigin()
	if free <= 0 {
		return nil
	}
	deadline := s.deadline()
	if s.seen.Count() < s.n {
		s.findLate(deadline, now)
	}
	var out []Action
	for free > 0 && s.source.open(now) {
		i := s.nextFromOrigin(deadline, now)
		if i < 0 {
			break
		}
		r := s.start(nil, i, now)
		out = append(out, Fetch{ID: r.id, Index: i, Store: s.source.store})
		s.source.asked(now)
		free--
	}
	return out
}

// informed says whether enough peers have told what they hold for this member
// to know what need not come from the origin any more.
func (s *State) informed(now time.Time) bool {
	if now.Sub(s.begun) >= informPatience {
		return true
	}
	told := 0
	for _, p := range s.peers {
		if p.up {
			told++
		}
	}
	return 2*told >= len(s.peers)
}

// informPatience is how long a member waits at first for what peers tell.
const informPatience = 250 * time.Millisecond

// nextFromOrigin returns the next chunk to fetch from the origin, or -1. A
// member goes through its own share from the front and through a late feeder's
// from the back: if that feeder is only slow, the two meet.
func (s *State) nextFromOrigin(deadline time.Duration, now time.Time) int {
	substitute := -1
	for i := range s.n {
		if s.held.Has(i) || s.pending.Has(i) || !s.mine(i, deadline, now) {
			continue
		}
		if s.strategy != StrategySwarm || s.feed.order[i][0] == s.feed.own {
			return i
		}
		substitute = i
	}
	return substitute
}

func (s *State) askedOfOrigin() int { return len(s.order) - s.askedOfPeers() }

// mine says whether this member shall fetch chunk i from the origin now.
func (s *State) mine(i int, deadline time.Duration, now time.Time) bool {
	switch s.strategy {
	case StrategyOrigin:
		return true
	case StrategyChain, StrategyZoneTree:
		// The root feeds; others do when their parent gives nothing.
		return s.feed.own == 0 || now.Sub(s.gained) > deadline
	}
	if s.seen.Has(i) {
		return s.lost(i, deadline, now)
	}
	return s.inTurn(i, deadline, now)
}

// inTurn says whether all feeders before this member in chunk i's order are
// late. Members that are no feeders come after all feeders, one deadline each.
func (s *State) inTurn(i int, deadline time.Duration, now time.Time) bool {
	f := &s.feed
	for _, m := range f.order[i] {
		if m == f.own {
			return true
		}
		if !f.late[m] {
			return false
		}
	}
	beyond := min(f.own-len(f.feeders)+1, lostRankLimit)
	return now.Sub(f.last) > deadline*time.Duration(1+beyond)
}

// lost says that chunk i, once seen, has had no trusted holder among the
// connected peers for so long that this member, by its rank for the chunk,
// shall fetch it from the origin.
func (s *State) lost(i int, deadline time.Duration, now time.Time) bool {
	since := s.absent[i]
	if s.copies[i] > 0 {
		for _, p := range s.peers {
			if !p.holds.Has(i) {
				continue
			}
			if p.doubted.IsZero() {
				return false
			}
			if p.doubted.After(since) {
				since = p.doubted
			}
		}
	}
	gone := now.Sub(since)
	if gone < lostPatience*deadline {
		return false
	}
	return gone >= deadline*time.Duration(lostPatience+s.rank(i))
}

// lostPatience times the deadline a chunk that was seen may have no trusted
// holder among the connected peers.
const lostPatience = 2

// rank is this member's place in the rendezvous order of chunk i over all
// members.
func (s *State) rank(i int) int {
	seed := mix(s.version) ^ uint64(i)
	own := hash(seed, s.self.VM)
	before := 0
	for _, m := range s.members {
		if m.VM != s.self.VM && hash(seed, m.VM) > own {
			before++
		}
	}
	return min(before, lostRankLimit)
}
