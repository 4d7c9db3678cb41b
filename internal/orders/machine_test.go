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

// servingV1 returns a machine that serves v1 from a live engine.
func servingV1(t *testing.T) *Machine {
	t.Helper()
	m := New(Config{ChecksFencing: true}, &Journal{}, start)
	m.Step(start, allStaged())
	m.Step(start, Assigned{assignment(1, v1)})
	actions := m.Step(start, EngineReported{ID: m.queryID, State: live(v1)})
	require.Equal(t, []Action{Serve{v1}}, actions)
	return m
}

func TestNewVersionDrainsBeforeLoading(t *testing.T) {
	m := servingV1(t)
	require.Equal(t, []Action{StopServing{}}, m.Step(start, Assigned{assignment(2, v2)}))
	require.Equal(t, []Action{QueryEngine{ID: m.queryID}}, m.Step(start, Tick{}), "no order while requests are in progress")
	actions := m.Step(start, Drained{})
	require.Equal(t, WriteJournal{Journal{Fence: 2, Pending: true}}, actions[0], "journal before the order")
	require.Equal(t, uint64(2), actions[1].(Load).Order.Fence)
}

func TestServesOnlyWhatTheEngineConfirms(t *testing.T) {
	m := servingV1(t)
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
	m := servingV1(t)
	m.Step(start, Assigned{assignment(5, v1)})
	require.Empty(t, m.Step(start, Assigned{assignment(4, v2)}))
	require.Equal(t, v1, m.Serving())
}

func TestStaleFenceStopsOrdersUntilANewerAssignment(t *testing.T) {
	m := servingV1(t)
	m.Step(start, Assigned{assignment(2, v2)})
	m.Step(start, Drained{})
	m.Step(start, OrderDone{Err: &engine.StaleFenceError{Ordered: 2, Current: 7}})
	later := start.Add(time.Hour)
	require.Empty(t, m.Step(later, EngineReported{ID: m.queryID, State: live(Ref{Model: "other", Version: "v9"})}))
	actions := m.Step(later, Assigned{assignment(8, v2)})
	require.Len(t, actions, 2)
}

func TestUnresponsiveEngineStopsServing(t *testing.T) {
	m := servingV1(t)
	lost := errors.New("connection refused")
	for range maxQueryFailures - 1 {
		m.Step(start, Tick{})
		require.NotContains(t, m.Step(start, EngineReported{ID: m.queryID, Err: lost}), Action(StopServing{}))
	}
	require.Contains(t, m.Step(start, EngineReported{ID: m.queryID, Err: lost}), Action(StopServing{}))
}

func TestUnfencedEngineWaitsOutAPossibleLateOrder(t *testing.T) {
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

// simulation is a fake engine, the orders in flight to it, and the machine of
// its agent, which may be restarted with or without its journal.
type simulation struct {
	cfg     Config
	now     time.Time
	m       *Machine
	journal *Journal
	engine  engine.State
	// orders in flight reach the engine late, but within the order timeout.
	orders  []orderInFlight
	fence   uint64
	current inventory.Assignment
	drained bool
	// reply is the answer to the current order, if one is due.
	reply *OrderDone
	// queries in flight, with the engine's state at the time it answered.
	queries []EngineReported
}

type orderInFlight struct {
	load   engine.LoadOrder
	by     time.Time
	answer bool
}

func (s *simulation) step(event Event) {
	for _, action := range s.m.Step(s.now, event) {
		switch act := action.(type) {
		case StopServing:
			s.drained = true
		case WriteJournal:
			j := act.Journal
			s.journal = &j
		case Load:
			s.orders = append(s.orders, orderInFlight{load: act.Order, by: s.now.Add(s.cfg.OrderTimeout), answer: true})
		case Unload:
			order := engine.LoadOrder{Fence: act.Fence}
			s.orders = append(s.orders, orderInFlight{load: order, by: s.now.Add(s.cfg.OrderTimeout), answer: true})
		case QueryEngine:
			s.queries = append(s.queries, EngineReported{ID: act.ID})
		}
	}
}

// deliver makes the engine carry out order i.
func (s *simulation) deliver(i int) {
	order := s.orders[i]
	s.orders = append(s.orders[:i:i], s.orders[i+1:]...)
	var err error
	switch {
	case s.cfg.ChecksFencing && order.load.Fence < s.engine.Fence:
		err = &engine.StaleFenceError{Ordered: order.load.Fence, Current: s.engine.Fence}
	case order.load.Model == "":
		s.engine = engine.State{State: engine.StateEmpty, Fence: order.load.Fence}
	default:
		s.engine = live(Ref{Model: order.load.Model, Version: order.load.Version})
		s.engine.Fence = order.load.Fence
	}
	if order.answer {
		s.reply = &OrderDone{Err: err}
	}
}

// loseAnswers makes the agent give up on its order, which stays in flight.
func (s *simulation) loseAnswers() {
	for i := range s.orders {
		s.orders[i].answer = false
	}
}

func (s *simulation) restart() {
	s.loseAnswers()
	s.reply, s.queries, s.drained = nil, nil, false
	s.m = New(s.cfg, s.journal, s.now)
	s.step(allStaged())
	s.step(Assigned{s.current})
}

func TestAnswerToAQueryFromBeforeAnOrderIsIgnored(t *testing.T) {
	m := servingV1(t)
	m.Step(start, Tick{})
	old := EngineReported{ID: m.queryID, State: live(v1)}
	m.Step(start, Assigned{assignment(2, v2)})
	m.Step(start, Drained{})
	m.Step(start, OrderDone{})
	m.Step(start, Assigned{assignment(3, v1)})
	m.Step(start, old)
	require.Equal(t, Ref{}, m.Serving(), "the engine holds v2 by now")
}

func TestFirstAssignmentOfANewVMNeedsNoWait(t *testing.T) {
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

// TestSecondAssignmentWaitsForAPossibleLateOrder covers a new VM whose agent lost its
// scratch directory while an order was in flight: the second assignment must
// wait until that order can no longer take effect.
func TestSecondAssignmentWaitsForAPossibleLateOrder(t *testing.T) {
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

// TestNeverServesOtherWeightsThanTheEngineHasLoaded runs generated schedules of
// late orders, lost answers, restarts and new assignments against engines of
// both kinds.
func TestNeverServesOtherWeightsThanTheEngineHasLoaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: start, engine: engine.State{State: engine.StateEmpty}}
		s.cfg = Config{ChecksFencing: rapid.Bool().Draw(t, "checks"), OrderTimeout: time.Minute}.WithDefaults()
		s.restart()
		check := func() {
			if serving := s.m.Serving(); serving != (Ref{}) {
				require.Equal(t, engine.StateLive, s.engine.State)
				require.Equal(t, serving, Ref{Model: s.engine.Model, Version: s.engine.Version})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"assign": func(t *rapid.T) {
				s.fence++
				s.current = assignment(s.fence, rapid.SampledFrom([]Ref{v1, v2, {}}).Draw(t, "ref"))
				s.current.First = s.fence == 1
				s.step(Assigned{s.current})
			},
			"drain": func(*rapid.T) {
				if s.drained {
					s.drained = false
					s.step(Drained{})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(s.orders) > 0 {
					s.deliver(rapid.IntRange(0, len(s.orders)-1).Draw(t, "order"))
				}
			},
			"reply": func(*rapid.T) {
				if s.reply != nil {
					reply := *s.reply
					s.reply = nil
					s.step(reply)
				}
			},
			"lose answer": func(*rapid.T) {
				if s.reply == nil {
					s.loseAnswers()
					s.step(OrderDone{Err: errors.New("timeout")})
				}
			},
			"engine answers query": func(*rapid.T) {
				for i := range s.queries {
					if s.queries[i].State.State == "" {
						s.queries[i].State = s.engine
					}
				}
			},
			"report": func(*rapid.T) {
				if len(s.queries) > 0 && s.queries[0].State.State != "" {
					report := s.queries[0]
					s.queries = s.queries[1:]
					s.step(report)
				}
			},
			"tick": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 70).Draw(t, "seconds")) * time.Second)
				for i := len(s.orders) - 1; i >= 0; i-- {
					if !s.now.Before(s.orders[i].by) {
						s.deliver(i)
					}
				}
				s.step(Tick{})
			},
			"restart": func(*rapid.T) { s.restart() },
			"wipe and restart": func(*rapid.T) {
				s.journal = nil
				s.restart()
			},
		})
	})
}
