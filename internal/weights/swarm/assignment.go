package swarm

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A fetcher is late after lateIntervals times the average interval
	// between two of its chunks.
	lateIntervals = 6
	// intervalWeight is the weight of a new interval in the moving average. A
	// new interval is capped at intervalCap times the average, so that one long
	// gap does not lengthen the deadline much.
	intervalWeight = 0.05
	intervalCap    = 4
	// The deadline is at most deadlineLimit times its minimum.
	deadlineLimit = 4
)

// assignment decides which member fetches a chunk from the origin. A few
// fetchers, the first of all members in hash order, share the chunks by
// rendezvous hashing: each chunk ranks the fetchers in its own order. A member
// fetches a chunk when all fetchers ranked before it are late, that is, have
// delivered nothing for the deadline. The fetcher ranked first never waits for
// another, whatever the others observe, so no two members can wait for each
// other.
type assignment struct {
	fetchers []Peer
	own      int // this member's index in fetchers, or its rank beyond them
	// order holds, per chunk, indexes of fetchers from first to last rank.
	order [][]int
	// delivered is, per fetcher, when a chunk it is responsible for was last
	// seen.
	delivered []time.Time
	// late marks fetchers that have delivered nothing for the deadline. It is
	// not cleared later, because their chunks may by then come from others.
	late []bool
	last time.Time // when a chunk was last seen for the first time
	// interval is the moving average of the time between two such chunks.
	interval time.Duration
}

// assignFetchers determines the fetchers among the present members.
func (s *State) assignFetchers(now time.Time) {
	all, count := originFetchers(s.strategy, s.self, s.members, s.version)
	f := &s.assignment
	old := f.fetchers
	f.fetchers = all[:min(count, len(all))]
	f.own = slices.IndexFunc(all, func(p Peer) bool { return p.VM == s.self.VM })
	if slices.Equal(old, f.fetchers) {
		return
	}
	f.late = make([]bool, len(f.fetchers))
	f.delivered = make([]time.Time, len(f.fetchers))
	for i := range f.delivered {
		f.delivered[i] = now
	}
	f.order = make([][]int, s.n)
	for i := range f.order {
		f.order[i] = rendezvousOrder(f.fetchers, s.version, i)
	}
}

// rendezvousOrder returns the indexes of members in descending order of their
// hashes for chunk i.
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

// record updates the observed interval and the deadlines after chunk i was seen
// for the first time.
func (f *assignment) record(i int, now time.Time) {
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
		f.delivered[m] = now
	}
}

// deadline is how long a fetcher may deliver nothing before it is late: the
// configured time, or longer if the origin is observed to be slow. It is capped
// because an outage looks like a slow origin too.
func (s *State) deadline() time.Duration {
	minimum := max(s.cfg.OriginDeadline, time.Duration(s.cfg.DeadlineChunks)*s.chunkTime)
	observed := lateIntervals * s.assignment.interval * time.Duration(len(s.assignment.fetchers))
	return min(max(minimum, observed), deadlineLimit*minimum)
}

// responsible returns the index of the first fetcher for chunk i that is not
// late, or -1.
func (f *assignment) responsible(i int) int {
	for _, m := range f.order[i] {
		if !f.late[m] {
			return m
		}
	}
	return -1
}

// markLate marks the fetchers that have delivered nothing for the deadline
// although they are responsible for chunks that have not been seen.
func (s *State) markLate(deadline time.Duration, now time.Time) {
	f := &s.assignment
	due := make([]bool, len(f.fetchers))
	for i := range f.order {
		if m := f.responsible(i); m >= 0 && !s.seen.Has(i) {
			due[m] = true
		}
	}
	for m := range due {
		if !due[m] || m == f.own {
			f.delivered[m] = now // its deadline starts when a chunk is due
			continue
		}
		if now.Sub(f.delivered[m]) > deadline {
			f.late[m] = true
		}
	}
}

// scheduleOrigin fetches the chunks assigned to this member from the origin.
func (s *State) scheduleOrigin(now time.Time) []Action {
	if len(s.assignment.fetchers) == 0 || !s.source.available(now) || !s.enoughReports(now) {
		return nil
	}
	free := max(1, s.cfg.OriginStreams/len(s.assignment.fetchers)) - s.originRequests()
	if free <= 0 {
		return nil
	}
	deadline := s.deadline()
	if s.seen.Count() < s.n {
		s.markLate(deadline, now)
	}
	var out []Action
	for free > 0 && s.source.available(now) {
		i := s.nextFromOrigin(deadline, now)
		if i < 0 {
			break
		}
		r := s.startRequest(nil, i, now)
		out = append(out, Fetch{ID: r.id, Index: i, Store: s.source.store})
		s.source.requested(now)
		free--
	}
	return out
}

// enoughReports reports whether enough peers have reported their chunks for
// this member to know what the origin no longer needs to send.
func (s *State) enoughReports(now time.Time) bool {
	if now.Sub(s.started) >= reportWait {
		return true
	}
	reported := 0
	for _, p := range s.peers {
		if p.connected {
			reported++
		}
	}
	return 2*reported >= len(s.peers)
}

// reportWait is how long a member waits at first for the reports of its peers.
const reportWait = 250 * time.Millisecond

// nextFromOrigin returns the next chunk to fetch from the origin, or -1. A
// member takes its own chunks in ascending order and those of a late fetcher in
// descending order: if that fetcher is only slow, the two meet half-way and
// fetch few chunks twice.
func (s *State) nextFromOrigin(deadline time.Duration, now time.Time) int {
	substitute := -1
	for i := range s.n {
		if s.held.Has(i) || s.pending.Has(i) || !s.fetchesNow(i, deadline, now) {
			continue
		}
		if s.strategy != StrategySwarm || s.assignment.order[i][0] == s.assignment.own {
			return i
		}
		substitute = i
	}
	return substitute
}

func (s *State) originRequests() int { return len(s.order) - s.peerRequests() }

// fetchesNow reports whether this member has to fetch chunk i from the origin
// now.
func (s *State) fetchesNow(i int, deadline time.Duration, now time.Time) bool {
	switch s.strategy {
	case StrategyOrigin:
		return true
	case StrategyChain, StrategyZoneTree:
		// The root fetches. Others do once they have gained no chunk for the
		// deadline.
		return s.assignment.own == 0 || now.Sub(s.gained) > deadline
	}
	if s.seen.Has(i) {
		return s.lost(i, deadline, now)
	}
	return s.inTurn(i, deadline, now)
}

// inTurn reports whether all fetchers ranked before this member for chunk i are
// late. Members that are not fetchers follow after all fetchers, each one
// deadline after the one before.
func (s *State) inTurn(i int, deadline time.Duration, now time.Time) bool {
	f := &s.assignment
	for _, m := range f.order[i] {
		if m == f.own {
			return true
		}
		if !f.late[m] {
			return false
		}
	}
	rank := min(f.own-len(f.fetchers)+1, lostRankLimit)
	return now.Sub(f.last) > deadline*time.Duration(1+rank)
}

// lost reports whether chunk i was seen, but has had no healthy holder among the
// connected peers for so long that this member has to fetch it from the origin.
// The time grows with this member's rank for the chunk.
func (s *State) lost(i int, deadline time.Duration, now time.Time) bool {
	since := s.absent[i]
	if s.copies[i] > 0 {
		for _, p := range s.peers {
			if !p.holds.Has(i) {
				continue
			}
			if p.unhealthy.IsZero() {
				return false
			}
			if p.unhealthy.After(since) {
				since = p.unhealthy
			}
		}
	}
	absent := now.Sub(since)
	if absent < lostDeadlines*deadline {
		return false
	}
	return absent >= deadline*time.Duration(lostDeadlines+s.rank(i))
}

// lostDeadlines is for how many deadlines a chunk that was seen may have no
// healthy holder among the connected peers.
const lostDeadlines = 2

// rank is this member's rank in the rendezvous order of chunk i over all
// members, at most lostRankLimit.
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
