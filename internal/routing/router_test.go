package routing

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// newRouter returns a router with n backend servers of the given slots.
func newRouter(n, slots int) *Router {
	r := NewRouter(Config{Entry: "e", Zone: "a1"})
	for i := range n {
		r.Step(start, MemberChanged{member(i, inventory.MemberUp)})
		r.Step(start, AgentState{VM: name(i), Incarnation: 1, Seq: 1, Concurrency: slots, ReportedLoad: -1, Live: []Version{{"m", "v1"}}})
	}
	return r
}

// Concurrent callers acquire all slots and exceed them only by the last picks of
// Acquire; afterwards nothing is left in flight.
func TestRouterUnderConcurrency(t *testing.T) {
	r := newRouter(4, 8)
	var mu sync.Mutex
	taken := map[string]string{}
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 20 {
				id := fmt.Sprint(g, "-", i)
				c, reason := r.Acquire(start, id, Request{Service: "chat", Model: "m"})
				if reason != Picked {
					continue
				}
				mu.Lock()
				taken[id] = c.VM
				mu.Unlock()
				r.Step(start, Tick{})
			}
		})
	}
	wg.Wait()
	require.GreaterOrEqual(t, len(taken), 32)
	require.LessOrEqual(t, len(taken), 32+8)
	for id, vm := range taken {
		r.Step(start, Finished{VM: vm, ID: id, FirstToken: time.Millisecond})
	}
	for _, s := range r.table.servers {
		require.Zero(t, s.count.inFlight.Load())
		require.Empty(t, s.waiting)
	}
}

// Steps make no snapshot; the next reader makes one for all of them.
func TestOneSnapshotForManySteps(t *testing.T) {
	r := newRouter(2, 1)
	before := r.View()
	require.Same(t, before, r.View())
	r.Step(start, MemberGone{VM: name(0)})
	r.Step(start, Tick{})
	require.Same(t, before, r.latest.Load(), "no snapshot was made yet")
	after := r.View()
	require.Len(t, before.services["chat"], 2)
	require.Len(t, after.services["chat"], 1)
	require.Same(t, after, r.View())
}

// A snapshot made before a backend server left must not cause a dispatch to it.
func TestStaleSnapshotIsCheckedAtDispatch(t *testing.T) {
	for _, e := range []Event{
		AgentState{VM: "s0", Incarnation: 1, Seq: 2, Leaving: true},
		MemberChanged{member(0, inventory.MemberLeaving)},
		MemberGone{"s0"},
	} {
		r := newRouter(1, 8)
		old, _ := r.View().Pick(start, Request{Service: "chat", Model: "m"}, rand.New(rand.NewPCG(1, 2)))
		require.Equal(t, "s0", old.VM)
		r.Step(start, e)
		require.False(t, r.dispatch(start, "1", false, old, true))
	}
}

func BenchmarkPick(b *testing.B) {
	r := newRouter(20, 1000)
	rng := rand.New(rand.NewPCG(1, 2))
	v := r.View()
	for _, prefix := range []uint64{0, 7} {
		b.Run(fmt.Sprintf("prefix-%d", prefix), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.Pick(start, Request{Service: "chat", Model: "m", Prefix: prefix}, rng)
			}
		})
	}
}

func BenchmarkAcquireAndFinish(b *testing.B) {
	r := newRouter(20, 1000)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c, _ := r.Acquire(start, "id", Request{Service: "chat", Model: "m"})
			r.Step(start, Finished{VM: c.VM, ID: "id", FirstToken: time.Millisecond})
		}
	})
}

// BenchmarkHeartbeat measures a state message at the target size: 600 announced
// backend servers, 20 of them watched.
func BenchmarkHeartbeat(b *testing.B) {
	r := newRouter(600, 8)
	seq := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		r.Step(start, AgentState{VM: name(int(seq) % 600), Incarnation: 1, Seq: seq, Concurrency: 8, Live: []Version{{"m", "v1"}}})
	}
}
