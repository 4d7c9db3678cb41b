package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/clock/clocktest"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/reservation"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/staging"
	"lynxgate.dev/lynxgate/internal/standstill"
)

const (
	ms         = time.Millisecond
	engineAddr = "10.0.0.1:8001"
)

// agent is a Server beside a fake engine, with a simulated clock.
type agent struct {
	*Server
	testing.TB
	vm       *clocktest.VM
	registry *prometheus.Registry
	view     atomic.Pointer[follow.View]
	log      bytes.Buffer

	mu     sync.Mutex
	report staging.Report
	calls  int
	// blocked, if not nil, holds up reports until it is closed.
	blocked chan struct{}
}

// newAgent returns an agent whose engine has 4 slots: a usual prompt takes 5 ms, a pass 5 ms, a slot becomes free
// every 30 ms.
func newAgent(t testing.TB) *agent {
	a := &agent{TB: t, vm: clocktest.Install(t), registry: prometheus.NewRegistry()}
	a.declare(4)
	a.setReport(staging.Report{Born: 1})
	a.Server = New(Config{
		Service: "model", EngineAddr: engineAddr, Report: a.engineReport, View: a.view.Load,
		Logger: zerolog.New(&a.log).Level(zerolog.InfoLevel), Metrics: NewMetrics(a.registry),
	})
	return a
}

// declare puts a configuration in force in which the engine has this number of slots.
func (a *agent) declare(slots int) {
	engine := &fleet.Engine{Slots: slots, Stride: 1, Step: 5 * ms, ReadPerSecond: 20000, UsualPrompt: 100, UsualAnswer: 20, Models: []string{"m"}}
	a.view.Store(&follow.View{Table: fleet.NewTable(&fleet.Config{Services: []fleet.Service{{Name: "model", Engine: engine}}})})
}

func (a *agent) setReport(r staging.Report) {
	r.Models = []fleet.Loaded{{Model: "m", Version: 1}}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.report = r
}

// block holds up the engine's reports, whatever their context, until the returned function is called.
func (a *agent) block() (release func()) {
	blocked := make(chan struct{})
	a.mu.Lock()
	a.blocked = blocked
	a.mu.Unlock()
	var once sync.Once
	release = func() {
		once.Do(func() {
			a.mu.Lock()
			a.blocked = nil
			a.mu.Unlock()
			close(blocked)
		})
	}
	a.Cleanup(release)
	return release
}

func (a *agent) engineReport(context.Context) (staging.Report, error) {
	a.mu.Lock()
	a.calls++
	blocked := a.blocked
	a.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report, nil
}

// metric returns the first metric of this name.
func (a *agent) metric(name string) *dto.Metric {
	families, err := a.registry.Gather()
	require.NoError(a, err)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0]
		}
	}
	require.Fail(a, "no such metric", name)
	return nil
}

func (a *agent) reports() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

func request(id string) *rpc.ReserveRequest {
	return &rpc.ReserveRequest{
		Id: id, Addr: engineAddr, Born: 1, Weight: 1, Prompt: 100, Answer: 20,
		DueUs: (400 * ms).Microseconds(), BudgetUs: (20 * ms).Microseconds(), LeftUs: (2 * time.Second).Microseconds(),
	}
}

func (a *agent) reserve(req *rpc.ReserveRequest) *rpc.ReserveResponse {
	a.Helper()
	response, err := a.Reserve(context.Background(), req)
	require.NoError(a, err)
	return response
}

func (a *agent) open() int { return a.held() }

// nextReport lets the last report become too old to serve further decisions. The simulated clock does not notice
// suspensions up to 10 ms.
func (a *agent) nextReport() { a.vm.Suspend(reportReuse + 20*ms) }

// Guards against an engine that is asked for its report once for each request of an entry.
func TestConcurrentCallsShareOneReport(t *testing.T) {
	a := newAgent(t)
	release := a.block()
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() { a.reserve(request(fmt.Sprint(i))) })
	}
	group.Wait()
	assert.Equal(t, 1, a.reports())
	release()
	a.nextReport()
	require.Eventually(t, func() bool { return a.reserve(request("next")).Granted }, 5*time.Second, ms)
}

// Guards against decisions by a report of some requests ago.
func TestReportIsRequestedAgainOnceItIsOld(t *testing.T) {
	a := newAgent(t)
	require.True(t, a.reserve(request("a")).Granted)
	a.setReport(staging.Report{Born: 1, Running: 3, Waiting: 30})
	a.nextReport()
	d := a.reserve(request("b"))
	assert.Equal(t, "full", d.Reason)
	assert.Equal(t, uint32(30), d.Waiting)
	before := a.reports()
	for range 100 {
		a.reserve(request("b"))
	}
	assert.Less(t, a.reports()-before, 100, "a young report serves several decisions")
}

// Guards against an engine whose report is late making each decision of its agent late, and against a decision by a report of
// some requests ago.
func TestLateReportIsNotWaitedFor(t *testing.T) { standstill.Run(t, testLateReport) }

func testLateReport(t testing.TB) {
	a := newAgent(t)
	a.setReport(staging.Report{Born: 1, Running: 2})
	require.True(t, a.reserve(request("a")).Granted)
	a.block()
	a.vm.Suspend(500 * ms)
	began := time.Now()
	d := a.reserve(request("b"))
	assert.Less(t, time.Since(began), 150*ms, "waited for the report")
	assert.False(t, d.Granted)
	assert.Equal(t, "silent", d.Reason)
	a.vm.Suspend(510 * ms)
	d = a.reserve(request("c"))
	assert.False(t, d.Granted)
	assert.Equal(t, "silent", d.Reason)
}

// Guards against slots granted at an engine that stands still beside its agent, where requests would lie unread.
func TestEngineThatDoesNotAnswerGrantsNoSlots(t *testing.T) { standstill.Run(t, testSilentEngine) }

func testSilentEngine(t testing.TB) {
	a := newAgent(t)
	require.True(t, a.reserve(request("a")).Granted)
	release := a.block()
	a.nextReport()
	for i := range 3 {
		assert.Equal(t, "silent", a.reserve(request(fmt.Sprint(i))).Reason)
	}
	assert.Equal(t, 1, a.open())
	release()
	require.Eventually(t, func() bool { return a.reserve(request("c")).Granted }, 5*time.Second, ms)
}

// asksTwice asks for a slot as an entry does whose only agent this is: for 25 ms, and after silence once more for 50 ms.
func (a *agent) asksTwice(id string) (granted bool) {
	for _, timeout := range []time.Duration{25 * ms, 50 * ms} {
		req := request(id)
		req.TimeoutUs = timeout.Microseconds()
		asked := time.Now()
		d := a.reserve(req)
		assert.LessOrEqual(a, time.Since(asked), timeout-reservation.RoundTrip)
		if d.Reason != "silent" {
			return d.Granted
		}
	}
	return false
}

// Guards against an idle, sound engine that gets no requests since its reports take up to 40 ms, and against requests to it once it
// has fallen silent.
func TestEngineWithSlowReportsGetsRequestsUntilItFallsSilent(t *testing.T) {
	for _, took := range []time.Duration{0, 5 * ms, 12 * ms, 20 * ms, 30 * ms, 40 * ms} {
		t.Run(took.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAgent(t)
				a.cfg.Report = func(ctx context.Context) (staging.Report, error) {
					time.Sleep(took)
					return a.engineReport(ctx)
				}
				ask := func() (granted int) {
					for i := range 100 {
						id := fmt.Sprint(i)
						if a.asksTwice(id) {
							granted++
							_, err := a.Release(context.Background(), &rpc.ReleaseRequest{Id: id, Addr: engineAddr, Born: 1})
							require.NoError(t, err)
						}
						time.Sleep(7 * ms)
					}
					return granted
				}
				assert.Equal(t, 100, ask())
				release := a.block()
				assert.Zero(t, ask(), "silent")
				release()
				synctest.Wait()
				time.Sleep(took)
				assert.Equal(t, 100, ask(), "it answers again")
				time.Sleep(took) // a report that is still requested
			})
		})
	}
}

// Guards against slots granted on an old report at an engine that can't be asked, as one whose report failed after the agent has given up
// on it.
func TestReportThatFailedIsNoAnswerOfTheEngine(t *testing.T) {
	a := newAgent(t)
	require.True(t, a.reserve(request("a")).Granted)
	a.cfg.Report = func(context.Context) (staging.Report, error) { return staging.Report{}, errors.New("no answer") }
	a.nextReport()
	assert.Equal(t, "silent", a.reserve(request("b")).Reason)
	assert.Equal(t, 1, a.open())
	a.cfg.Report = a.engineReport
	assert.True(t, a.reserve(request("c")).Granted)
}

// Guards against a slot of one engine that is granted in place of another's, after an address or an id was used again.
func TestCallForAnotherEngineIsRefused(t *testing.T) {
	a := newAgent(t)
	require.True(t, a.reserve(request("a")).Granted)
	other := request("b")
	other.Addr = "10.0.0.2:8001"
	assert.Equal(t, "unknown", a.reserve(other).Reason)
	earlier := request("c")
	earlier.Born = 99
	assert.Equal(t, "unknown", a.reserve(earlier).Reason)
	assert.Equal(t, 1, a.open())
	notKnown := request("d")
	notKnown.Born = 0
	assert.True(t, a.reserve(notKnown).Granted, "entries may not know the incarnation yet")
}

// Guards against a late release for an engine's earlier incarnation that frees a slot of the present one.
func TestReleaseForAnotherIncarnationIsIgnored(t *testing.T) {
	a := newAgent(t)
	require.True(t, a.reserve(request("a")).Granted)
	for _, req := range []*rpc.ReleaseRequest{
		{Id: "a", Addr: engineAddr, Born: 99}, {Id: "a", Addr: "10.0.0.2:8001", Born: 1}, {Id: "not known", Addr: engineAddr, Born: 1},
	} {
		_, err := a.Release(context.Background(), req)
		require.NoError(t, err)
		assert.Equal(t, 1, a.open())
	}
	_, err := a.Release(context.Background(), &rpc.ReleaseRequest{Id: "a", Addr: engineAddr, Born: 1})
	require.NoError(t, err)
	assert.Zero(t, a.open())
}

// Guards against requests that are sent to an engine while its agent orders it to load.
func TestLoadingEngineRefusesAtOnce(t *testing.T) {
	a := newAgent(t)
	require.True(t, a.reserve(request("a")).Granted)
	a.SetLoading(true)
	d := a.reserve(request("b"))
	assert.Equal(t, "loading", d.Reason)
	assert.True(t, d.Loading)
	a.SetLoading(false)
	assert.True(t, a.reserve(request("b")).Granted)
}

// Guards against an agent that goes on by the cost model of an earlier configuration, or forgets its
// reservations with it.
func TestChangedCostModelIsUsedAtOnce(t *testing.T) {
	a := newAgent(t)
	a.setReport(staging.Report{Born: 1, Running: 3})
	require.True(t, a.reserve(request("a")).Granted)
	assert.Equal(t, "full", a.reserve(request("b")).Reason)
	a.declare(8)
	assert.True(t, a.reserve(request("b")).Granted)
	assert.Equal(t, 2, a.open())
	a.view.Store(&follow.View{})
	assert.True(t, a.reserve(request("c")).Granted, "without a configuration the last cost model counts")
}

// Guards against reservations that keep slots of a restarted engine, which has none of these requests.
func TestLaterIncarnationVoidsReservations(t *testing.T) {
	a := newAgent(t)
	for i := range 3 {
		a.reserve(request(fmt.Sprint(i)))
	}
	require.Equal(t, 3, a.open())
	a.setReport(staging.Report{Born: 2})
	a.nextReport()
	assert.Equal(t, "unknown", a.reserve(request("for the earlier incarnation")).Reason)
	assert.Zero(t, a.open())
	next := request("next")
	next.Born = 2
	d := a.reserve(next)
	assert.True(t, d.Granted)
	assert.Equal(t, uint32(1), d.Reserved, "its own")
	assert.Equal(t, int64(2), d.Born)
}

// Guards against an agent that counts on an empty engine after it was restarted.
func TestRestartedAgentCountsWhatTheEngineReports(t *testing.T) {
	a := newAgent(t)
	a.setReport(staging.Report{Born: 1, Running: 4, Waiting: 1})
	assert.Equal(t, "full", a.reserve(request("a")).Reason)
	a.setReport(staging.Report{Born: 1, Running: 3})
	a.nextReport()
	assert.True(t, a.reserve(request("a")).Granted)
}

// Guards against an agent without a configuration that decides, or fails.
func TestWithoutConfigurationAllIsRefused(t *testing.T) {
	a := newAgent(t)
	a.view.Store(&follow.View{})
	assert.Equal(t, "unknown", a.reserve(request("a")).Reason)
	_, err := a.Release(context.Background(), &rpc.ReleaseRequest{Id: "a", Addr: engineAddr})
	assert.NoError(t, err)
	a.SetLoading(true)
	a.declare(4)
	a.nextReport()
	assert.NotEqual(t, "unknown", a.reserve(request("a")).Reason)
}

// Guards against a gauge that shows reservations that have ended without a call, as those of a killed entry do.
func TestOpenReservationsAreCountedWithoutCalls(t *testing.T) {
	a := newAgent(t)
	gauge := func() float64 { return a.metric("lynxgate_reservations_open").GetGauge().GetValue() }
	for i := range 3 {
		require.True(t, a.reserve(request(fmt.Sprint(i))).Granted)
	}
	assert.Equal(t, 3.0, gauge())
	a.vm.Suspend(2*time.Second + 1100*ms) // past the deadline of the requests, and the ledger's margin
	assert.Zero(t, gauge())
}

// Guards against slots that stay reserved for questions that an agent reads after they were given up, as after a standstill.
func TestQuestionThatWasGivenUpReservesNothing(t *testing.T) {
	a := newAgent(t)
	require.True(t, a.reserve(request("a")).Granted) // the report is young
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := a.Reserve(ctx, request("b"))
	require.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, 1, a.open())
}

// Guards against reservations that end without their release and without a trace.
func TestDroppedReservationsAreCountedAndLogged(t *testing.T) {
	a := newAgent(t)
	asked := request("a")
	asked.Entry = "entry-1"
	require.True(t, a.reserve(asked).Granted)
	a.vm.Suspend(2*time.Second + 1100*ms) // past the deadline of the request, and the ledger's margin
	assert.Zero(t, a.open())
	assert.Equal(t, 1.0, a.metric("lynxgate_reservations_dropped_total").GetCounter().GetValue())
	assert.Contains(t, a.log.String(), `"cause":"deadline","dropped":1,"entries":{"entry-1":1}`)
}
