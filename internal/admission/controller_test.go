package admission

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/outcome"
)

const testTimeout = 10 * time.Second

// testClock is a clock that tests advance.
type testClock struct{ ms atomic.Int64 }

func (c *testClock) now() time.Time { return at(int(c.ms.Load())) }

func TestControllerAnswersEachCallerOnce(t *testing.T) {
	clock := &testClock{}
	c := NewController(DefaultConfig, clock.now)
	c.SetCapacity("s", 4)
	var inside, most, started, refused atomic.Int64
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%3 == 0 {
				go cancel()
			}
			ticket, why := c.Acquire(ctx, Request{Organisation: fmt.Sprint(i % 5), Service: "s"})
			if ticket == nil {
				refused.Add(1)
				if why.Kind != outcome.NotRun {
					t.Errorf("refused as %s", why)
				}
				return
			}
			started.Add(1)
			if n := inside.Add(1); n > most.Load() {
				most.Store(n)
			}
			inside.Add(-1)
			ticket.Finish(outcome.Completed, 0)
			ticket.Finish(outcome.Completed, 0)
		})
	}
	answered := make(chan struct{})
	go func() { wg.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-time.After(testTimeout):
		t.Fatalf("callers were not answered: %+v", c.Status("s"))
	}
	require.EqualValues(t, 300, started.Load()+refused.Load())
	require.GreaterOrEqual(t, started.Load(), int64(200))
	require.LessOrEqual(t, most.Load(), int64(4))
	require.Equal(t, 0, c.Status("s").Running)
	require.Equal(t, 0, c.Status("s").Queued)
	require.Empty(t, c.waiting)
}

func TestControllerRefusesQueuedRequestThatWouldFinishLate(t *testing.T) {
	clock := &testClock{}
	c := NewController(DefaultConfig, clock.now)
	c.SetCapacity("s", 1)
	first, _ := c.Acquire(context.Background(), Request{Organisation: "a", Service: "s"})
	require.NotNil(t, first)
	done := make(chan outcome.Outcome)
	go func() {
		_, why := c.Acquire(context.Background(), Request{Organisation: "a", Service: "s", Deadline: at(9000)})
		done <- why
	}()
	queued := func() bool { return c.Status("s").Queued == 1 }
	require.Eventually(t, queued, testTimeout, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { c.Run(ctx); close(stopped) }()
	clock.ms.Store(8500)
	why := <-done
	cancel()
	<-stopped
	require.Equal(t, outcome.NotRun, why.Kind)
	require.Equal(t, outcome.Overloaded, why.Reason)
	require.Positive(t, why.RetryAfter)
	first.Finish(outcome.Completed, 0)
}

// Run blocks while nothing is queued. If it did not wake up again, a request
// queued later would wait past its deadline instead of being refused.
func TestControllerTicksAgainAfterItsQueueWasEmpty(t *testing.T) {
	clock := &testClock{}
	c := NewController(DefaultConfig, clock.now)
	c.SetCapacity("s", 1)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { c.Run(ctx); close(stopped) }()
	first, _ := c.Acquire(ctx, Request{Organisation: "a", Service: "s"})
	require.NotNil(t, first)
	for round := range int64(3) {
		now := 10_000 * round
		clock.ms.Store(now)
		done := make(chan outcome.Outcome, 1)
		go func() {
			_, why := c.Acquire(ctx, Request{Organisation: "a", Service: "s", Deadline: at(int(now) + 9000)})
			done <- why
		}()
		require.Eventually(t, func() bool { return c.Status("s").Queued == 1 }, testTimeout, time.Millisecond)
		clock.ms.Store(now + 8500)
		require.Eventually(t, func() bool { return len(done) == 1 }, testTimeout, time.Millisecond)
		require.Equal(t, outcome.Overloaded, (<-done).Reason)
	}
	cancel()
	<-stopped
	first.Finish(outcome.Completed, 0)
}

func TestControllerTakesLimitsFromTheInventory(t *testing.T) {
	c := NewController(DefaultConfig, (&testClock{}).now)
	c.SetCapacity("s", 9)
	c.SetOrganisations([]inventory.Organisation{{Name: "a", Concurrency: 1, Weight: 4}})
	ticket, _ := c.Acquire(context.Background(), Request{Organisation: "a", Service: "s"})
	require.NotNil(t, ticket)
	_, why := c.Acquire(context.Background(), Request{Organisation: "a", Service: "s"})
	require.Equal(t, outcome.ConcurrencyLimited, why.Reason)
	require.Equal(t, 4.0, c.machine.services["s"].classes[0].flows[flowKey{"a", noDeadline}].weight)
}

func TestBusyServiceKeepsItsQueue(t *testing.T) {
	c := NewController(DefaultConfig, (&testClock{}).now)
	c.SetFree("s", 1)
	ticket, _ := c.Acquire(context.Background(), Request{Organisation: "a", Service: "s"})
	require.NotNil(t, ticket)
	_, answer := c.arrive(Request{Organisation: "a", Service: "s"})
	c.SetFree("s", 0)
	require.Equal(t, Status{Slots: 1, Running: 1, Queued: 1, MeanService: time.Second}, c.Status("s"))
	c.SetFree("s", 1)
	require.True(t, (<-answer).Start)
	ticket.Finish(outcome.Completed, 0)
	c.SetFree("other", -1)
	require.Equal(t, 1, c.Status("other").Slots, "busy with the requests of other entries")
}

func TestContextEndsWhileQueued(t *testing.T) {
	c := NewController(DefaultConfig, (&testClock{}).now)
	c.SetCapacity("s", 1)
	_, _ = c.Acquire(context.Background(), Request{Organisation: "a", Service: "s"})
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_, why := c.Acquire(gone, Request{Organisation: "a", Service: "s"})
	require.Equal(t, outcome.Cancelled, why.Reason)
	late, cancel := context.WithDeadline(context.Background(), t0)
	defer cancel()
	_, why = c.Acquire(late, Request{Organisation: "a", Service: "s"})
	require.Equal(t, outcome.DeadlineExceeded, why.Reason)
	require.Equal(t, Status{Slots: 1, Running: 1, MeanService: time.Second}, c.Status("s"))
}

// A caller leaves at the moment its request is started: the slot must be released.
func TestAbandonAfterStart(t *testing.T) {
	c := NewController(DefaultConfig, (&testClock{}).now)
	c.SetCapacity("s", 1)
	id, answer := c.arrive(Request{Organisation: "a", Service: "s"})
	require.Equal(t, 1, c.Status("s").Running)
	c.abandon(id, answer)
	require.Equal(t, 0, c.Status("s").Running)
	queuedID, queuedAnswer := c.arrive(Request{Organisation: "a", Service: "s"})
	waitingID, waitingAnswer := c.arrive(Request{Organisation: "a", Service: "s"})
	c.abandon(waitingID, waitingAnswer)
	require.Equal(t, 0, c.Status("s").Queued)
	c.abandon(queuedID, queuedAnswer)
}

// Run ticks only while requests are queued: an idle entry must not wake up a
// hundred times a second.
func TestIdleControllerSleeps(t *testing.T) {
	c := NewController(DefaultConfig, (&testClock{}).now)
	c.SetCapacity("s", 1)
	ticket, _ := c.Acquire(context.Background(), Request{Organisation: "a", Service: "s"})
	require.Empty(t, c.queued, "a request that starts at once does not wake Run")
	_, answer := c.arrive(Request{Organisation: "a", Service: "s"})
	require.Len(t, c.queued, 1)
	require.True(t, c.Tick())
	ticket.Finish(outcome.Completed, 0)
	require.True(t, (<-answer).Start)
	require.False(t, c.Tick())
}
