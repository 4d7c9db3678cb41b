package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// The first byte of an answer that is not streamed arrives when the answer is
// complete: its time is no latency sample, and waiting for it is no early sign of
// a stall (see TestWholeAnswersStallLater). A failure counts.
func TestWholeAnswersAreNoLatencySamples(t *testing.T) {
	b := newTestTable(t, 4, Config{})
	b.serveAll(4, 6, nil)
	for _, id := range []string{"x", "y", "z"} {
		b.step(Dispatched{VM: "s1", ID: id, Unstreamed: true})
	}
	b.advanceWithHeartbeats(4, 3*time.Second)
	require.Empty(t, b.step(Tick{}))
	latency := b.table.servers["s1"].health.latency
	for _, id := range []string{"x", "y", "z"} {
		b.step(Finished{VM: "s1", ID: id, Outcome: Completed, FirstToken: 3 * time.Second, Total: 3 * time.Second})
	}
	require.InDelta(t, latency, b.table.servers["s1"].health.latency, 0)
	require.Empty(t, b.table.servers["s1"].waiting)
	for range 6 {
		b.step(Dispatched{VM: "s1", ID: "f", Unstreamed: true})
		b.step(Finished{VM: "s1", ID: "f", Outcome: Failed})
	}
	require.Equal(t, []Action{Ejected{"s1", EjectedFailing}}, b.step(Tick{}))
}

// A drained VM gets no requests, whatever its agent reports, also if it joins only
// after the drain.
func TestDrainedVMIsNotPicked(t *testing.T) {
	b := newTestTable(t, 2, Config{})
	b.step(VMsChanged{[]inventory.VM{{Name: "s0", Drained: true}, {Name: "s1"}, {Name: "s2", Drained: true}}})
	b.step(MemberChanged{member(2, inventory.MemberUp)})
	b.state(2, "v1")
	picks := b.picks(100, Request{Model: "m"})
	require.Equal(t, 100, picks["s1"])
	b.step(VMsChanged{[]inventory.VM{{Name: "s0"}, {Name: "s1", Drained: true}, {Name: "s2", Drained: true}}})
	require.Equal(t, 100, b.picks(100, Request{Model: "m"})["s0"])
}

// An ejected backend server that Pick uses as a last resort counts as capacity;
// otherwise admission would refuse every request for it.
func TestRoomOfTheLastResort(t *testing.T) {
	b := newTestTable(t, 2, Config{})
	b.serveAll(2, 6, map[int]bool{1: true})
	b.state(0, "")
	request := Request{Service: "chat", Model: "m"}
	choice, reason := b.table.Pick(b.now, request, b.rng)
	require.Equal(t, Picked, reason)
	require.True(t, choice.LastResort)
	capacity := b.table.View().Capacity(b.now, request)
	require.Equal(t, 1, capacity.Servers)
	require.Positive(t, capacity.Free)
}
