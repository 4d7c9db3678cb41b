package client

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/clock/clocktest"
	"lynxgate.dev/lynxgate/internal/reservation"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
	"lynxgate.dev/lynxgate/internal/standstill"
)

const (
	ms = time.Millisecond
	// backendServer is the backend server beside the agent.
	backendServer = "10.0.0.1:8001"
	// longTimeout is that of calls whose time is not tested.
	longTimeout = 5 * time.Second
)

// fakeAgent serves reservations on loopback. Calls are held up while it is frozen.
type fakeAgent struct {
	addr string

	mu       sync.Mutex
	response *rpc.ReserveResponse
	reserved []*rpc.ReserveRequest
	released []*rpc.ReleaseRequest
	frozen   chan struct{}
}

func (a *fakeAgent) Reserve(ctx context.Context, req *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
	a.waitThawed()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserved = append(a.reserved, req)
	return a.response, nil
}

func (a *fakeAgent) Release(_ context.Context, req *rpc.ReleaseRequest) (*rpc.ReleaseResponse, error) {
	a.waitThawed()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.released = append(a.released, req)
	return &rpc.ReleaseResponse{}, nil
}

func (a *fakeAgent) waitThawed() {
	a.mu.Lock()
	frozen := a.frozen
	a.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// longFreeze ends a freeze that a call waits for, so that the test fails instead of hanging.
const longFreeze = 2 * longTimeout

// freeze holds up all calls until the returned function is called, at most for longFreeze.
func (a *fakeAgent) freeze(t testing.TB) (thaw func()) {
	frozen := make(chan struct{})
	a.mu.Lock()
	a.frozen = frozen
	a.mu.Unlock()
	var once sync.Once
	thaw = func() {
		once.Do(func() {
			a.mu.Lock()
			a.frozen = nil
			a.mu.Unlock()
			close(frozen)
		})
	}
	timer := time.AfterFunc(longFreeze, thaw)
	t.Cleanup(func() {
		timer.Stop()
		thaw()
	})
	return thaw
}

func (a *fakeAgent) decides(r *rpc.ReserveResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.response = r
}

func (a *fakeAgent) releases() []*rpc.ReleaseRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.released
}

// serve serves a mux on loopback until the returned function is called.
func serve(t testing.TB, mux *drpcmux.Mux) (addr string, stop func()) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rpcconn.Serve(ctx, lis, mux) // ends with ctx
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return lis.Addr().String(), stop
}

func newFakeAgent(t testing.TB) *fakeAgent {
	a := &fakeAgent{response: &rpc.ReserveResponse{Granted: true}}
	mux := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterReservations(mux, a))
	a.addr, _ = serve(t, mux)
	return a
}

// testClient is a Client whose only agent is at addr, with a simulated clock.
type testClient struct {
	*Client
	testing.TB
	vm       *clocktest.VM
	registry *prometheus.Registry
}

func newClient(t testing.TB, addr string) *testClient {
	c := &testClient{TB: t, vm: clocktest.Install(t), registry: prometheus.NewRegistry()}
	c.Client = New(Config{Entry: "e-1", AgentAddr: func(string) string { return addr }, Logger: zerolog.Nop(), Metrics: NewMetrics(c.registry)})
	t.Cleanup(func() { _ = c.pool.Close() })
	return c
}

func (c *testClient) ask(timeout time.Duration) (reservation.Decision, error) {
	return c.Ask(context.Background(), backendServer, 7, timeout, reservation.Request{ID: "a"})
}

// askConclusively repeats calls that say nothing of the agent, since this process was held up while they were under way. It returns
// the times around the last one.
func (c *testClient) askConclusively(timeout time.Duration) (before, after time.Time, err error) {
	c.Helper()
	for range 10 {
		before = clock.Now()
		_, err = c.ask(timeout)
		after = clock.Now()
		// The client's own time of the call is shorter than this one.
		if Conclusive(timeout, after.Sub(before)) || !c.available() {
			return before, after, err
		}
	}
	require.Fail(c, "this process was held up in each call")
	return before, after, err
}

func (c *testClient) available() bool { return c.Available(backendServer, clock.Now()) }

// fails has one call fail, and checks for how long the agent is not asked after that.
func (c *testClient) fails(timeout, wantBreak time.Duration) {
	c.Helper()
	before, after, err := c.askConclusively(timeout)
	require.Error(c, err)
	assert.False(c, c.Available(backendServer, before.Add(wantBreak)), "open for less than %v", wantBreak)
	assert.True(c, c.Available(backendServer, after.Add(wantBreak)), "open for more than %v", wantBreak)
	assert.True(c, c.Available("another", after))
}

// Guards against a field of a request or decision that is lost between entry and agent.
func TestDecisionReachesTheEntry(t *testing.T) {
	a := newFakeAgent(t)
	c := newClient(t, a.addr)
	us := time.Microsecond
	a.decides(&rpc.ReserveResponse{
		Granted: true, WaitUs: 1, FirstUs: 2, EndUs: 3, Running: 5, Waiting: 6, Reserved: 7, Pace: 8, ReportAgeUs: 9, Version: 10, Loading: true, Born: 11,
	})
	d, err := c.Ask(context.Background(), backendServer, 12, longTimeout, reservation.Request{
		ID: "a", Rank: 3, Weight: 0.5, Retry: true, Resumed: true, Prompt: 7, Answer: 8, Due: 9 * us, Budget: 10 * us, Gap: 11 * us, Left: 12 * us, Version: 13, AcceptLate: true,
	})
	require.NoError(t, err)
	load := reservation.Load{Running: 5, Waiting: 6, Reserved: 7, Pace: 8, Age: 9 * us, Version: 10, Loading: true, StartUnixMs: 11}
	assert.Equal(t, reservation.Decision{Granted: true, Wait: us, FirstEvent: 2 * us, End: 3 * us, Load: load}, d)
	got := a.reserved[0]
	assert.Equal(t, []string{"a", "e-1", backendServer}, []string{got.Id, got.Entry, got.Addr})
	assert.Equal(t, []int64{12, 9, 10, 11, 12}, []int64{got.Born, got.DueUs, got.BudgetUs, got.GapUs, got.LeftUs})
	assert.Equal(t, longTimeout.Microseconds(), got.TimeoutUs)
	assert.Equal(t, []uint32{3, 7, 8}, []uint32{got.Rank, got.Prompt, got.Answer})
	assert.Equal(t, 0.5, got.Weight)
	assert.Equal(t, uint64(13), got.Version)
	assert.True(t, got.Retry && got.Resumed && got.Anyway)

	a.decides(&rpc.ReserveResponse{Reason: "full", AgainUs: 4})
	d, err = c.ask(longTimeout)
	require.NoError(t, err, "a refusal is a decision")
	assert.Equal(t, reservation.Decision{Reason: reservation.ReasonFull, Again: 4 * us}, d)
	a.decides(&rpc.ReserveResponse{Reason: "of a later version"})
	d, err = c.ask(longTimeout)
	require.NoError(t, err)
	assert.Equal(t, reservation.ReasonUnknown, d.Reason)
	assert.True(t, c.available())
}

// Guards against callers that wait for a decision for too large a part of their objective.
func TestTimeoutFollowsTheObjective(t *testing.T) {
	for objective, want := range map[time.Duration]time.Duration{
		0: 25 * ms, 100 * ms: 15 * ms, 480 * ms: 20 * ms, 10 * time.Second: 25 * ms,
	} {
		assert.Equal(t, want, Timeout(objective))
	}
}

// Guards against a release that holds up its caller while the agent is frozen, or is not sent.
func TestReleaseDoesNotWaitForTheAgent(t *testing.T) {
	a := newFakeAgent(t)
	c := newClient(t, a.addr)
	thaw := a.freeze(t)
	began := time.Now()
	c.Release(backendServer, 7, "a")
	assert.Less(t, time.Since(began), longTimeout)
	thaw()
	require.Eventually(t, func() bool { return len(a.releases()) == 1 }, longTimeout, ms)
	got := a.releases()[0]
	assert.Equal(t, "a", got.Id)
	assert.Equal(t, backendServer, got.Addr)
	assert.Equal(t, int64(7), got.Born)
}

// Guards against callers that wait for a frozen agent longer than the timeout, or again and again.
func TestFrozenAgentIsNotAskedForATime(t *testing.T) { standstill.Run(t, testFrozenAgent) }

func testFrozenAgent(t testing.TB) {
	a := newFakeAgent(t)
	c := newClient(t, a.addr)
	_, err := c.ask(longTimeout)
	require.NoError(t, err)
	thaw := a.freeze(t)
	began := time.Now()
	_, err = c.ask(20 * ms)
	require.Error(t, err)
	assert.Less(t, time.Since(began), 150*ms, "20 ms and the stalls that standstill does not count")
	if c.available() {
		_, _, err = c.askConclusively(20 * ms)
		require.Error(t, err)
	}
	assert.False(t, c.available())
	for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		c.vm.Suspend(8 * time.Second)
		require.True(t, c.available(), "it is asked again")
		c.fails(20*ms, wait)
	}
	thaw()
	c.vm.Suspend(8 * time.Second)
	_, err = c.ask(longTimeout)
	require.NoError(t, err)
	assert.True(t, c.available(), "closed by an answer")
	a.freeze(t)
	c.fails(20*ms, minBreak)
}

// Guards against a short freeze that makes an agent unavailable for 4 s, because several calls were waiting for it.
func TestConcurrentCallsThatFailOpenTheBreakerOnce(t *testing.T) {
	a := newFakeAgent(t)
	c := newClient(t, a.addr)
	a.freeze(t)
	var group sync.WaitGroup
	before := clock.Now()
	for range 20 {
		group.Go(func() { _, _ = c.ask(20 * ms) })
	}
	group.Wait()
	assert.False(t, c.Available(backendServer, before.Add(minBreak)))
	assert.True(t, c.Available(backendServer, clock.Now().Add(minBreak)))
}

// Guards against entries that wait the whole timeout for an agent that was killed, or ask it for each request.
func TestKilledAgentFailsAtOnce(t *testing.T) {
	a := newFakeAgent(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := lis.Addr().String()
	require.NoError(t, lis.Close())
	c := newClient(t, closed)
	began := time.Now()
	c.fails(time.Minute, minBreak)
	assert.Less(t, time.Since(began), time.Minute/2, "it waited for the timeout")
	c.vm.Suspend(time.Second)
	c.fails(time.Minute, 2*minBreak)

	c.cfg.AgentAddr = func(string) string { return a.addr } // it was restarted
	c.vm.Suspend(2 * time.Second)
	_, err = c.ask(longTimeout)
	require.NoError(t, err)
	assert.True(t, c.available())
}

// Guards against calls that fail on the pooled connections of an agent that was restarted.
func TestRestartedAgentIsAskedOnNewConnections(t *testing.T) {
	a := newFakeAgent(t)
	mux := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterReservations(mux, a))
	first, stop := serve(t, mux)
	c := newClient(t, first)
	_, err := c.ask(longTimeout)
	require.NoError(t, err)
	stop()
	lis, err := net.Listen("tcp", first)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = rpcconn.Serve(ctx, lis, mux) }() // ends with ctx
	require.Eventually(t, func() bool {
		_, err := c.ask(longTimeout)
		return err == nil
	}, longTimeout, ms)
	assert.True(t, c.available())
}

// Guards against an agent of an earlier version that is asked twice a second.
func TestAgentWithoutTheServiceIsNotAskedForFourSeconds(t *testing.T) {
	addr, _ := serve(t, drpcmux.New())
	c := newClient(t, addr)
	c.fails(longTimeout, maxBreak)
}

// Guards against callers that leave, and so make the entry go without the agent.
func TestCallerThatLeavesIsNoFailureOfTheAgent(t *testing.T) {
	a := newFakeAgent(t)
	c := newClient(t, a.addr)
	a.freeze(t)
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(10*ms, leave)
	_, err := c.Ask(ctx, backendServer, 0, longTimeout, reservation.Request{ID: "a"})
	assert.ErrorIs(t, err, context.Canceled)
	assert.True(t, c.available())
}

// Guards against breakers of servers that have left, which would be kept for ever.
func TestAgentsOfServersThatLeftAreForgotten(t *testing.T) {
	addr, _ := serve(t, drpcmux.New())
	c := newClient(t, addr)
	c.fails(longTimeout, maxBreak)
	c.vm.Suspend(maxBreak + forgetAfter + time.Second)
	_, err := c.Ask(context.Background(), "10.0.0.2:80", 0, longTimeout, reservation.Request{ID: "b"})
	require.Error(t, err)
	assert.NotContains(t, c.breakers, backendServer)
	assert.Len(t, c.breakers, 1)
}

// Guards against a server that gets no requests because its agent was killed, or is of an earlier version, and against requests to
// a VM that stands still.
func TestOnlyAnAnsweringVMIsKnownToRun(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := lis.Addr().String()
	require.NoError(t, lis.Close())
	_, err = newClient(t, closed).ask(longTimeout)
	require.ErrorIs(t, err, ErrNoAgent, "refused")

	older, _ := serve(t, drpcmux.New())
	_, err = newClient(t, older).ask(longTimeout)
	require.ErrorIs(t, err, ErrNoAgent, "unknown call")

	for _, unread := range []bool{false, true} { // bytes that were not read make the kernel reset the connection
		killed, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			conn, err := killed.Accept()
			if err != nil {
				return
			}
			if !unread {
				_, _ = conn.Read(make([]byte, 4096))
			}
			time.Sleep(50 * ms)
			_ = conn.Close()
		}()
		_, err = newClient(t, killed.Addr().String()).ask(longTimeout)
		require.ErrorIs(t, err, ErrNoAgent, "killed during the call")
		require.NoError(t, killed.Close())
	}

	a := newFakeAgent(t)
	a.freeze(t)
	_, err = newClient(t, a.addr).ask(20 * ms)
	require.Error(t, err)
	assert.NotErrorIs(t, err, ErrNoAgent, "frozen")

	silent, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts, the process does not
	require.NoError(t, err)
	defer silent.Close()
	_, err = newClient(t, silent.Addr().String()).ask(20 * ms)
	require.Error(t, err)
	assert.NotErrorIs(t, err, ErrNoAgent, "frozen before it accepted the connection")
}

// Guards against an agent that is not asked for half a second because it had a few ms to answer, the rest of a search.
func TestCallWithoutTimeForAnAnswerOpensNoBreaker(t *testing.T) {
	a := newFakeAgent(t)
	c := newClient(t, a.addr)
	a.freeze(t)
	_, err := c.ask(reservation.AnswerTime - ms)
	require.Error(t, err)
	assert.True(t, c.available())
	c.fails(reservation.AnswerTime, minBreak)
}

// Guards against agents that count as silent after their entry was held up and read no answers.
func TestCallOfAnEntryThatWasHeldUpIsNotConclusive(t *testing.T) {
	assert.True(t, Conclusive(15*ms, 16*ms))
	assert.False(t, Conclusive(15*ms, 15*ms+heldUp))
	assert.False(t, Conclusive(reservation.AnswerTime-1, reservation.AnswerTime))
}
