package orders

import (
	"maps"
	"time"

	"lynxgate.dev/lynxgate/internal/engine"
	"lynxgate.dev/lynxgate/internal/inventory"
)

// Event is an input of the Machine.
type Event interface {
	apply(m *Machine, now time.Time) []Action
}

// Assigned carries the VM's assignment. It is ignored if its fencing token is
// lower than that of the current assignment.
type Assigned struct{ Assignment inventory.Assignment }

func (e Assigned) apply(m *Machine, _ time.Time) []Action {
	if e.Assignment.Fence < m.fence {
		return nil
	}
	m.fence = e.Assignment.Fence
	m.target = targetOf(e.Assignment)
	m.firstAssignment = e.Assignment.First
	return nil
}

// StagedChanged lists all weights staged and verified on this VM.
type StagedChanged struct{ Staged map[Ref]Weights }

func (e StagedChanged) apply(m *Machine, _ time.Time) []Action {
	m.staged = maps.Clone(e.Staged)
	return nil
}

// EngineReported is the engine's answer to QueryEngine, or its failure.
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
	if m.lateOrderPossible(m.queryStarted) {
		return nil
	}
	if e.Err != nil || e.State.State == engine.StateLoading {
		return e.stateUnavailable(m, now)
	}
	m.queryFailures = 0
	m.engineKnown = true
	m.engine = e.State
	if m.phase == phaseConfirming {
		m.phase = phaseIdle
		m.orderUncertain = m.orderUncertain && e.State.Fence != m.fence
		return m.recordOrderDone()
	}
	lost := m.serving != (Ref{}) && !m.engineIsLive(m.serving)
	if lost {
		return m.stopServing()
	}
	return nil
}

// stateUnavailable leaves the engine's state unknown until a query after a later Tick
// succeeds. It stops serving from an engine that is loading or has failed to
// answer maxQueryFailures times in a row.
func (e EngineReported) stateUnavailable(m *Machine, _ time.Time) []Action {
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

// Drained means that no request is in progress any more after StopServing.
type Drained struct{}

func (Drained) apply(m *Machine, _ time.Time) []Action {
	if m.phase == phaseDraining {
		m.phase = phaseIdle
	}
	return nil
}

// OrderDone is the result of a Load or Unload.
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

// Tick is sent periodically. It queries the engine's state, except while an
// order is in progress.
type Tick struct{}

func (Tick) apply(m *Machine, now time.Time) []Action {
	if m.phase == phaseOrdering {
		return nil
	}
	return m.query(now)
}

// Leave means that the VM is leaving: it gives no further orders and takes no
// new requests.
type Leave struct{}

func (Leave) apply(m *Machine, _ time.Time) []Action {
	m.leaving = true
	return m.stopServing()
}

// Action is an output of the Machine, to be carried out by the agent.
type Action interface{ action() }

// Serve admits requests for the version.
type Serve struct{ Ref Ref }

// StopServing refuses new requests. The agent answers with Drained once no
// request is in progress.
type StopServing struct{}

// WriteJournal writes the journal and syncs it to disk before any later action.
type WriteJournal struct{ Journal Journal }

// Load sends the engine a load order. The agent answers with OrderDone.
type Load struct{ Order engine.LoadOrder }

// Unload orders the engine to unload its weights. The agent answers with
// OrderDone.
type Unload struct{ Fence uint64 }

// QueryEngine queries the engine's state. The agent answers with
// EngineReported.
type QueryEngine struct{ ID uint64 }

func (Serve) action()        {}
func (StopServing) action()  {}
func (WriteJournal) action() {}
func (Load) action()         {}
func (Unload) action()       {}
func (QueryEngine) action()  {}
