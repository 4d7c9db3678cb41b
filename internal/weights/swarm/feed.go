package swarm

import (
	"slices"
	"time"
)

const (
	// feedPatience times the usual interval between two chunks of a feeder
	// may pass before it counts as late.
	feedPatience = 6
	// intervalWeight is the weight of a new interval in the smoothed one.
	intervalWeight = 0.05
)

// fetching decides which member fetches a chunk from the origin. A few
// feeders, the first of all members in hash order, share the chunks by
// rendezvous hashing. A feeder that brings nothing for the deadline is late
// and the next member in order takes its place.
type fetching struct {
	version uint64
	order   []Peer // all members by rank
	count   int
	active  []Peer
	late    map[string]bool
	brought map[string]time.Time // when a chunk of the feeder was last seen
	owner   []int                // per chunk: index in active
	// interval is the smoothed time between two chunks seen the first time.
	interval time.Duration
	lastSeen time.Time
}

func (f *fetching) begin(now time.Time) {
	f.late = map[string]bool{}
	f.brought = map[string]time.Time{}
	f.lastSeen = now
}

// feedersChanged works out the feeders for the present members.
func (s *State) feedersChanged(now time.Time) {
	s.fetch.version = s.version
	s.fetch.order, s.fetch.count = feeders(s.strategy, s.self, s.members, s.version)
	s.fetch.assign(s.n, now)
}

// assign picks the feeders that are not late and shares the chunks out.
func (f *fetching) assign(chunks int, now time.Time) {
	f.active = nil
	for _, m := range f.order {
		if len(f.active) < f.count && !f.late[m.VM] {
			f.active = append(f.active, m)
		}
	}
	if len(f.active) == 0 { // all are late: begin again
		clear(f.late)
		f.active = append(f.active, f.order[:min(f.count, len(f.order))]...)
	}
	for _, m := range f.active {
		if _, ok := f.brought[m.VM]; !ok {
			f.brought[m.VM] = now
		}
	}
	f.owner = make([]int, chunks)
	for i := range f.owner {
		f.owner[i] = rendezvous(f.active, f.version, i)
	}
}

// rendezvous returns the index of the member with the highest hash for chunk i.
func rendezvous(members []Peer, version uint64, i int) int {
	best, bestKey := 0, uint64(0)
	for m, p := range members {
		if key := hash(mix(version)^uint64(i), p.VM); key >= bestKey {
			best, bestKey = m, key
		}
	}
	return best
}

// saw notes that chunk i has been fetched by someone.
func (f *fetching) saw(i int, now time.Time) {
	gap := now.Sub(f.lastSeen)
	f.lastSeen = now
	if f.interval == 0 {
		f.interval = gap
	} else {
		f.interval += time.Duration(intervalWeight * float64(gap-f.interval))
	}
	if i >= len(f.owner) {
		return
	}
	f.brought[f.active[f.owner[i]].VM] = now
}

// deadline is how long a feeder may bring nothing.
func (s *State) deadline() time.Duration {
	observed := feedPatience * s.fetch.interval * time.Duration(len(s.fetch.active))
	return max(s.cfg.OriginDeadline, time.Duration(s.cfg.DeadlineChunks)*s.chunkTime, observed)
}

// replaceLate puts the next member in order in a late feeder's place.
func (s *State) replaceLate(now time.Time) {
	f := &s.fetch
	waiting := make([]bool, len(f.active))
	for i, owner := range f.owner {
		if !s.seen.Has(i) {
			waiting[owner] = true
		}
	}
	changed := false
	for m, p := range f.active {
		if !waiting[m] {
			f.brought[p.VM] = now
			continue
		}
		if p.VM != s.self.VM && now.Sub(f.brought[p.VM]) > s.deadline() {
			f.late[p.VM] = true
			changed = true
		}
	}
	if !changed {
		return
	}
	f.assign(s.n, now)
	for _, p := range f.active {
		f.brought[p.VM] = now // the new order gets a whole deadline
	}
}

// scheduleOrigin fetches this member's share from the origin.
func (s *State) scheduleOrigin(now time.Time) []Action {
	if len(s.fetch.active) == 0 {
		return nil
	}
	if s.seen.Count() < s.n {
		s.replaceLate(now)
	}
	free := max(1, s.cfg.OriginStreams/len(s.fetch.active)) - s.askedOfOrigin()
	var out []Action
	for i := 0; i < s.n && free > 0 && s.source.open(now); i++ {
		if s.held.Has(i) || s.pending.Has(i) || !s.mine(i, now) {
			continue
		}
		r := s.start(nil, i, now)
		out = append(out, Fetch{ID: r.id, Index: i, Store: s.source.store})
		s.source.asked(now)
		free--
	}
	return out
}

func (s *State) askedOfOrigin() int { return len(s.order) - s.askedOfPeers() }

// mine says whether this member shall fetch chunk i from the origin now.
func (s *State) mine(i int, now time.Time) bool {
	if s.strategy != StrategySwarm && s.strategy != StrategyOrigin && s.cutOff(now) {
		return true
	}
	if !s.seen.Has(i) {
		return s.fetch.active[s.fetch.owner[i]].VM == s.self.VM
	}
	if s.strategy == StrategyOrigin {
		return true
	}
	return s.copies[i] == 0 && s.lost(i, now)
}

// cutOff says that a tree's or a chain's member gets nothing from its parent.
func (s *State) cutOff(now time.Time) bool {
	return now.Sub(s.gained) > s.deadline()
}

// lost says that chunk i, once seen, has had no holder among the connected
// peers for so long that this member, by its rank for the chunk, shall fetch it
// from the origin.
func (s *State) lost(i int, now time.Time) bool {
	wait := 2 * s.deadline()
	gone := now.Sub(s.absent[i])
	if gone < wait {
		return false
	}
	return gone >= wait*time.Duration(1+s.rank(i))
}

// rank is this member's place in the rendezvous order of chunk i.
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

// Feeding returns the members that are to fetch from the origin as this
// member sees it.
func (s *State) Feeding() []string {
	names := make([]string, 0, len(s.fetch.active))
	for _, m := range s.fetch.active {
		names = append(names, m.VM)
	}
	slices.Sort(names)
	return names
}
