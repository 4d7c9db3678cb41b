package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveAll gives each of n backend servers some requests; those in slow take
// ten times as long.
func (b *bed) serveAll(n, requests int, slow map[int]bool) []Action {
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

func (b *bed) beat(n int, d time.Duration) {
	b.wait(d)
	for i := range n {
		b.state(i, "v1")
	}
}

func TestSlowServerIsSetAsideAndProbed(t *testing.T) {
	b := newBed(t, 4, Config{})
	require.Equal(t, []Action{SetAside{"s2", AsideSlow}}, b.serveAll(4, 6, map[int]bool{2: true}))
	require.Zero(t, b.picks(100, Request{Model: "m"})["s2"])

	// Its time is over: one probe, and while that is open no other.
	b.beat(4, 11*time.Second)
	b.step(Tick{})
	c, _ := b.pick(Request{Model: "m"})
	require.Equal(t, Choice{VM: "s2", Addr: "10.0.0.1:1", Incarnation: 1, Version: "v1", Ground: GroundProbe}, c)
	b.step(Dispatched{VM: "s2", ID: "p"})
	require.Less(t, b.picks(100, Request{Model: "m"})["s2"], 10)

	// Still slow: aside again, for twice as long.
	require.Equal(t, []Action{SetAside{"s2", AsideSlow}},
		b.step(Finished{VM: "s2", ID: "p", FirstToken: time.Second}))
	b.beat(4, 15*time.Second)
	b.step(Tick{})
	require.Zero(t, b.picks(100, Request{Model: "m"})["s2"])

	// Well again: its share rises with each good answer until it is whole.
	b.beat(4, 10*time.Second)
	b.step(Tick{})
	var actions []Action
	shares := []float64{}
	for range 5 {
		shares = append(shares, b.table.servers["s2"].health.share)
		actions = append(actions, b.serve("s2", 100*time.Millisecond, Completed)...)
	}
	require.Equal(t, []float64{0.05, 0.1, 0.2, 0.4, 0.8}, shares)
	require.Equal(t, []Action{PutBack{"s2"}}, actions)
}

func TestFailingServerIsSetAside(t *testing.T) {
	b := newBed(t, 4, Config{})
	for range 6 {
		for i := range 3 {
			b.serve(name(i), 100*time.Millisecond, Completed)
		}
		b.serve("s3", 0, Failed)
	}
	require.Equal(t, []Action{SetAside{"s3", AsideFailing}}, b.step(Tick{}))
}

// A backend server that hangs ends no request, so there is no sample of it.
func TestStalledServerIsSetAside(t *testing.T) {
	b := newBed(t, 4, Config{})
	b.serveAll(4, 6, nil)
	b.step(Dispatched{VM: "s1", ID: "x"})
	b.step(Dispatched{VM: "s1", ID: "y"})
	b.step(Dispatched{VM: "s0", ID: "z"})
	b.step(FirstToken{"s0", "z", 100 * time.Millisecond}) // a long answer that has begun
	b.beat(4, 3*time.Second)
	require.Equal(t, []Action{SetAside{"s1", AsideStalled}}, b.step(Tick{}))
}

// Answers that come in one piece may take long without a sign of life.
func TestWholeAnswersAreGivenMoreTime(t *testing.T) {
	b := newBed(t, 4, Config{})
	b.serveAll(4, 6, nil)
	b.step(Dispatched{VM: "s1", ID: "x", Whole: true})
	b.step(Dispatched{VM: "s1", ID: "y", Whole: true})
	b.beat(4, time.Minute) // a thousand tokens
	require.Empty(t, b.step(Tick{}))
	b.beat(4, 2*time.Minute)
	require.Equal(t, []Action{SetAside{"s1", AsideStalled}}, b.step(Tick{}))
}

// Cancelled requests say nothing; a whole service that slows down has no
// outlier; and only a bounded share is set aside.
func TestWhoIsNotSetAside(t *testing.T) {
	b := newBed(t, 4, Config{})
	for range 9 {
		b.serve("s0", 0, Cancelled)
	}
	require.Empty(t, b.serveAll(4, 6, nil))
	all := map[int]bool{0: true, 1: true, 2: true, 3: true}
	require.Empty(t, b.serveAll(4, 30, all))

	b = newBed(t, 10, Config{})
	actions := b.serveAll(10, 6, map[int]bool{0: true, 1: true, 2: true, 3: true})
	require.Len(t, actions, 3, "of ten")

	b = newBed(t, 1, Config{})
	require.Empty(t, b.serveAll(1, 9, map[int]bool{0: true}))
}

// The better of two is the measure for the other.
func TestOneOfTwoIsSetAside(t *testing.T) {
	b := newBed(t, 2, Config{})
	require.Equal(t, []Action{SetAside{"s1", AsideSlow}}, b.serveAll(2, 6, map[int]bool{1: true}))
	b.step(AgentState{VM: "s0", Incarnation: 1, Seq: 1000, Leaving: true})
	c, reason := b.pick(Request{Model: "m"})
	require.Equal(t, Picked, reason)
	require.Equal(t, "s1", c.VM)
	require.True(t, c.LastResort)
}

func TestRestartForgetsHealth(t *testing.T) {
	b := newBed(t, 4, Config{})
	b.serveAll(4, 6, map[int]bool{2: true})
	b.send(2, AgentState{Incarnation: 2}, "v1")
	require.Equal(t, phaseHealthy, b.table.servers["s2"].health.phase)
	require.Less(t, b.picks(400, Request{Model: "m"})["s2"], 40, "warmed, not flooded")
}

func TestWaitingIsBounded(t *testing.T) {
	b := newBed(t, 1, Config{})
	for i := range 100 {
		id := fmt.Sprint(i)
		b.step(Dispatched{VM: "s0", ID: id})
		b.step(NotRun{VM: "s0", ID: id, Reason: NotRunReason(i % 4)})
	}
	require.Empty(t, b.table.servers["s0"].waiting)
	require.Zero(t, b.table.servers["s0"].count.inFlight.Load())
}
