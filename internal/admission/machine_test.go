package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"lynxgate.dev/lynxgate/internal/outcome"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

var t0 = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// newTest returns a machine with slots for the service "s".
func newTest(slots int, limits map[string]Limits) *Machine {
	m := NewMachine(DefaultConfig)
	m.Step(t0, LimitsChanged{Limits: limits})
	m.Step(t0, CapacityChanged{Service: "s", Slots: slots})
	return m
}

func arrive(id uint64, org string) Arrive { return Arrive{ID: id, Organisation: org, Service: "s"} }

// verdicts formats the actions of a step, as "start 1" or "overloaded 2".
func verdicts(actions []Action) []string {
	out := []string{}
	for _, a := range actions {
		what := string(a.Reason)
		if a.Start {
			what = "start"
		}
		out = append(out, fmt.Sprint(what, " ", a.ID))
	}
	return out
}

func TestLimitsOfAnOrganisation(t *testing.T) {
	m := newTest(10, map[string]Limits{
		"rate": {RequestsPerSecond: 1}, "conc": {Concurrency: 1}, "tok": {TokensPerSecond: 10},
	})
	step := func(ms int, e Event, want ...string) []Action {
		t.Helper()
		actions := m.Step(at(ms), e)
		require.Equal(t, append([]string{}, want...), verdicts(actions))
		return actions
	}
	step(0, arrive(1, "rate"), "start 1")
	step(0, arrive(2, "rate"), "start 2")
	refused := step(0, arrive(3, "rate"), "rate_limited 3")
	require.InDelta(t, time.Second, refused[0].RetryAfter, float64(250*time.Millisecond))
	step(1000, arrive(4, "rate"), "start 4")

	step(0, arrive(5, "conc"), "start 5")
	step(0, arrive(6, "conc"), "concurrency_limited 6")
	step(0, Finish{ID: 5, Outcome: outcome.Completed})
	step(0, arrive(7, "conc"), "start 7")

	tok := func(id uint64, tokens float64) Arrive { a := arrive(id, "tok"); a.Tokens = tokens; return a }
	step(0, tok(8, 20), "start 8")
	step(0, tok(9, 1), "token_budget_exhausted 9")
	step(0, Finish{ID: 8, Outcome: outcome.NotRun, Tokens: 20})
	step(0, tok(10, 20), "start 10")
	step(0, Finish{ID: 10, Outcome: outcome.Completed, Tokens: 40})
	step(2000, tok(11, 0), "start 11")
	step(1900, tok(12, 1), "token_budget_exhausted 12")
	step(2000, tok(13, 1000), "token_budget_exhausted 13")
	step(4000, tok(14, 1000), "start 14")
	step(4000, arrive(15, "free"), "start 15")
}

func TestQueue(t *testing.T) {
	in := func(a Arrive, deadline int) Arrive { a.Deadline = at(deadline); return a }
	type step struct {
		ms    int
		event Event
		want  []string
	}
	tests := []struct {
		name  string
		slots int
		steps []step
	}{
		{"a finish starts the next", 1, []step{
			{0, arrive(1, "a"), []string{"start 1"}},
			{0, arrive(2, "a"), nil},
			{500, Finish{ID: 1}, []string{"start 2"}},
		}},
		{"no slots", 0, []step{{0, arrive(1, "a"), []string{"no_backend_server 1"}}}},
		{"capacity changes", 1, []step{
			{0, arrive(1, "a"), []string{"start 1"}},
			{0, arrive(2, "a"), nil},
			{0, arrive(3, "b"), nil},
			{0, CapacityChanged{Service: "s", Slots: 2}, []string{"start 3"}}, // b has used nothing
			{0, CapacityChanged{Service: "s", Slots: 1}, nil},
			{9, Finish{ID: 1}, nil},
			{9, CapacityChanged{Service: "s", Slots: 0}, []string{"no_backend_server 2"}},
		}},
		{"cancel", 1, []step{
			{0, arrive(1, "a"), []string{"start 1"}},
			{0, arrive(2, "a"), nil},
			{0, arrive(3, "a"), nil},
			{0, Cancel{ID: 2}, nil},
			{0, Cancel{ID: 1}, nil},
			{0, Cancel{ID: 99}, nil},
			{0, Finish{ID: 1}, []string{"start 3"}},
		}},
		{"deadline in the queue", 1, []step{
			{0, arrive(1, "a"), []string{"start 1"}},
			{0, in(arrive(2, "a"), 3500), nil},
			{0, in(arrive(3, "a"), 900), []string{"deadline_exceeded 3"}},
			{0, in(arrive(4, "a"), 2500), []string{"overloaded 4"}}, // would wait 2 of 1.5 s
			{2500, Tick{}, nil},
			{2501, Tick{}, []string{"overloaded 2"}},
		}},
		{"a late request is not started", 1, []step{
			{0, arrive(1, "a"), []string{"start 1"}},
			{0, in(arrive(2, "a"), 3500), nil},
			{2600, Finish{ID: 1}, []string{"overloaded 2"}},
		}},
		{"less capacity sheds the tail of the queue at once", 4, []step{
			{0, arrive(1, "a"), []string{"start 1"}},
			{0, arrive(2, "a"), []string{"start 2"}},
			{0, arrive(3, "a"), []string{"start 3"}},
			{0, arrive(4, "a"), []string{"start 4"}},
			{0, in(arrive(5, "a"), 2600), nil},
			{0, in(arrive(6, "a"), 2600), nil},
			{0, CapacityChanged{Service: "s", Slots: 1}, []string{"overloaded 6"}},
		}},
		{"one probe against the estimate", 2, []step{
			{0, in(arrive(1, "a"), 500), []string{"start 1"}},
			{0, in(arrive(2, "a"), 500), []string{"deadline_exceeded 2"}},
			{100, Finish{ID: 1, Outcome: outcome.Completed}, nil},
			{100, in(arrive(3, "a"), 500), []string{"start 3"}},
			{100, in(arrive(4, "a"), 500), []string{"start 4"}},
			{500, in(arrive(5, "a"), 500), []string{"deadline_exceeded 5"}},
		}},
		{"the next probe after the last", 2, []step{
			{0, in(arrive(1, "a"), 500), []string{"start 1"}},
			{100, Finish{ID: 1, Outcome: outcome.NotRun}, nil},
			{100, in(arrive(2, "a"), 600), []string{"start 2"}},
			{100, in(arrive(3, "a"), 600), []string{"deadline_exceeded 3"}},
		}},
		{"urgent first", 1, []step{
			{0, arrive(1, "a"), []string{"start 1"}},
			{0, Arrive{ID: 2, Organisation: "a", Service: "s", Priority: 99}, nil},
			{0, arrive(3, "a"), nil},
			{1, Finish{ID: 1}, []string{"start 3"}},
			{2, Finish{ID: 3}, []string{"start 2"}},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newTest(tt.slots, nil)
			for i, s := range tt.steps {
				got := verdicts(m.Step(at(s.ms), s.event))
				require.Equal(t, append([]string{}, s.want...), got, "step %d", i)
			}
		})
	}
}

func TestRetryAfterIsTheDrainTime(t *testing.T) {
	m := newTest(10, nil)
	var last Action
	advice := map[time.Duration]int{}
	for id := uint64(1); id <= 1000; id++ {
		if got := m.Step(t0, arrive(id, "a")); len(got) == 1 && !got[0].Start {
			last = got[0]
			advice[last.RetryAfter]++
		}
	}
	// With 10 slots, 300 requests of 1 s fill MaxWait; the next is advised to retry after that time.
	require.Equal(t, 300, m.Status("s").Queued)
	require.GreaterOrEqual(t, last.RetryAfter, 30*time.Second)
	require.LessOrEqual(t, last.RetryAfter, 38*time.Second)
	require.Greater(t, len(advice), 600, "callers refused at the same time do not retry at the same time")
}

func TestBrokenInvariantsPanic(t *testing.T) {
	m := newTest(1, nil)
	m.Step(t0, arrive(1, "a"))
	m.Step(t0, arrive(2, "a"))
	require.Panics(t, func() { m.Step(t0, arrive(1, "a")) })
	require.Panics(t, func() { m.Step(t0, Finish{ID: 2}) })
	require.Panics(t, func() { m.Step(t0, nil) })
}

// While urgent requests always wait, each waiting lower class gets one start in
// MaxPassed + the number of waiting classes.
func TestLowClassIsNotStarved(t *testing.T) {
	m := newTest(1, nil)
	m.Step(t0, arrive(1, "a"))
	id, running := uint64(1), uint64(1)
	class := map[uint64]int{}
	for _, p := range []int{0, 3, 7} {
		for range 300 {
			id++
			class[id] = p
			a := arrive(id, "a")
			a.Priority = p
			require.Empty(t, m.Step(t0, a))
			m.cfg.MaxWait = time.Hour
		}
	}
	starts := map[int]int{}
	for range 220 {
		got := m.Step(t0, Finish{ID: running})
		require.Len(t, got, 1)
		running = got[0].ID
		starts[class[running]]++
	}
	require.Equal(t, map[int]int{0: 180, 3: 20, 7: 20}, starts)
}

// TestFairnessBound checks the bound of start-time fair queueing: while two
// flows wait, their use by weight differs by at most one request of each.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(1, 8), 2, 6).Draw(t, "weights")
		costs := rapid.SliceOfN(rapid.Float64Range(1, 5), 50, 50).Draw(t, "costs")
		c := &class{}
		for i, w := range weights {
			f := c.flow(flowKey{organisation: fmt.Sprint(i)})
			f.weight = w
			for range len(costs) {
				c.push(&request{flow: f, index: -1}, t0)
			}
		}
		used := map[string]float64{}
		biggest := 5.0
		for _, cost := range costs {
			r := c.pop(cost, t0)
			used[r.flow.organisation] += cost / r.flow.weight
			for i, w := range weights {
				for j, v := range weights {
					diff := math.Abs(used[fmt.Sprint(i)] - used[fmt.Sprint(j)])
					if diff > biggest/w+biggest/v+1e-9 {
						t.Fatalf("flows %d and %d differ by %f", i, j, diff)
					}
				}
			}
		}
	})
}

func TestIdleFlowAccumulatesNoCredit(t *testing.T) {
	c := &class{}
	busy, idle := c.flow(flowKey{organisation: "busy"}), c.flow(flowKey{organisation: "idle"})
	for range 20 {
		c.push(&request{flow: busy, index: -1}, t0)
	}
	for range 10 {
		c.pop(1, t0)
	}
	for range 10 {
		c.push(&request{flow: idle, index: -1}, t0)
	}
	turns := 0
	for range 8 {
		if c.pop(1, t0).flow == idle {
			turns++
		}
	}
	require.Equal(t, 4, turns)
}

// An organisation whose requests take ten times as long gets the same slot time,
// so fewer of its requests start.
func TestLongRequestsAreCharged(t *testing.T) {
	m := newTest(1, nil)
	m.cfg.MaxWait = 1000 * time.Hour
	long := map[uint64]bool{}
	id := uint64(0)
	for range 400 {
		for _, org := range []string{"long", "short"} {
			id++
			long[id] = org == "long"
			m.Step(t0, arrive(id, org))
		}
	}
	used := map[bool]time.Duration{}
	now, running := t0, uint64(1)
	for range 200 {
		took := 100 * time.Millisecond
		if long[running] {
			took = time.Second
		}
		used[long[running]] += took
		now = now.Add(took)
		running = m.Step(now, Finish{ID: running, Outcome: outcome.Completed})[0].ID
	}
	require.InDelta(t, 1, used[true].Seconds()/used[false].Seconds(), 0.2)
}

// TestEveryRequestIsAnsweredOnce drives the machine with random events. It checks
// that no request is lost or answered twice, that slots are never exceeded nor
// left free while requests wait, and that all resources are released at the end.
func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig
		cfg.MaxQueued = 4
		m := NewMachine(cfg)
		m.Step(t0, LimitsChanged{Limits: map[string]Limits{
			"a": {Weight: 3}, "b": {Concurrency: 3}, "c": {RequestsPerSecond: 5, TokensPerSecond: 50}}})
		now, id, slots := t0, uint64(0), 0
		queued, running := map[uint64]bool{}, map[uint64]bool{}
		deadlines := map[uint64]time.Time{}
		apply := func(e Event) {
			for _, a := range m.Step(now, e) {
				if !queued[a.ID] {
					t.Fatalf("request %d answered twice or after it finished", a.ID)
				}
				delete(queued, a.ID)
				if a.Start {
					running[a.ID] = true
				} else if a.Reason == "" || a.RetryAfter == 0 && a.Reason != outcome.DeadlineExceeded {
					t.Fatalf("refusal without a reason or advice: %+v", a)
				}
			}
		}
		pick := func(t *rapid.T, set map[uint64]bool) uint64 {
			ids := []uint64{}
			for i := uint64(1); i <= id; i++ {
				if set[i] {
					ids = append(ids, i)
				}
			}
			if len(ids) == 0 {
				t.Skip("nothing to pick")
			}
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				id++
				a := arrive(id, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "org"))
				a.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				a.Tokens = rapid.Float64Range(0, 30).Draw(t, "tokens")
				if ms := rapid.IntRange(-1, 8000).Draw(t, "deadline"); ms >= 0 {
					a.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
				}
				deadlines[id] = a.Deadline
				queued[id] = true
				apply(a)
			},
			"finish": func(t *rapid.T) {
				done := pick(t, running)
				delete(running, done)
				apply(Finish{ID: done, Outcome: outcome.Kind(rapid.IntRange(0, 2).Draw(t, "kind")), Tokens: 20})
			},
			"cancel": func(t *rapid.T) {
				gone := pick(t, queued)
				delete(queued, gone)
				apply(Cancel{ID: gone})
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				apply(Tick{})
				for i := range queued {
					if d := deadlines[i]; !d.IsZero() && now.Add(m.Status("s").MeanService).After(d) {
						t.Fatalf("request %d is queued although it cannot finish in time", i)
					}
				}
			},
			"capacity": func(t *rapid.T) {
				slots = rapid.IntRange(0, 5).Draw(t, "slots")
				apply(CapacityChanged{Service: "s", Slots: slots})
			},
			"": func(t *rapid.T) {
				got := m.Status("s")
				if got.Queued != len(queued) || got.Running != len(running) || got.Queued > cfg.MaxQueued {
					t.Fatalf("status %+v, want %d queued and %d running", got, len(queued), len(running))
				}
				if len(queued) > 0 && len(running) < slots {
					t.Fatalf("%d requests wait beside a free slot", len(queued))
				}
			},
		})
		for i := range queued {
			apply(Cancel{ID: i})
		}
		clear(queued)
		for i := range running {
			delete(running, i)
			apply(Finish{ID: i})
		}
		require.Empty(t, m.requests)
		for name, o := range m.organisations {
			require.Zero(t, o.inFlight, name)
		}
		m.Step(now, LimitsChanged{})
		require.Empty(t, m.organisations)
	})
}

func BenchmarkStep(b *testing.B) {
	m := newTest(100, nil)
	m.cfg.MaxWait = time.Hour
	orgs := make([]string, 40)
	for i := range orgs {
		orgs[i] = fmt.Sprint("org-", i)
	}
	var running []uint64
	id := uint64(0)
	add := func(now time.Time) {
		id++
		a := arrive(id, orgs[id%40])
		a.Deadline = now.Add(time.Hour)
		for _, act := range m.Step(now, a) {
			if act.Start {
				running = append(running, act.ID)
			}
		}
	}
	for range 1000 {
		add(t0)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N { // one arrival and one finish
		now := t0.Add(time.Duration(i) * time.Millisecond)
		add(now)
		done := running[0]
		running = running[1:]
		for _, act := range m.Step(now, Finish{ID: done, Outcome: outcome.Completed}) {
			if act.Start {
				running = append(running, act.ID)
			}
		}
	}
}
