package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveAll serves requests at each of n backend servers and ticks; those in slow
// take ten times as long.
func (b *testTable) serveAll(n, requests int, slow map[int]bool) []Action {
	var actions []Action
	for range requests {
		for i := range n {
			took := 100 * time.Millisecond
			if slow[i] {
				took *= 10
			}
			actions = append(actions, b.serve(name(i), took, Completed)...)
		}
	}
	return append(actions, b.step(Tick{})...)
}

func (b *testTable) advanceWithHeartbeats(n int, d time.Duration) {
	b.advance(d)
	for i := range n {
		b.state(i, "v1")
	}
}

func TestSlowServerIsEjectedAndProbed(t *testing.T) {
	b := newTestTable(t, 4, Config{})
	require.Equal(t, []Action{Ejected{"s2", EjectedSlow}}, b.serveAll(4, 6, map[int]bool{2: true}))
	require.Zero(t, b.picks(100, Request{Model: "m"})["s2"])

	// After its ejection: one probe, and no other while that is in flight.
	b.advanceWithHeartbeats(4, 11*time.Second)
	b.step(Tick{})
	c, _ := b.pick(Request{Model: "m"})
	require.Equal(t, Choice{VM: "s2", Addr: "10.0.0.1:1", Incarnation: 1, Version: "v1", SelectedBy: SelectedByProbe}, c)
	b.step(Dispatched{VM: "s2", ID: "p"})
	require.Less(t, b.picks(100, Request{Model: "m"})["s2"], 10)

	// Still slow: ejected again, for twice as long.
	require.Equal(t, []Action{Ejected{"s2", EjectedSlow}},
		b.step(Finished{VM: "s2", ID: "p", FirstToken: time.Second}))
	b.advanceWithHeartbeats(4, 15*time.Second)
	b.step(Tick{})
	require.Zero(t, b.picks(100, Request{Model: "m"})["s2"])

	// Recovered: its share rises with each good answer up to 1.
	b.advanceWithHeartbeats(4, 10*time.Second)
	b.step(Tick{})
	var actions []Action
	shares := []float64{}
	for range 5 {
		shares = append(shares, b.table.servers["s2"].health.probeShare)
		actions = append(actions, b.serve("s2", 100*time.Millisecond, Completed)...)
	}
	require.Equal(t, []float64{0.05, 0.1, 0.2, 0.4, 0.8}, shares)
	require.Equal(t, []Action{Restored{"s2"}}, actions)
}

func TestFailingServerIsEjected(t *testing.T) {
	b := newTestTable(t, 4, Config{})
	for range 6 {
		for i := range 3 {
			b.serve(name(i), 100*time.Millisecond, Completed)
		}
		b.serve("s3", 0, Failed)
	}
	require.Equal(t, []Action{Ejected{"s3", EjectedFailing}}, b.step(Tick{}))
}

// A backend server that hangs finishes no request, so it gives no samples.
func TestStalledServerIsEjected(t *testing.T) {
	b := newTestTable(t, 4, Config{})
	b.serveAll(4, 6, nil)
	b.step(Dispatched{VM: "s1", ID: "x"})
	b.step(Dispatched{VM: "s1", ID: "y"})
	b.step(Dispatched{VM: "s0", ID: "z"})
	b.step(FirstToken{"s0", "z", 100 * time.Millisecond}) // a long answer that has begun
	b.advanceWithHeartbeats(4, 3*time.Second)
	require.Equal(t, []Action{Ejected{"s1", EjectedStalled}}, b.step(Tick{}))
}

// Answers that are not streamed may take long before their first byte.
func TestWholeAnswersStallLater(t *testing.T) {
	b := newTestTable(t, 4, Config{})
	b.serveAll(4, 6, nil)
	b.step(Dispatched{VM: "s1", ID: "x", Unstreamed: true})
	b.step(Dispatched{VM: "s1", ID: "y", Unstreamed: true})
	b.advanceWithHeartbeats(4, time.Minute) // a thousand tokens
	require.Empty(t, b.step(Tick{}))
	b.advanceWithHeartbeats(4, 2*time.Minute)
	require.Equal(t, []Action{Ejected{"s1", EjectedStalled}}, b.step(Tick{}))
}

// Cancelled requests are no samples, a service whose backend servers all slow
// down has no outlier, and only a bounded share is ejected.
func TestServersThatAreNotEjected(t *testing.T) {
	b := newTestTable(t, 4, Config{})
	for range 9 {
		b.serve("s0", 0, Cancelled)
	}
	require.Empty(t, b.serveAll(4, 6, nil))
	all := map[int]bool{0: true, 1: true, 2: true, 3: true}
	require.Empty(t, b.serveAll(4, 30, all))

	b = newTestTable(t, 10, Config{})
	actions := b.serveAll(10, 6, map[int]bool{0: true, 1: true, 2: true, 3: true})
	require.Len(t, actions, 3, "of ten")

	b = newTestTable(t, 1, Config{})
	require.Empty(t, b.serveAll(1, 9, map[int]bool{0: true}))
}

// The better of two backend servers is the reference for the other.
func TestOneOfTwoServersIsEjected(t *testing.T) {
	b := newTestTable(t, 2, Config{})
	require.Equal(t, []Action{Ejected{"s1", EjectedSlow}}, b.serveAll(2, 6, map[int]bool{1: true}))
	b.step(AgentState{VM: "s0", Incarnation: 1, Seq: 1000, Leaving: true})
	c, reason := b.pick(Request{Model: "m"})
	require.Equal(t, Picked, reason)
	require.Equal(t, "s1", c.VM)
	require.True(t, c.LastResort)
}

func TestRestartForgetsHealth(t *testing.T) {
	b := newTestTable(t, 4, Config{})
	b.serveAll(4, 6, map[int]bool{2: true})
	b.send(2, AgentState{Incarnation: 2}, "v1")
	require.Equal(t, phaseHealthy, b.table.servers["s2"].health.phase)
	require.Less(t, b.picks(400, Request{Model: "m"})["s2"], 40, "warms up again")
}

func TestRequestsNotRunLeaveNoState(t *testing.T) {
	b := newTestTable(t, 1, Config{})
	for i := range 100 {
		id := fmt.Sprint(i)
		b.step(Dispatched{VM: "s0", ID: id})
		b.step(NotRun{VM: "s0", ID: id, Reason: NotRunReason(i % 4)})
	}
	require.Empty(t, b.table.servers["s0"].waiting)
	require.Zero(t, b.table.servers["s0"].count.inFlight.Load())
}
