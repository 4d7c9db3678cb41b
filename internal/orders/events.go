package orders

import (
	"maps"
	"time"

	"lynxgate.dev/lynxgate/internal/engine"
	"lynxgate.dev/lynxgate/internal/inventory"
)

// Event is something that happened to or around the engine.
type Event interface {
	apply(m *Machine, now time.Time) []Action
}

// Assigned brings the VM's assignment. One with a lower fencing number than
// the one followed is ignored.
type Assigned struct{ Assignment inventory.Assignment }

func (e Assigned) apply(m *Machine, _ time.Time) []Action {
	if e.Assignment.Fence < m.fence {
		return nil
	}
	m.fence = e.Assignment.Fence
	m.target = targetOf(e.Assignment)
	m.first = e.Assignment.First
	return nil
}

// StagedChanged lists all weights staged and verified on this VM.
type StagedChanged struct{ Staged map[Ref]Weights }

func (e StagedChanged) apply(m *Machine, _ time.Time) []Action {
	m.staged = maps.Clone(e.Staged)
	return nil
}

// EngineReported brings the engine's answer to QueryEngine.
type EngineReported struct {
	// ID of the query answered.
	ID    uint64
	State engine.State
	Err   error
}

func (e EngineReported) apply(m *Machine, now time.Time) []Action {
	if e.ID != m.queryID {
		return nil
	}
	m.querying = false
	if m.quarantined(m.queryStarted) {
		return nil
	}
	if e.Err != nil || e.State.State == engine.StateLoading {
		return e.retryQuery(m, now)
	}
	m.queryFailures = 0
	m.engineKnown = true
	m.engine = e.State
	if m.phase == phaseConfirming {
		m.phase = phaseIdle
		m.uncertain = m.uncertain && e.State.Fence != m.fence
		return m.settleJournal()
	}
	lost := m.serving != (Ref{}) && !m.engineHolds(m.serving)
	if lost {
		return m.stopServing()
	}
	return nil
}

// retryQuery keeps the state unknown; a later Tick asks again. An engine that
// is loading serves nothing, nor does one that failed to answer repeatedly.
func (e EngineReported) retryQuery(m *Machine, _ time.Time) []Action {
	m.engineKnown = false
	if e.Err == nil {
		m.queryFailures = 0
		return m.stopServing()
	}
	m.queryFailures++
	if m.queryFailures < maxQueryFailures {
		return nil
	}
	return m.stopServing()
}

// Drained says that no request is in progress after StopServing.
type Drained struct{}

func (Drained) apply(m *Machine, _ time.Time) []Action {
	if m.phase == phaseDraining {
		m.phase = phaseIdle
	}
	return nil
}

// OrderDone brings the end of a Load or Unload.
type OrderDone struct{ Err error }

func (e OrderDone) apply(m *Machine, now time.Time) []Action {
	if m.phase != phaseOrdering {
		return nil
	}
	if e.Err != nil {
		return m.orderFailed(now, e.Err)
	}
	m.phase = phaseConfirming
	return m.query(now)
}

// Tick lets time pass and has the engine asked for its state, except while
// an order is in progress.
type Tick struct{}

func (Tick) apply(m *Machine, now time.Time) []Action {
	if m.phase == phaseOrdering {
		return nil
	}
	return m.query(now)
}

// Leave says that the VM is leaving: no further orders, no new work.
type Leave struct{}

func (Leave) apply(m *Machine, _ time.Time) []Action {
	m.leaving = true
	return m.stopServing()
}

// Action is something the agent has to do.
type Action interface{ action() }

// Serve allows requests pinned to the version.
type Serve struct{ Ref Ref }

// StopServing refuses new requests. The agent answers with Drained once no
// request is in progress.
type StopServing struct{}

// WriteJournal keeps the journal, synced, before any later action.
type WriteJournal struct{ Journal Journal }

// Load gives the engine a load order and answers with OrderDone.
type Load struct{ Order engine.LoadOrder }

// Unload orders the engine to drop its weights and answers with OrderDone.
type Unload struct{ Fence uint64 }

// QueryEngine asks for the engine's state and answers with EngineReported.
type QueryEngine struct{ ID uint64 }

func (Serve) action()        {}
func (StopServing) action()  {}
func (WriteJournal) action() {}
func (Load) action()         {}
func (Unload) action()       {}
func (QueryEngine) action()  {}
