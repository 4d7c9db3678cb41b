package routing

import (
	"fmt"
	"lynxgate.dev/lynxgate/internal/rendezvous"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/inventory"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

const (
	targetEntries = 380
	targetServers = 600
	targetZones   = 12
	subsetSize    = 20
	// minWatchers is the least number of entries that watch a backend server,
	// whatever zones the entries are in.
	minWatchers = 4
)

func targetServerSet(n int) []subsetMember {
	members := make([]subsetMember, n)
	for i := range members {
		vm := fmt.Sprintf("worker-%03d", i)
		members[i] = subsetMember{vm, fmt.Sprintf("z%02d", i%targetZones), rendezvous.Hash(vm)}
	}
	return members
}

// subsets computes the subset of every entry; the entries are spread over the
// first entryZones zones.
func subsets(servers []subsetMember, entryZones int) [][]subsetMember {
	all := make([][]subsetMember, targetEntries)
	for e := range all {
		zone := fmt.Sprintf("z%02d", e%entryZones)
		all[e] = subset(rendezvous.Hash(fmt.Sprintf("entry-%03d", e)), zone, servers, subsetSize, DefaultConfig().NearShare)
	}
	return all
}

func watchers(all [][]subsetMember) map[string]int {
	count := map[string]int{}
	for _, chosen := range all {
		for _, m := range chosen {
			count[m.vm]++
		}
	}
	return count
}

func TestSubsetAtTargetSize(t *testing.T) {
	servers := targetServerSet(targetServers)
	for _, entryZones := range []int{targetZones, 3} {
		all := subsets(servers, entryZones)
		count := watchers(all)
		least, most, near := targetEntries, 0, 0
		for _, s := range servers {
			least, most = min(least, count[s.vm]), max(most, count[s.vm])
		}
		for e, chosen := range all {
			for _, m := range chosen {
				if m.zone == fmt.Sprintf("z%02d", e%entryZones) {
					near++
				}
			}
		}
		share := float64(near) / float64(targetEntries*subsetSize)
		t.Logf("simulation: entries in %d of 12 zones: watchers per backend server %d to %d, near share %.2f", entryZones, least, most, share)
		require.GreaterOrEqual(t, least, minWatchers)
		require.GreaterOrEqual(t, share, DefaultConfig().NearShare)
	}
	// Churn: watches of all entries that change when one backend server leaves.
	changed := 0
	before, after := subsets(servers, targetZones), subsets(servers[1:], targetZones)
	for e := range before {
		changed += difference(before[e], after[e])
	}
	t.Logf("simulation: one backend server leaves: %d of %d watches change", changed, targetEntries*subsetSize)
	require.LessOrEqual(t, changed, watchers(before)[servers[0].vm])
}

func difference(a, b []subsetMember) int {
	has := map[string]bool{}
	for _, m := range a {
		has[m.vm] = true
	}
	n := 0
	for _, m := range b {
		if !has[m.vm] {
			n++
		}
	}
	return n
}

func TestSubsetChangesOnePlaceAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := targetServerSet(rapid.IntRange(1, 80).Draw(t, "servers"))
		size := rapid.IntRange(1, 30).Draw(t, "size")
		entry := rapid.Uint64().Draw(t, "entry")
		gone := rapid.IntRange(0, len(servers)-1).Draw(t, "gone")
		before := subset(entry, "z00", servers, size, 0.5)
		rest := append(append([]subsetMember(nil), servers[:gone]...), servers[gone+1:]...)
		after := subset(entry, "z00", rest, size, 0.5)
		require.Len(t, after, min(size, len(rest)))
		require.LessOrEqual(t, difference(before, after), 1)
		require.LessOrEqual(t, difference(after, before), 1)
	})
}

// Under random events, the started and stopped watches add up to the subset, and a
// backend server that is unwatched, silent or leaving is never picked.
func TestTableUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Entry: "e", Zone: "a1", SubsetSize: 4}
		table := NewTable(cfg)
		now := start
		watched := map[string]bool{}
		leaving := map[string]uint64{} // VM to the incarnation that is leaving
		heard := map[string]bool{}
		incarnation := map[string]uint64{}
		seq := uint64(0)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, 7).Draw(t, "vm")
			vm := name(i)
			m := member(i, inventory.MemberUp)
			m.Incarnation = max(1, incarnation[vm])
			seq++
			var event Event
			switch rapid.SampledFrom([]string{"up", "up", "down", "gone", "state", "state", "state", "leave", "restart", "lost", "tick", "refused", "silence", "done"}).Draw(t, "event") {
			case "up":
				event = MemberChanged{m}
			case "down":
				m.State = inventory.MemberDown
				event = MemberChanged{m}
			case "gone":
				event = MemberGone{vm}
				delete(leaving, vm)
			case "state":
				if leaving[vm] == m.Incarnation {
					continue // a leaving agent reports it until it restarts
				}
				event = AgentState{VM: vm, Incarnation: m.Incarnation, Seq: seq, Live: []Version{{"m", "v1"}}}
			case "leave":
				event = AgentState{VM: vm, Incarnation: m.Incarnation, Seq: seq, Leaving: true, Live: []Version{{"m", "v1"}}}
				if table.servers[vm] != nil {
					leaving[vm] = m.Incarnation
				}
			case "restart":
				incarnation[vm] = m.Incarnation + 1
				m.Incarnation++
				event = MemberChanged{m}
			case "lost":
				event = WatchLost{vm}
			case "refused":
				event = NotRun{VM: vm, Reason: NotRunLeaving}
				if table.servers[vm] != nil {
					leaving[vm] = m.Incarnation
				}
			case "silence":
				now = now.Add(table.cfg.HeartbeatTimeout)
				clear(heard)
				event = Tick{}
			case "done":
				event = Finished{VM: vm, Outcome: Failed}
			default:
				event = Tick{}
			}
			if st, ok := event.(AgentState); ok && table.servers[vm] != nil {
				heard[st.VM] = true
			}
			for _, a := range table.Step(now, event) {
				switch a := a.(type) {
				case StartWatch:
					require.False(t, watched[a.VM], "started twice")
					watched[a.VM] = true
				case StopWatch:
					require.True(t, watched[a.VM], "stopped twice")
					delete(watched, a.VM)
				}
			}
			require.LessOrEqual(t, len(watched), 4)
			for range 3 {
				c, reason := table.Pick(now, Request{Service: "chat", Model: "m"}, rng)
				if reason != Picked {
					continue
				}
				require.True(t, watched[c.VM], "picked without a watch")
				require.True(t, heard[c.VM], "picked though silent")
				require.NotEqual(t, max(1, incarnation[c.VM]), leaving[c.VM], "picked though leaving")
			}
		}
	})
}
