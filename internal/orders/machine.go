// Package orders decides what the engine beside an agent is told, and when
// the agent may serve from it. It is a pure state machine: Step takes an
// event and the time and returns actions; the agent carries them out and
// reports back with further events.
//
// State: the assignment followed (its fencing number only rises), what the
// engine reported, and at most one order in progress. An order's end may be
// unknown (lost answer, restarted agent). Where the engine checks fencing
// numbers it refuses a late order itself, once it has followed a newer number:
// until then the machine serves only on an order of the current number. Where
// the engine does not check, the machine neither orders nor serves until the
// longest order timeout has passed. So a late order cannot change the weights
// below a live replica.
package orders

import (
	"errors"
	"time"

	"lynxgate.dev/lynxgate/internal/engine"
	"lynxgate.dev/lynxgate/internal/inventory"
)

// Config of a Machine.
type Config struct {
	// ChecksFencing is true where the engine refuses old fencing numbers.
	ChecksFencing bool
	// OrderTimeout is the longest time an order may take at the engine.
	OrderTimeout time.Duration
	// RetryDelay is waited after a failed order.
	RetryDelay time.Duration
}

// Default settings.
const (
	DefaultOrderTimeout = 2 * time.Minute
	DefaultRetryDelay   = 2 * time.Second
)

// maxQueryFailures in a row end serving from an engine that does not answer.
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

// Journal is what the agent keeps on its scratch folder about orders.
type Journal struct {
	// Fence is the highest fencing number followed.
	Fence uint64 `json:"fence"`
	// Pending is true while an order's end is not known.
	Pending bool `json:"pending"`
}

// phase of the machine.
type phase int

const (
	phaseIdle phase = iota
	// phaseDraining waits until requests in progress have ended.
	phaseDraining
	// phaseOrdering waits for the end of an order.
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
	// first is true while the assignment followed is the VM's first.
	first bool
	// noJournal is true while an earlier agent's orders are suspected only
	// since there is no journal.
	noJournal bool
	staged    map[Ref]Weights

	engineKnown  bool
	engine       engine.State
	querying     bool
	queryID      uint64
	queryStarted time.Time
	// queryFailures counts unanswered queries in a row.
	queryFailures int
	// uncertain is true while an older order may still be under way to an
	// engine that checks fencing numbers.
	uncertain bool
	// notBefore is when an older order can no longer be under way to an
	// engine that does not.
	notBefore time.Time
	retryAt   time.Time

	serving Ref
	leaving bool
	// staleFence is the fencing number that the engine refused; no order is
	// given until the assignment's number is above it.
	staleFence uint64
	lastError  string
}

// New returns a machine that has followed no assignment yet. The journal is
// nil if the scratch folder holds none: an order of an earlier agent may be
// in progress then, as with a pending one.
func New(cfg Config, journal *Journal, now time.Time) *Machine {
	m := &Machine{cfg: cfg.WithDefaults(), staged: map[Ref]Weights{}}
	if journal != nil {
		m.fence = journal.Fence
	}
	m.noJournal = journal == nil
	if journal == nil || journal.Pending {
		m.suspectOrder(now)
	}
	return m
}

// firstOnly reports whether the only orders that can be under way ask for
// what the assignment followed asks for: it is the VM's first, and nothing but
// a missing journal speaks for an order.
func (m *Machine) firstOnly() bool { return m.first && m.noJournal }

// quarantined reports whether an older order may still change what an engine
// holds that does not check fencing numbers.
func (m *Machine) quarantined(now time.Time) bool {
	return now.Before(m.notBefore) && !m.firstOnly()
}

// suspectOrder notes that an order with an unknown end may be under way.
func (m *Machine) suspectOrder(now time.Time) {
	if m.cfg.ChecksFencing {
		m.uncertain = true
		return
	}
	m.notBefore = now.Add(m.cfg.OrderTimeout)
}

// Serving returns the version that may be served, or the zero Ref.
func (m *Machine) Serving() Ref { return m.serving }

// Fence returns the highest fencing number followed.
func (m *Machine) Fence() uint64 { return m.fence }

// LastError describes the last failed order; empty after a success.
func (m *Machine) LastError() string { return m.lastError }

// Loading reports whether an order to load target is in progress.
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
	if m.quarantined(now) {
		return nil
	}
	if !m.engineKnown {
		return m.query(now)
	}
	if m.engineHolds(m.target) {
		return m.serve(m.target)
	}
	return m.replace(now)
}

// engineHolds reports whether the engine is live on ref with the digest that
// was verified here. Without staged weights there is nothing to compare with.
func (m *Machine) engineHolds(ref Ref) bool {
	if ref == (Ref{}) || m.engine.State != engine.StateLive {
		return false
	}
	if m.engine.Model != ref.Model || m.engine.Version != ref.Version {
		return false
	}
	if m.uncertain && m.engine.Fence != m.fence && !m.firstOnly() {
		return false
	}
	weights, ok := m.staged[ref]
	if !ok {
		return m.serving == ref
	}
	return m.engine.Digest == "" || m.engine.Digest == weights.Digest
}

// replace drains the engine and orders it to hold the target.
func (m *Machine) replace(now time.Time) []Action {
	unload := m.target == (Ref{})
	if unload && m.engine.State == engine.StateEmpty {
		return m.stopServing()
	}
	weights, staged := m.staged[m.target]
	if !unload && !staged {
		return nil
	}
	if m.fence <= m.staleFence || now.Before(m.retryAt) {
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
	m.forgetEngine()
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

// forgetEngine drops what is known of the engine, and the answer to a query
// that is under way: it may describe the engine before an order.
func (m *Machine) forgetEngine() {
	m.engineKnown = false
	m.querying = false
	m.queryID++
}

// orderFailed handles an order that was refused or whose end is unknown.
func (m *Machine) orderFailed(now time.Time, err error) []Action {
	m.phase = phaseIdle
	m.lastError = err.Error()
	m.retryAt = now.Add(m.cfg.RetryDelay)
	var stale *engine.StaleFenceError
	if errors.As(err, &stale) {
		m.staleFence = stale.Current
		return m.settleJournal()
	}
	var refused *engine.StatusError
	if errors.As(err, &refused) {
		return m.settleJournal()
	}
	m.noJournal = false
	m.suspectOrder(now)
	return nil
}

// settleJournal records that the latest order has ended.
func (m *Machine) settleJournal() []Action {
	return []Action{WriteJournal{Journal{Fence: m.fence, Pending: m.uncertain}}}
}

// targetOf returns the version that an assignment wants live. The last one
// wanted active counts: an engine holds one version at a time.
func targetOf(a inventory.Assignment) Ref {
	var target Ref
	for _, want := range a.Wants {
		if want.Phase == inventory.PhaseActivate {
			target = Ref{Model: want.Model, Version: want.Version}
		}
	}
	return target
}
