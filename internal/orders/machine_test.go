package orders

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/engine"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/testseed"
)

func init() { testseed.Checks(5000) }

var (
	v1    = Ref{Model: "draft", Version: "v1"}
	v2    = Ref{Model: "draft", Version: "v2"}
	start = time.Unix(1_000_000, 0)
)

func assignment(fence uint64, active Ref) inventory.Assignment {
	a := inventory.Assignment{VM: "w1", Fence: fence}
	if active != (Ref{}) {
		a.Wants = []inventory.Want{{Model: active.Model, Version: active.Version, Phase: inventory.PhaseActivate}}
	}
	return a
}

func live(ref Ref) engine.State {
	return engine.State{State: engine.StateLive, Model: ref.Model, Version: ref.Version, Digest: digestOf(ref)}
}

func digestOf(ref Ref) string { return "digest of " + ref.Version }

func allStaged() StagedChanged {
	staged := map[Ref]Weights{}
	for _, ref := range []Ref{v1, v2} {
		staged[ref] = Weights{Path: "/staged/" + ref.Version, Digest: digestOf(ref)}
	}
	return StagedChanged{Staged: staged}
}

// settled returns a machine that serves v1 from a live engine.
func settled(t *testing.T) *Machine {
	t.Helper()
	m := New(Config{ChecksFencing: true}, &Journal{}, start)
	m.Step(start, allStaged())
	m.Step(start, Assigned{assignment(1, v1)})
	actions := m.Step(start, EngineReported{ID: m.queryID, State: live(v1)})
	require.Equal(t, []Action{Serve{v1}}, actions)
	return m
}

func TestNewVersionDrainsBeforeLoading(t *testing.T) {
	m := settled(t)
	require.Equal(t, []Action{StopServing{}}, m.Step(start, Assigned{assignment(2, v2)}))
	require.Equal(t, []Action{QueryEngine{ID: m.queryID}}, m.Step(start, Tick{}), "no order while requests are in progress")
	actions := m.Step(start, Drained{})
	require.Equal(t, WriteJournal{Journal{Fence: 2, Pending: true}}, actions[0], "journal before the order")
	require.Equal(t, uint64(2), actions[1].(Load).Order.Fence)
}

func TestServesOnlyWhatTheEngineConfirms(t *testing.T) {
	m := settled(t)
	m.Step(start, Assigned{assignment(2, v2)})
	m.Step(start, Drained{})
	require.Equal(t, []Action{QueryEngine{ID: m.queryID}}, m.Step(start, OrderDone{}))
	wrong := live(v2)
	wrong.Digest = "digest of something partial"
	actions := m.Step(start, EngineReported{ID: m.queryID, State: wrong})
	require.NotContains(t, actions, Action(Serve{v2}))
	require.Equal(t, Ref{}, m.Serving())
}

func TestOlderAssignmentIsIgnored(t *testing.T) {
	m := settled(t)
	m.Step(start, Assigned{assignment(5, v1)})
	require.Empty(t, m.Step(start, Assigned{assignment(4, v2)}))
	require.Equal(t, v1, m.Serving())
}

func TestStaleFenceStopsOrdersUntilANewerAssignment(t *testing.T) {
	m := settled(t)
	m.Step(start, Assigned{assignment(2, v2)})
	m.Step(start, Drained{})
	m.Step(start, OrderDone{Err: &engine.StaleFenceError{Ordered: 2, Current: 7}})
	later := start.Add(time.Hour)
	require.Empty(t, m.Step(later, EngineReported{ID: m.queryID, State: live(Ref{Model: "other", Version: "v9"})}))
	actions := m.Step(later, Assigned{assignment(8, v2)})
	require.Len(t, actions, 2)
}

func TestUnansweredEngineStopsServing(t *testing.T) {
	m := settled(t)
	lost := errors.New("connection refused")
	for range maxQueryFailures - 1 {
		m.Step(start, Tick{})
		require.NotContains(t, m.Step(start, EngineReported{ID: m.queryID, Err: lost}), Action(StopServing{}))
	}
	require.Contains(t, m.Step(start, EngineReported{ID: m.queryID, Err: lost}), Action(StopServing{}))
}

func TestUnfencedEngineIsLeftAloneAfterAnUncertainEnd(t *testing.T) {
	cfg := Config{OrderTimeout: time.Minute}
	for name, journal := range map[string]*Journal{"no journal": nil, "pending order": {Fence: 1, Pending: true}} {
		t.Run(name, func(t *testing.T) {
			m := New(cfg, journal, start)
			m.Step(start, allStaged())
			m.Step(start, Assigned{assignment(2, v1)})
			require.Empty(t, m.Step(start.Add(59*time.Second), EngineReported{ID: m.queryID, State: live(v1)}))
			require.Equal(t, Ref{}, m.Serving())
			end := start.Add(time.Minute)
			m.Step(end, Tick{})
			require.Equal(t, Ref{}, m.Serving(), "the engine's state from before does not count")
			m.Step(end, EngineReported{ID: m.queryID, State: live(v1)})
			require.Equal(t, v1, m.Serving())
		})
	}
}

// world is a fake engine with orders under way, and the machine of the agent
// beside it, which may be restarted with or without its journal.
type world struct {
	cfg     Config
	now     time.Time
	m       *Machine
	journal *Journal
	engine  engine.State
	// orders under way reach the engine late, yet within the order timeout.
	orders  []lateOrder
	fence   uint64
	current inventory.Assignment
	drained bool
	// reply is the answer to the current order, if one is due.
	reply *OrderDone
	// queries under way, with the engine's state at the time it answered.
	queries []EngineReported
}

type lateOrder struct {
	load   engine.LoadOrder
	by     time.Time
	answer bool
}

func (w *world) step(event Event) {
	for _, action := range w.m.Step(w.now, event) {
		switch act := action.(type) {
		case StopServing:
			w.drained = true
		case WriteJournal:
			j := act.Journal
			w.journal = &j
		case Load:
			w.orders = append(w.orders, lateOrder{load: act.Order, by: w.now.Add(w.cfg.OrderTimeout), answer: true})
		case Unload:
			order := engine.LoadOrder{Fence: act.Fence}
			w.orders = append(w.orders, lateOrder{load: order, by: w.now.Add(w.cfg.OrderTimeout), answer: true})
		case QueryEngine:
			w.queries = append(w.queries, EngineReported{ID: act.ID})
		}
	}
}

// deliver lets the engine carry out order i.
func (w *world) deliver(i int) {
	order := w.orders[i]
	w.orders = append(w.orders[:i:i], w.orders[i+1:]...)
	var err error
	switch {
	case w.cfg.ChecksFencing && order.load.Fence < w.engine.Fence:
		err = &engine.StaleFenceError{Ordered: order.load.Fence, Current: w.engine.Fence}
	case order.load.Model == "":
		w.engine = engine.State{State: engine.StateEmpty, Fence: order.load.Fence}
	default:
		w.engine = live(Ref{Model: order.load.Model, Version: order.load.Version})
		w.engine.Fence = order.load.Fence
	}
	if order.answer {
		w.reply = &OrderDone{Err: err}
	}
}

// loseAnswers makes the agent give up on its order, which stays under way.
func (w *world) loseAnswers() {
	for i := range w.orders {
		w.orders[i].answer = false
	}
}

func (w *world) restart() {
	w.loseAnswers()
	w.reply, w.queries, w.drained = nil, nil, false
	w.m = New(w.cfg, w.journal, w.now)
	w.step(allStaged())
	w.step(Assigned{w.current})
}

func TestAnswerToAQueryFromBeforeAnOrderIsIgnored(t *testing.T) {
	m := settled(t)
	m.Step(start, Tick{})
	old := EngineReported{ID: m.queryID, State: live(v1)}
	m.Step(start, Assigned{assignment(2, v2)})
	m.Step(start, Drained{})
	m.Step(start, OrderDone{})
	m.Step(start, Assigned{assignment(3, v1)})
	m.Step(start, old)
	require.Equal(t, Ref{}, m.Serving(), "the engine holds v2 by now")
}

func TestFirstAssignmentOfANewVMNeedsNoQuarantine(t *testing.T) {
	first := assignment(3, v1)
	first.First = true
	m := New(Config{}, nil, start)
	m.Step(start, allStaged())
	m.Step(start, Assigned{first})
	m.Step(start, EngineReported{ID: m.queryID, State: engine.State{State: engine.StateEmpty}})
	_, ordering := m.Loading()
	require.True(t, ordering)

	pending := New(Config{}, &Journal{Fence: 3, Pending: true}, start)
	pending.Step(start, allStaged())
	pending.Step(start, Assigned{first})
	pending.Step(start, Tick{})
	pending.Step(start, EngineReported{ID: pending.queryID, State: engine.State{State: engine.StateEmpty}})
	_, ordering = pending.Loading()
	require.False(t, ordering, "this VM's own journal knows of an order")
}

// TestQuarantineOutlastsTheFirstAssignment covers a new VM whose agent lost
// its scratch folder with an order under way: the next assignment waits.
func TestQuarantineOutlastsTheFirstAssignment(t *testing.T) {
	first := assignment(3, v1)
	first.First = true
	m := New(Config{OrderTimeout: time.Minute}, nil, start)
	m.Step(start, allStaged())
	m.Step(start, Assigned{first})
	m.Step(start, EngineReported{ID: m.queryID, State: engine.State{State: engine.StateEmpty}})
	m.Step(start, OrderDone{})
	m.Step(start, EngineReported{ID: m.queryID, State: live(v1)})
	require.Equal(t, v1, m.Serving())
	m.Step(start, Assigned{assignment(4, v2)})
	m.Step(start, Drained{})
	_, ordering := m.Loading()
	require.False(t, ordering, "the lost order for v1 may come after one for v2")
}

// TestNeverServesOtherWeightsThanTheEngineHolds runs generated schedules of
// late orders, lost answers, restarts and new assignments against engines of
// both kinds.
func TestNeverServesOtherWeightsThanTheEngineHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, engine: engine.State{State: engine.StateEmpty}}
		w.cfg = Config{ChecksFencing: rapid.Bool().Draw(t, "checks"), OrderTimeout: time.Minute}.WithDefaults()
		w.restart()
		check := func() {
			if serving := w.m.Serving(); serving != (Ref{}) {
				require.Equal(t, engine.StateLive, w.engine.State)
				require.Equal(t, serving, Ref{Model: w.engine.Model, Version: w.engine.Version})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"assign": func(t *rapid.T) {
				w.fence++
				w.current = assignment(w.fence, rapid.SampledFrom([]Ref{v1, v2, {}}).Draw(t, "ref"))
				w.current.First = w.fence == 1
				w.step(Assigned{w.current})
			},
			"drain": func(*rapid.T) {
				if w.drained {
					w.drained = false
					w.step(Drained{})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(w.orders) > 0 {
					w.deliver(rapid.IntRange(0, len(w.orders)-1).Draw(t, "order"))
				}
			},
			"reply": func(*rapid.T) {
				if w.reply != nil {
					reply := *w.reply
					w.reply = nil
					w.step(reply)
				}
			},
			"lose answer": func(*rapid.T) {
				if w.reply == nil {
					w.loseAnswers()
					w.step(OrderDone{Err: errors.New("timeout")})
				}
			},
			"engine answers query": func(*rapid.T) {
				for i := range w.queries {
					if w.queries[i].State.State == "" {
						w.queries[i].State = w.engine
					}
				}
			},
			"report": func(*rapid.T) {
				if len(w.queries) > 0 && w.queries[0].State.State != "" {
					report := w.queries[0]
					w.queries = w.queries[1:]
					w.step(report)
				}
			},
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 70).Draw(t, "seconds")) * time.Second)
				for i := len(w.orders) - 1; i >= 0; i-- {
					if !w.now.Before(w.orders[i].by) {
						w.deliver(i)
					}
				}
				w.step(Tick{})
			},
			"restart": func(*rapid.T) { w.restart() },
			"wipe and restart": func(*rapid.T) {
				w.journal = nil
				w.restart()
			},
		})
	})
}
