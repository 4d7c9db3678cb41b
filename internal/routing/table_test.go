package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/inventory"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// testTable is a table with a clock and a seeded random source.
type testTable struct {
	t     *testing.T
	table *Table
	now   time.Time
	rng   Rand
	seq   uint64
	next  int
}

// newTestTable has n members s0, s1, ... of "chat", watched and live on m@v1.
func newTestTable(t *testing.T, n int, cfg Config) *testTable {
	cfg.Entry, cfg.Zone = orDefault(cfg.Entry, "e"), orDefault(cfg.Zone, "a1")
	b := &testTable{t: t, table: NewTable(cfg), now: start, rng: rand.New(rand.NewPCG(1, 2))}
	b.step(ZonesChanged{[]inventory.Zone{{Name: "a1", Region: "a"}, {Name: "a2", Region: "a"}, {Name: "b1", Region: "b"}}})
	for i := range n {
		b.step(MemberChanged{member(i, inventory.MemberUp)})
		b.state(i, "v1")
	}
	return b
}

func name(i int) string { return fmt.Sprintf("s%d", i) }

func member(i int, state inventory.MemberState) inventory.Member {
	return inventory.Member{VM: name(i), Zone: "a1", Addr: "10.0.0.1:1", Service: "chat", Incarnation: 1, State: state}
}

func (b *testTable) step(e Event) []Action { return b.table.Step(b.now, e) }

func (b *testTable) state(i int, version string) { b.send(i, AgentState{ReportedLoad: -1}, version) }

func (b *testTable) send(i int, st AgentState, version string) {
	b.seq++
	st.VM, st.Seq = name(i), b.seq
	st.Incarnation = max(1, st.Incarnation)
	st.Concurrency = max(st.Concurrency, 4)
	if version != "" {
		st.Live = []Version{{"m", version}}
	}
	b.step(st)
}

func (b *testTable) heartbeats(version string, vms ...int) {
	for _, i := range vms {
		b.state(i, version)
	}
}

func (b *testTable) advance(d time.Duration) { b.now = b.now.Add(d) }

func (b *testTable) pick(req Request) (Choice, Reason) {
	req.Service = "chat"
	return b.table.Pick(b.now, req, b.rng)
}

// picks counts the backend servers picked for n requests.
func (b *testTable) picks(n int, req Request) map[string]int {
	counts := map[string]int{}
	for range n {
		c, reason := b.pick(req)
		require.Equal(b.t, Picked, reason)
		counts[c.VM]++
	}
	return counts
}

// serve dispatches a request to a backend server and finishes it with the given
// latency.
func (b *testTable) serve(vm string, took time.Duration, outcome Outcome) []Action {
	b.next++
	id := fmt.Sprint(b.next)
	b.step(Dispatched{VM: vm, ID: id})
	return b.step(Finished{VM: vm, ID: id, Outcome: outcome, FirstToken: took, Total: took})
}

func TestReasons(t *testing.T) {
	model := Request{Model: "m"}
	for _, tc := range []struct {
		name string
		n    int
		do   func(b *testTable)
		req  Request
		want Reason
	}{
		{"none announced", 0, func(*testTable) {}, model, ReasonNoneAnnounced},
		{"picked", 2, func(*testTable) {}, model, Picked},
		{"plain", 1, func(b *testTable) { b.state(0, "") }, Request{}, Picked},
		{"other version", 2, func(*testTable) {}, Request{Model: "m", Version: "v2"}, ReasonNoneLive},
		{"other model", 2, func(*testTable) {}, Request{Model: "x"}, ReasonNoneLive},
		{"agent reports leaving", 1, func(b *testTable) { b.send(0, AgentState{Leaving: true}, "v1") }, model, ReasonAllLeaving},
		{"control reports leaving", 1, func(b *testTable) { b.step(MemberChanged{member(0, inventory.MemberLeaving)}) }, model, ReasonAllLeaving},
		{"leaving after a refusal", 1, func(b *testTable) {
			b.step(Dispatched{VM: "s0", ID: "1"})
			b.step(NotRun{VM: "s0", ID: "1", Reason: NotRunLeaving})
			b.advance(time.Second)
			b.state(0, "v1") // sent before the refusal
		}, model, ReasonAllLeaving},
		{"silent", 1, func(b *testTable) { b.advance(5 * time.Second) }, model, ReasonNoneReachable},
		{"watch lost, not yet silent", 1, func(b *testTable) { b.advance(time.Second); b.step(WatchLost{"s0"}) }, model, Picked},
		{"refused for its version", 1, func(b *testTable) {
			b.step(NotRun{VM: "s0", Reason: NotRunVersion, Version: Version{"m", "v1"}})
		}, model, ReasonNoneLive},
		{"full", 1, func(b *testTable) {
			for i := range 4 {
				b.step(Dispatched{VM: "s0", ID: fmt.Sprint(i)})
			}
		}, model, ReasonFull},
		{"full by others", 1, func(b *testTable) { b.send(0, AgentState{InFlight: 6}, "v1") }, model, ReasonFull},
		{"others' count is late: not yet full", 1, func(b *testTable) { b.send(0, AgentState{InFlight: 5}, "v1") }, model, Picked},
		{"refused as full", 1, func(b *testTable) { b.step(NotRun{VM: "s0", Reason: NotRunFull}) }, model, ReasonFull},
		{"excluded", 1, func(*testTable) {}, Request{Model: "m", Excluded: []string{"s0"}}, ReasonAllExcluded},
		{"ejected as a last resort", 1, func(b *testTable) { b.table.servers["s0"].health.phase = phaseEjected }, model, Picked},
		{"ejected or excluded", 2, func(b *testTable) { b.table.servers["s0"].health.phase = phaseEjected },
			Request{Model: "m", Excluded: []string{"s1"}}, ReasonAllEjected},
		{"removed", 1, func(b *testTable) { b.step(MemberGone{"s0"}) }, model, ReasonNoneAnnounced},
		{"old state after a restart", 1, func(b *testTable) {
			m := member(0, inventory.MemberUp)
			m.Incarnation = 2
			b.step(MemberChanged{m})
			b.state(0, "v1")
		}, model, ReasonNoneReachable},
		{"down for control, reachable here", 1, func(b *testTable) { b.step(MemberChanged{member(0, inventory.MemberDown)}) }, model, Picked},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestTable(t, tc.n, Config{})
			tc.do(b)
			_, reason := b.pick(tc.req)
			require.Equal(t, tc.want, reason)
		})
	}
}

func TestOlderStatesAreIgnored(t *testing.T) {
	b := newTestTable(t, 1, Config{})
	b.step(AgentState{VM: "s0", Incarnation: 1, Seq: 10, Leaving: true})
	b.advance(6 * time.Second)
	b.step(AgentState{VM: "s0", Incarnation: 1, Seq: 9, Live: []Version{{"m", "v1"}}})
	require.True(t, b.table.servers["s0"].leaving)
}

func TestVersionDuringARoll(t *testing.T) {
	b := newTestTable(t, 3, Config{})
	b.step(RulesChanged{
		Rules:    []inventory.Rule{{Service: "chat", Version: "v2"}},
		Services: []inventory.Service{{Name: "chat", Model: "m"}},
	})
	c, _ := b.pick(Request{Model: "m"})
	require.Equal(t, "v1", c.Version, "the only live one")
	b.state(2, "v2")
	b.advance(time.Minute)
	b.heartbeats("v1", 0, 1)
	b.state(2, "v2")
	for range 50 {
		c, _ = b.pick(Request{Model: "m"})
		require.Equal(t, "v2", c.Version, "the rule's version")
	}
	b.send(2, AgentState{InFlight: 6}, "v2")
	c, _ = b.pick(Request{Model: "m"})
	require.Equal(t, "v1", c.Version, "the other one when it is full")
	_, reason := b.pick(Request{Model: "m", Version: "v2"})
	require.Equal(t, ReasonFull, reason, "pinned")
}

func TestServersWithLostWatchArePickedLast(t *testing.T) {
	b := newTestTable(t, 2, Config{})
	b.step(WatchLost{"s0"})
	require.Equal(t, map[string]int{"s1": 50}, b.picks(50, Request{Model: "m"}))
}

// A backend server that wrongly reports no load must not get all requests: the
// entry counts its own requests itself.
func TestZeroReportedLoadDoesNotAttractAllRequests(t *testing.T) {
	b := newTestTable(t, 4, Config{})
	for i := range 4 {
		st := AgentState{Concurrency: 50, ReportedLoad: 0.3}
		if i == 0 {
			st.ReportedLoad = 0
		}
		b.send(i, st, "v1")
	}
	counts := map[string]int{}
	for i := range 80 {
		c, reason := b.pick(Request{Model: "m"})
		require.Equal(t, Picked, reason)
		b.step(Dispatched{VM: c.VM, ID: fmt.Sprint(i)})
		counts[c.VM]++
	}
	require.Less(t, counts["s0"], 40, "%v", counts)
}

// A reported load that stays the same decays: the backend server may have stopped
// updating it.
func TestStaleLoadDecays(t *testing.T) {
	b := newTestTable(t, 2, Config{})
	for range 10 {
		b.send(0, AgentState{ReportedLoad: 0.74, Concurrency: 100}, "v1")
		b.send(1, AgentState{ReportedLoad: 0.1, Concurrency: 100}, "v1")
		b.advance(2 * time.Second)
	}
	counts := b.dispatchMany(40)
	require.Greater(t, counts["s0"], 10, "%v", counts)
}

// dispatchMany dispatches n requests that stay in flight.
func (b *testTable) dispatchMany(n int) map[string]int {
	counts := map[string]int{}
	for i := range n {
		c, reason := b.pick(Request{Model: "m"})
		require.Equal(b.t, Picked, reason)
		b.step(Dispatched{VM: c.VM, ID: fmt.Sprint("b", i)})
		counts[c.VM]++
	}
	return counts
}

func TestNewReplicaIsWarmed(t *testing.T) {
	b := newTestTable(t, 4, Config{})
	b.state(3, "")
	b.state(3, "v1") // becomes live after the first message
	cold := b.picks(400, Request{Model: "m"})["s3"]
	require.Less(t, cold, 40)
	b.advance(20 * time.Second)
	b.heartbeats("v1", 0, 1, 2, 3)
	require.Greater(t, b.picks(400, Request{Model: "m"})["s3"], 60)
}

func TestNearServersArePreferredUntilLoaded(t *testing.T) {
	b := newTestTable(t, 6, Config{})
	for i := range 3 {
		m := member(i, inventory.MemberUp)
		m.Zone = "b1"
		b.step(MemberChanged{m})
	}
	counts := b.picks(60, Request{Model: "m"})
	require.Zero(t, counts["s0"]+counts["s1"]+counts["s2"])
	for i := range 9 { // three of four slots on each near one
		b.step(Dispatched{VM: name(3 + i%3), ID: fmt.Sprint(i)})
	}
	counts = b.picks(200, Request{Model: "m"})
	require.Greater(t, counts["s0"]+counts["s1"]+counts["s2"], 100, "%v", counts)
}

func TestPrefixStaysUntilLoaded(t *testing.T) {
	b := newTestTable(t, 5, Config{})
	req := Request{Model: "m", Prefix: 77}
	c, _ := b.pick(req)
	require.Equal(t, map[string]int{c.VM: 20}, b.picks(20, req))
	for i := range 2 { // half its slots: above the bound of 1.5 times the mean
		b.step(Dispatched{VM: c.VM, ID: fmt.Sprint(i)})
	}
	other, _ := b.pick(req)
	require.NotEqual(t, c.VM, other.VM)
	// Prefixes keep their owner when another backend server is excluded.
	moved := 0
	for prefix := range uint64(200) {
		before, _ := b.pick(Request{Model: "m", Prefix: prefix + 1000})
		after, _ := b.pick(Request{Model: "m", Prefix: prefix + 1000, Excluded: []string{other.VM}})
		if before.VM != other.VM && before.VM != after.VM {
			moved++
		}
	}
	require.Zero(t, moved)
}

func TestCacheHintsOnlyReorderTheFirstTwo(t *testing.T) {
	b := newTestTable(t, 8, Config{CacheHints: 4})
	req := Request{Model: "m", Prefix: 77}
	owner, _ := b.pick(req)
	second, _ := b.pick(Request{Model: "m", Prefix: 77, Excluded: []string{owner.VM}})
	hint := func(vm string, events ...CacheEvent) {
		s := b.table.servers[vm]
		st := s.state
		st.Seq++
		st.CacheEvents = events
		b.step(st)
	}
	hint(second.VM, CacheEvent{PrefixHash: 77})
	require.Equal(t, map[string]int{second.VM: 9}, b.picks(9, req), "a hint moves it to the second")
	hint(second.VM, CacheEvent{PrefixHash: 77, Evicted: true})
	require.Equal(t, map[string]int{owner.VM: 9}, b.picks(9, req))
	for i := range uint64(20) {
		hint(second.VM, CacheEvent{PrefixHash: i})
	}
	require.Len(t, b.table.servers[second.VM].hints.seen, 4, "bounded")
}

func TestRoomSumsFreeSlots(t *testing.T) {
	b := newTestTable(t, 3, Config{})
	b.step(Dispatched{VM: "s0", ID: "1"})
	b.send(1, AgentState{Leaving: true}, "v1")
	capacity := b.table.View().Capacity(b.now, Request{Service: "chat", Model: "m"})
	require.Equal(t, Capacity{Servers: 2, Slots: 8, InFlight: 1, Free: 7}, capacity)
}

// If the entries together exceed the slots of a backend server, each gives up its
// part. A new count by the agent is visible at once in every view.
func TestRoomSharesExcessRequests(t *testing.T) {
	b := newTestTable(t, 1, Config{})
	b.advanceWithHeartbeats(1, 0)
	slots := b.table.View().Capacity(b.now, Request{Service: "chat", Model: "m"}).Slots
	view := b.table.View()
	for i := range slots / 2 {
		b.step(Dispatched{"s0", fmt.Sprint(i), false})
	}
	free := func() int { return view.Capacity(b.now, Request{Service: "chat", Model: "m"}).Free }
	require.Equal(t, slots/2, free())
	b.step(InFlightCounted{"s0", slots})
	require.Equal(t, 0, free())
	b.step(InFlightCounted{"s0", 2 * slots})
	require.Equal(t, -slots/4, free())
}
