package agent

import (
	"sync"

	"lynxgate.dev/lynxgate/internal/orders"
	"lynxgate.dev/lynxgate/internal/outcome"
)

// gate admits a request if the backend server serves the version that the
// request is pinned to, and counts the requests in progress. The control loop
// opens and closes it; the goroutines that handle requests use it concurrently.
type gate struct {
	mu      sync.Mutex
	open    bool
	leaving bool
	// backendLeaving is true if the backend server signals that it takes no new
	// requests.
	backendLeaving bool
	ref            orders.Ref
	inFlight       int
	// idle is closed and replaced whenever inFlight drops to zero.
	idle chan struct{}
	// changed is called when the gate opens or closes, or when one of the
	// leaving flags changes.
	changed func()
}

// admitted is returned by gate.admit in place of a reason for refusal.
const admitted outcome.Reason = ""

func newGate(changed func()) *gate {
	return &gate{idle: make(chan struct{}), changed: changed}
}

// admit admits a request pinned to ref, or returns the reason for refusal.
// The caller must call done once for every admitted request.
func (g *gate) admit(ref orders.Ref) outcome.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving || g.backendLeaving {
		return outcome.Leaving
	}
	if !g.open || g.ref != ref {
		return outcome.VersionNotLive
	}
	g.inFlight++
	return admitted
}

// done records the end of a request admitted by admit.
func (g *gate) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.inFlight < 0 {
		panic("agent: more requests ended than were admitted")
	}
	if g.inFlight == 0 {
		close(g.idle)
		g.idle = make(chan struct{})
	}
}

// serve opens the gate for requests pinned to ref.
func (g *gate) serve(ref orders.Ref) {
	g.mu.Lock()
	g.open, g.ref = true, ref
	g.mu.Unlock()
	g.changed()
}

// stop refuses new requests; those in progress continue.
func (g *gate) stop() {
	g.mu.Lock()
	g.open = false
	g.mu.Unlock()
	g.changed()
}

// setLeaving refuses all new requests permanently.
func (g *gate) setLeaving() {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.changed()
}

// isBackendLeaving reports whether the backend server has signalled that it leaves.
func (g *gate) isBackendLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backendLeaving
}

// setBackendLeaving sets whether new requests are refused because the backend
// server leaves, and reports whether the value changed.
func (g *gate) setBackendLeaving(leaves bool) bool {
	g.mu.Lock()
	was := g.backendLeaving
	g.backendLeaving = leaves
	g.mu.Unlock()
	if was != leaves {
		g.changed()
	}
	return was != leaves
}

// drained returns a channel that is closed once no request is in progress.
func (g *gate) drained() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight > 0 {
		return g.idle
	}
	done := make(chan struct{})
	close(done)
	return done
}

// gateState is a snapshot of the gate.
type gateState struct {
	open           bool
	leaving        bool
	backendLeaving bool
	ref            orders.Ref
	inFlight       int
}

func (g *gate) state() gateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return gateState{open: g.open, leaving: g.leaving, backendLeaving: g.backendLeaving, ref: g.ref, inFlight: g.inFlight}
}
