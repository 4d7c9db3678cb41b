package swarm

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

func sum(counts map[int]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func TestOriginSendsEachChunkOnceWithoutFailures(t *testing.T) {
	for _, members := range []int{1, 2, 7, 40} {
		m := newModel(1, members, 64)
		m.start()
		require.True(t, m.run(time.Minute), "%d members", members)
		require.Equal(t, 64, sum(m.fetched), "%d members", members)
		require.Empty(t, m.problems)
	}
}

// After any schedule of failures that leaves one honest source reachable, every
// live honest member holds every chunk.
func TestAllMembersCompleteAfterFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 9).Draw(t, "members")
		m := newModel(rapid.Uint64().Draw(t, "seed"), members, rapid.IntRange(1, 24).Draw(t, "chunks"))
		m.limited = rapid.Float64Range(0, 0.7).Draw(t, "limited")
		for i, a := range m.members {
			a.behaviour = behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, fmt.Sprintf("conduct %d", i)))
			if rapid.Bool().Draw(t, fmt.Sprintf("dies %d", i)) {
				at := rapid.IntRange(0, 3000).Draw(t, fmt.Sprintf("death %d", i))
				m.after(time.Duration(at)*time.Millisecond, a.crash)
			}
		}
		down := rapid.IntRange(0, 2000).Draw(t, "origin down")
		up := down + rapid.IntRange(0, 20000).Draw(t, "outage")
		m.originUp = func(now time.Time) bool {
			ms := int(now.Sub(time.Unix(0, 0)) / time.Millisecond)
			return ms < down || ms >= up
		}
		if rapid.Bool().Draw(t, "seeded") { // the origin stays down, one peer holds all chunks
			m.originUp = func(now time.Time) bool { return now.Before(time.Unix(0, int64(down)*1e6)) }
			all := make([]int, m.chunks)
			for i := range all {
				all[i] = i
			}
			m.add(all)
		}
		m.start()
		if rapid.Bool().Draw(t, "joins") {
			m.after(time.Second, func() {
				m.add(nil)
				for _, a := range m.members {
					a.step(MembersChanged{Members: m.peers()})
				}
			})
		}
		require.True(t, m.run(30*time.Minute))
		require.Empty(t, m.problems)
	})
}

func TestDeadFetcherIsReplaced(t *testing.T) {
	m := newModel(3, 12, 48)
	fetcher := fetcherOf(m, 0)
	m.byVM[fetcher].dead = true // a listed member that never answers
	m.start()
	require.True(t, m.run(time.Minute))
	require.LessOrEqual(t, sum(m.fetched), 48+6, "substitutes must not fetch all chunks again")
	require.Less(t, m.now.Sub(time.Unix(0, 0)), 10*time.Second)
}

// fetcherOf returns the designated fetcher of chunk i.
func fetcherOf(m *model, i int) string {
	all, count := originFetchers(StrategySwarm, m.members[0].peer, m.peers(), 42)
	list := all[:min(count, len(all))]
	return list[rendezvousOrder(list, 42, i)[0]].VM
}

// Fails if a fetcher that reports its chunks but never sends them intact keeps
// the others from fetching these chunks again.
func TestChunksOfFaultyFetcherAreFetchedAgain(t *testing.T) {
	for _, c := range []behaviour{stalled, corrupt, liar} {
		m := newModel(4, 30, 48)
		m.byVM[fetcherOf(m, 0)].behaviour = c
		m.start()
		require.True(t, m.run(time.Minute), "behaviour %d", c)
	}
}

// Fails if members with different views of who is late can all wait for another
// member to fetch a chunk.
func TestSomeMemberFetchesWithAnyViewOfLateFetchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(5, 10, 4)
		m.start()
		now := m.now.Add(time.Second)
		for i := range 4 {
			fetching := 0
			for _, a := range m.members {
				for f := range a.state.assignment.late {
					a.state.assignment.late[f] = rapid.Bool().Draw(t, "late")
				}
				if a.state.inTurn(i, a.state.deadline(), now) {
					fetching++
				}
			}
			require.Positive(t, fetching)
		}
	})
}

// Fails if a member that did not run for longer than every timeout marks others
// as late, or cancels its requests, before it has applied the queued events.
func TestQueuedEventsAreAppliedBeforeTimeoutsAfterPause(t *testing.T) {
	const chunks = 64
	m := newModel(8, 3, chunks)
	s := m.members[0].state
	own := m.members[0].peer.VM
	events := []Event{MembersChanged{Members: m.peers()}}
	updates := map[string]*PeerHaves{}
	for _, a := range m.members[1:] {
		events = append(events, PeerHaves{VM: a.peer.VM, Reset: true, Holds: NewBits(chunks), Seen: NewBits(chunks)})
		updates[a.peer.VM] = &PeerHaves{VM: a.peer.VM}
	}
	fetches := fetchesOf(s.Step(m.now, events...))
	require.Len(t, fetches, 2)
	for i := range chunks {
		if fetcher := fetcherOf(m, i); fetcher != own && len(updates[fetcher].Added) < 2 {
			updates[fetcher].Added = append(updates[fetcher].Added, uint32(i))
		}
	}

	later := m.now.Add(2 * deadlineLimit * DefaultDeadlinePreferOriginBytes)
	events = []Event{Ended{ID: fetches[0].ID}, Progress{ID: fetches[1].ID}}
	for _, a := range m.members[1:] {
		require.NotEmpty(t, updates[a.peer.VM].Added)
		events = append(events, *updates[a.peer.VM])
	}
	actions := s.Step(later, append(events, Tick{})...)
	require.Equal(t, make([]bool, len(s.assignment.fetchers)), s.assignment.late, "marked late although their updates were queued")
	require.NotContains(t, actions, Stalled{}, "cancelled although its progress was queued")
	for _, f := range fetchesOf(actions) {
		require.Equal(t, own, fetcherOf(m, f.Index), "chunk of another fetcher")
	}

	s.Step(later.Add(2*deadlineLimit*DefaultDeadlinePreferOriginBytes), Ended{ID: fetches[1].ID})
	require.Contains(t, s.assignment.late, true, "no chunk was seen and no update was queued")
}

func fetchesOf(actions []Action) []Fetch {
	var list []Fetch
	for _, a := range actions {
		if f, ok := a.(Fetch); ok {
			list = append(list, f)
		}
	}
	return list
}

func TestPeerIsEjectedAfterStrikes(t *testing.T) {
	m := newModel(6, 2, 16)
	other := m.members[1]
	other.restart([]int{0, 1, 2, 3, 4, 5, 6, 7})
	other.behaviour = corrupt
	m.originUp = func(time.Time) bool { return false }
	m.start()
	s := m.members[0].state
	asked := 0
	for range 400 {
		m.run(25 * time.Millisecond)
		if p := s.peer(other.peer.VM); m.now.Before(p.notBefore) {
			asked = len(m.members[0].open)
			break
		}
	}
	p := s.peer(other.peer.VM)
	require.True(t, m.now.Before(p.notBefore))
	require.Greater(t, p.notBefore.Sub(m.now), DefaultAsideFor/2)
	require.LessOrEqual(t, asked, DefaultPerPeer)
}

func TestUnhealthyPeersGetSubstitutes(t *testing.T) {
	m := newModel(7, 40, 8)
	s := m.members[0].state
	connected := func(actions []Action) int {
		count := 0
		for _, a := range actions {
			if _, ok := a.(Connect); ok {
				count++
			}
		}
		return count
	}
	first := connected(s.Step(m.now, MembersChanged{Members: m.peers()}))
	require.Less(t, first, 39)
	require.Zero(t, connected(s.Step(m.now.Add(time.Second), Tick{})), "not at once")
	more := connected(s.Step(m.now.Add(3*time.Second), Tick{})) // no peer has connected
	require.Positive(t, more)
	require.LessOrEqual(t, more, first)
}

// Fails if the timeout does not grow enough for an origin that takes far longer
// than the progress timeout to send the first byte.
func TestTimeoutGrowsForSlowOrigin(t *testing.T) {
	for _, hasStore := range []bool{false, true} {
		m := newModel(5, 4, 16)
		m.originTime = 5 * DefaultProgressTimeout
		for _, a := range m.members {
			a.state.source.hasStore = hasStore
		}
		m.start()
		require.True(t, m.run(10*time.Minute), "store: %v", hasStore)
	}
}

func TestRequestGapFollowsRateLimit(t *testing.T) {
	var o source
	now := time.Unix(0, 0)
	o.requestEnded(Ended{Outcome: Limited, RetryAfter: 3 * time.Second}, time.Second, now)
	require.False(t, o.available(now.Add(2900*time.Millisecond)))
	require.True(t, o.available(now.Add(3*time.Second)))
	require.False(t, o.store, "a rate-limited answer is not a failure")
	for range 5 {
		o.requestEnded(Ended{Outcome: Limited}, time.Second, now)
	}
	slow := o.gap
	require.Greater(t, slow, 10*firstGap)
	for range 100 {
		o.requestEnded(Ended{Outcome: Verified}, time.Second, now)
	}
	require.Less(t, o.gap, slow/10)
}

func TestStoreIsUsedWhenTheOriginFails(t *testing.T) {
	o := source{hasStore: true}
	now := time.Unix(0, 0)
	for range switchAfter {
		o.requestEnded(Ended{Outcome: Failed}, time.Second, now)
	}
	require.True(t, o.store)
	require.True(t, o.available(now))
	require.True(t, o.available(now.Add(storeTime+time.Second)))
	require.False(t, o.store, "the origin is tried again")
}

func TestNeighboursAreBoundedMutualAndStable(t *testing.T) {
	var members []Peer
	for i := range 300 {
		members = append(members, Peer{VM: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%6)})
	}
	asks := map[string]int{}
	for _, self := range members {
		near, list := 0, firstPeers(self, members)
		require.LessOrEqual(t, len(list), 2*(zoneRings+globalRings))
		for _, p := range list {
			require.NotEqual(t, self.VM, p.VM)
			require.Contains(t, firstPeers(p, members), self, "peers must be mutual")
			asks[p.VM]++
			if p.Zone == self.Zone {
				near++
			}
		}
		require.GreaterOrEqual(t, near, zoneRings, "mostly of the same zone")
		require.Less(t, near, len(list), "but not only")
	}
	moved := 0
	for _, self := range members[1:] {
		before, after := firstPeers(self, members), firstPeers(self, members[1:])
		for _, p := range after {
			if !contains(before, p) {
				moved++
			}
		}
	}
	require.LessOrEqual(t, moved, 2*2*(zoneRings+globalRings), "a leave must move few links")
}

func firstPeers(self Peer, members []Peer) []Peer {
	return Neighbours(StrategySwarm, self, members, 7)
}

func contains(list []Peer, p Peer) bool {
	for _, q := range list {
		if q == p {
			return true
		}
	}
	return false
}
