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

func TestQuietSwarmTakesOneCopyFromTheOrigin(t *testing.T) {
	for _, members := range []int{1, 2, 7, 40} {
		m := newModel(1, members, 64)
		m.start()
		require.True(t, m.run(time.Minute), "%d members", members)
		require.Equal(t, 64, sum(m.fetched), "%d members", members)
		require.Empty(t, m.problems)
	}
}

// From any schedule of failures that leaves one honest source reachable, every
// living honest member gets every chunk.
func TestEveryChunkArrivesWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 9).Draw(t, "members")
		m := newModel(rapid.Uint64().Draw(t, "seed"), members, rapid.IntRange(1, 24).Draw(t, "chunks"))
		m.limited = rapid.Float64Range(0, 0.7).Draw(t, "limited")
		for i, a := range m.members {
			a.conduct = conduct(rapid.IntRange(0, int(conducts)-1).Draw(t, fmt.Sprintf("conduct %d", i)))
			if rapid.Bool().Draw(t, fmt.Sprintf("dies %d", i)) {
				at := rapid.IntRange(0, 3000).Draw(t, fmt.Sprintf("death %d", i))
				m.after(time.Duration(at)*time.Millisecond, a.die)
			}
		}
		down := rapid.IntRange(0, 2000).Draw(t, "origin down")
		up := down + rapid.IntRange(0, 20000).Draw(t, "outage")
		m.originUp = func(now time.Time) bool {
			ms := int(now.Sub(time.Unix(0, 0)) / time.Millisecond)
			return ms < down || ms >= up
		}
		if rapid.Bool().Draw(t, "seeded") { // the origin never comes back, one peer has all
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

func TestDeadFeederIsReplaced(t *testing.T) {
	m := newModel(3, 12, 48)
	feeder := feederOf(m, 0)
	m.byVM[feeder].dead = true // announced, but never there
	m.start()
	require.True(t, m.run(time.Minute))
	require.LessOrEqual(t, sum(m.fetched), 48+6, "substitutes must not fetch everything again")
	require.Less(t, m.now.Sub(time.Unix(0, 0)), 10*time.Second)
}

// feederOf returns the member that is to fetch chunk i first.
func feederOf(m *model, i int) string {
	all, count := feeders(StrategySwarm, m.members[0].peer, m.peers(), 42)
	list := all[:min(count, len(all))]
	return list[rendezvousOrder(list, 42, i)[0]].VM
}

// A feeder that fetched chunks, told of them and then sends none must not keep
// the others from fetching them again.
func TestFeederThatStallsIsGoneAround(t *testing.T) {
	for _, c := range []conduct{stalled, corrupt, liar} {
		m := newModel(4, 30, 48)
		m.byVM[feederOf(m, 0)].conduct = c
		m.start()
		require.True(t, m.run(time.Minute), "conduct %d", c)
	}
}

// No two members may wait for each other to fetch a chunk, whatever each
// believes about who is late.
func TestSomebodyFetchesWhateverMembersBelieve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(5, 10, 4)
		m.start()
		now := m.now.Add(time.Second)
		for i := range 4 {
			wanting := 0
			for _, a := range m.members {
				for f := range a.state.feed.late {
					a.state.feed.late[f] = rapid.Bool().Draw(t, "late")
				}
				if a.state.inTurn(i, a.state.deadline(), now) {
					wanting++
				}
			}
			require.Positive(t, wanting)
		}
	})
}

// A member that did not run for longer than every timeout must not take others
// for late, nor give up its requests, while what they did meanwhile waits.
func TestOwnPauseIsNobodysDelay(t *testing.T) {
	const chunks = 64
	m := newModel(8, 3, chunks)
	s := m.members[0].state
	own := m.members[0].peer.VM
	events := []Event{MembersChanged{Members: m.peers()}}
	news := map[string]*PeerHaves{}
	for _, a := range m.members[1:] {
		events = append(events, PeerHaves{VM: a.peer.VM, Reset: true, Holds: NewBits(chunks), Seen: NewBits(chunks)})
		news[a.peer.VM] = &PeerHaves{VM: a.peer.VM}
	}
	fetches := fetchesOf(s.Step(m.now, events...))
	require.Len(t, fetches, 2)
	for i := range chunks {
		if feeder := feederOf(m, i); feeder != own && len(news[feeder].Added) < 2 {
			news[feeder].Added = append(news[feeder].Added, uint32(i))
		}
	}

	later := m.now.Add(2 * deadlineLimit * DefaultDeadlineBytes)
	events = []Event{Ended{ID: fetches[0].ID}, Progress{ID: fetches[1].ID}}
	for _, a := range m.members[1:] {
		require.NotEmpty(t, news[a.peer.VM].Added)
		events = append(events, *news[a.peer.VM])
	}
	actions := s.Step(later, append(events, Tick{})...)
	require.Equal(t, make([]bool, len(s.feed.feeders)), s.feed.late, "taken for late though their news was waiting")
	require.NotContains(t, actions, Stalled{}, "given up though its progress was waiting")
	for _, f := range fetchesOf(actions) {
		require.Equal(t, own, feederOf(m, f.Index), "another's share")
	}

	s.Step(later.Add(2*deadlineLimit*DefaultDeadlineBytes), Ended{ID: fetches[1].ID})
	require.Contains(t, s.feed.late, true, "nothing has come, and nothing was waiting")
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

func TestPeerIsSetAsideAfterStrikes(t *testing.T) {
	m := newModel(6, 2, 16)
	other := m.members[1]
	other.restart([]int{0, 1, 2, 3, 4, 5, 6, 7})
	other.conduct = corrupt
	m.originUp = func(time.Time) bool { return false }
	m.start()
	s := m.members[0].state
	asked := 0
	for range 400 {
		m.run(25 * time.Millisecond)
		if p := s.peer(other.peer.VM); m.now.Before(p.notAsked) {
			asked = len(m.members[0].open)
			break
		}
	}
	p := s.peer(other.peer.VM)
	require.True(t, m.now.Before(p.notAsked))
	require.Greater(t, p.notAsked.Sub(m.now), DefaultAsideFor/2)
	require.LessOrEqual(t, asked, DefaultPerPeer)
}

func TestDoubtedPeersGetSubstitutes(t *testing.T) {
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
	more := connected(s.Step(m.now.Add(3*time.Second), Tick{})) // none has been heard of
	require.Positive(t, more)
	require.LessOrEqual(t, more, first)
}

// An origin that takes far longer than the progress timeout before the first
// byte must be given the time in the end, or nothing would ever arrive.
func TestSlowOriginIsGivenTime(t *testing.T) {
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

func TestRefusalsForTheRateAreLearned(t *testing.T) {
	var o source
	now := time.Unix(0, 0)
	o.ended(Ended{Outcome: Limited, RetryAfter: 3 * time.Second}, time.Second, now)
	require.False(t, o.open(now.Add(2900*time.Millisecond)))
	require.True(t, o.open(now.Add(3*time.Second)))
	require.False(t, o.store, "a refusal for the rate is no failure")
	for range 5 {
		o.ended(Ended{Outcome: Limited}, time.Second, now)
	}
	slow := o.gap
	require.Greater(t, slow, 10*firstGap)
	for range 100 {
		o.ended(Ended{Outcome: Verified}, time.Second, now)
	}
	require.Less(t, o.gap, slow/10)
}

func TestStoreIsAskedWhenTheOriginFails(t *testing.T) {
	o := source{hasStore: true}
	now := time.Unix(0, 0)
	for range storeAfter {
		o.ended(Ended{Outcome: Failed}, time.Second, now)
	}
	require.True(t, o.store)
	require.True(t, o.open(now))
	require.True(t, o.open(now.Add(storeFor+time.Second)))
	require.False(t, o.store, "the origin is tried again")
}

func TestPeersAreFewMutualAndKnownToAll(t *testing.T) {
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
