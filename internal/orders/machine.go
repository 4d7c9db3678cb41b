// Package orders decides which load and unload orders an agent sends to its
// engine, and when the agent may serve from the engine. It is a pure state
// machine: Step takes an event and the time and returns actions; the agent
// carries them out and reports their results as further events.
//
// State: the current assignment (its fencing token never decreases), the
// engine's last reported state, and at most one order in progress. The outcome
// of an order may be unknown (lost answer, restarted agent), and the order may
// then still reach the engine late. An engine that checks fencing tokens
// refuses a late order once it has accepted one with a newer token; until then
// the machine serves only if the engine reports the current token. With an
// engine that does not check, the machine neither orders nor serves until the
// longest order timeout has passed. So a late order cannot change the weights
// of a live replica.
package orders

import (
	"errors"
	"time"

	"lynxgate.dev/lynxgate/internal/engine"
	"lynxgate.dev/lynxgate/internal/inventory"
)

// Config of a Machine.
type Config struct {
	// ChecksFencing is true if the engine refuses outdated fencing tokens.
	ChecksFencing bool
	// OrderTimeout is the longest time an order may take at the engine.
	OrderTimeout time.Duration
	// RetryDelay is the wait before the next order after a failed one.
	RetryDelay time.Duration
}

// Default settings.
const (
	DefaultOrderTimeout = 2 * time.Minute
	DefaultRetryDelay   = 2 * time.Second
)

// maxQueryFailures is the number of consecutive unanswered queries after which
// the machine stops serving.
const maxQueryFailures = 3

// WithDefaults returns c with zero values replaced.
func (c Config) WithDefaults() Config {
	if c.OrderTimeout == 0 {
		c.OrderTimeout = DefaultOrderTimeout
	}
	if c.RetryDelay == 0 {
		c.RetryDelay = DefaultRetryDelay
	}
	return c
}

// Ref names a model version. The zero Ref is no version.
type Ref struct {
	Model, Version string
}

// Weights are staged, verified weights on this VM.
type Weights struct {
	Path string
	// Digest is the hex BLAKE3 digest of the whole file.
	Digest string
}

// Journal is what the agent stores about orders in its scratch directory.
type Journal struct {
	// Fence is the highest fencing token of an accepted assignment.
	Fence uint64 `json:"fence"`
	// Pending is true while the outcome of an order is unknown.
	Pending bool `json:"pending"`
}

// phase is the step of an order that the machine waits for.
type phase int

const (
	phaseIdle phase = iota
	// phaseDraining waits until requests in progress have ended.
	phaseDraining
	// phaseOrdering waits for the result of an order.
	phaseOrdering
	// phaseConfirming waits for the engine's state after an order.
	phaseConfirming
)

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	phase phase

	fence  uint64
	target Ref
	// firstAssignment is true while the current assignment is the VM's first.
	firstAssignment bool
	// noJournal is true while the missing journal is the only reason to assume
	// that an order of an earlier agent process is in flight.
	noJournal bool
	staged    map[Ref]Weights

	engineKnown  bool
	engine       engine.State
	querying     bool
	queryID      uint64
	queryStarted time.Time
	// queryFailures counts consecutive unanswered queries.
	queryFailures int
	// orderUncertain is true while an older order may still be in flight to an
	// engine that checks fencing tokens.
	orderUncertain bool
	// notBefore is the time from which an older order can no longer be in
	// flight to an engine that does not check them.
	notBefore time.Time
	retryAt   time.Time

	serving Ref
	leaving bool
	// engineFence is the engine's own fencing token, as of its last refusal of an
	// outdated one; no order is given until the assignment's token is higher.
	engineFence uint64
	lastError   string
}

// New returns a machine without an assignment. The journal is nil if the
// scratch directory has none: an order of an earlier agent process may be in
// flight then, as with a pending one.
func New(cfg Config, journal *Journal, now time.Time) *Machine {
	m := &Machine{cfg: cfg.WithDefaults(), staged: map[Ref]Weights{}}
	if journal != nil {
		m.fence = journal.Fence
	}
	m.noJournal = journal == nil
	if journal == nil || journal.Pending {
		m.assumeOrderInFlight(now)
	}
	return m
}

// onlyFirstAssignment reports whether any order in flight must be for the current target:
// the assignment is the VM's first, and only the missing journal suggests that
// there is an order.
func (m *Machine) onlyFirstAssignment() bool { return m.firstAssignment && m.noJournal }

// lateOrderPossible reports whether an older order may still change the weights of an
// engine that does not check fencing tokens.
func (m *Machine) lateOrderPossible(now time.Time) bool {
	return now.Before(m.notBefore) && !m.onlyFirstAssignment()
}

// assumeOrderInFlight notes that an order with an unknown outcome may be in flight.
func (m *Machine) assumeOrderInFlight(now time.Time) {
	if m.cfg.ChecksFencing {
		m.orderUncertain = true
		return
	}
	m.notBefore = now.Add(m.cfg.OrderTimeout)
}

// Serving returns the version that may be served, or the zero Ref.
func (m *Machine) Serving() Ref { return m.serving }

// Fence returns the highest fencing token of an accepted assignment.
func (m *Machine) Fence() uint64 { return m.fence }

// LastError describes the last failed order; empty after a success.
func (m *Machine) LastError() string { return m.lastError }

// Loading reports whether an order to change the engine to target is in
// progress.
func (m *Machine) Loading() (target Ref, ok bool) {
	busy := m.phase == phaseOrdering || m.phase == phaseConfirming
	return m.target, busy
}

// Step applies an event and returns the actions to carry out, in order.
func (m *Machine) Step(now time.Time, event Event) []Action {
	actions := event.apply(m, now)
	return append(actions, m.advance(now)...)
}

// advance takes the next step towards the assignment.
func (m *Machine) advance(now time.Time) []Action {
	if m.phase != phaseIdle {
		return nil
	}
	if m.leaving {
		return nil
	}
	if m.lateOrderPossible(now) {
		return nil
	}
	if !m.engineKnown {
		return m.query(now)
	}
	if m.engineIsLive(m.target) {
		return m.serve(m.target)
	}
	return m.replace(now)
}

// engineIsLive reports whether the engine is live with the weights of ref, whose
// digest was verified here. Without staged weights the digest cannot be
// compared, and only the version already being served counts as live.
func (m *Machine) engineIsLive(ref Ref) bool {
	if ref == (Ref{}) || m.engine.State != engine.StateLive {
		return false
	}
	if m.engine.Model != ref.Model || m.engine.Version != ref.Version {
		return false
	}
	if m.orderUncertain && m.engine.Fence != m.fence && !m.onlyFirstAssignment() {
		return false
	}
	weights, ok := m.staged[ref]
	if !ok {
		return m.serving == ref
	}
	return m.engine.Digest == "" || m.engine.Digest == weights.Digest
}

// replace drains the engine and orders it to load the target, or to unload if
// there is no target.
func (m *Machine) replace(now time.Time) []Action {
	unload := m.target == (Ref{})
	if unload && m.engine.State == engine.StateEmpty {
		return m.stopServing()
	}
	weights, staged := m.staged[m.target]
	if !unload && !staged {
		return nil
	}
	if m.fence <= m.engineFence || now.Before(m.retryAt) {
		return nil
	}
	if m.serving != (Ref{}) {
		m.phase = phaseDraining
		return m.stopServing()
	}
	return m.order(unload, weights)
}

func (m *Machine) order(unload bool, weights Weights) []Action {
	m.phase = phaseOrdering
	m.resetEngineState()
	journal := WriteJournal{Journal{Fence: m.fence, Pending: true}}
	if unload {
		return []Action{journal, Unload{Fence: m.fence}}
	}
	load := Load{engine.LoadOrder{
		Model:   m.target.Model,
		Version: m.target.Version,
		Path:    weights.Path,
		Fence:   m.fence,
	}}
	return []Action{journal, load}
}

func (m *Machine) serve(ref Ref) []Action {
	if m.serving == ref {
		return nil
	}
	m.serving = ref
	m.lastError = ""
	return []Action{Serve{ref}}
}

func (m *Machine) stopServing() []Action {
	if m.serving == (Ref{}) {
		return nil
	}
	m.serving = Ref{}
	return []Action{StopServing{}}
}

func (m *Machine) query(now time.Time) []Action {
	if m.querying {
		return nil
	}
	m.querying = true
	m.queryID++
	m.queryStarted = now
	return []Action{QueryEngine{ID: m.queryID}}
}

// resetEngineState discards the engine's state and the answer to a query in flight,
// which may describe the engine before an order.
func (m *Machine) resetEngineState() {
	m.engineKnown = false
	m.querying = false
	m.queryID++
}

// orderFailed handles an order that was refused or whose outcome is unknown.
func (m *Machine) orderFailed(now time.Time, err error) []Action {
	m.phase = phaseIdle
	m.lastError = err.Error()
	m.retryAt = now.Add(m.cfg.RetryDelay)
	var stale *engine.StaleFenceError
	if errors.As(err, &stale) {
		m.engineFence = stale.Current
		return m.recordOrderDone()
	}
	var refused *engine.StatusError
	if errors.As(err, &refused) {
		return m.recordOrderDone()
	}
	m.noJournal = false
	m.assumeOrderInFlight(now)
	return nil
}

// recordOrderDone records that the outcome of the latest order is known.
func (m *Machine) recordOrderDone() []Action {
	return []Action{WriteJournal{Journal{Fence: m.fence, Pending: m.orderUncertain}}}
}

// targetOf returns the version that an assignment wants live. The last active
// one counts, since an engine loads one version at a time.
func targetOf(a inventory.Assignment) Ref {
	var target Ref
	for _, want := range a.Wants {
		if want.Phase == inventory.PhaseActivate {
			target = Ref{Model: want.Model, Version: want.Version}
		}
	}
	return target
}
