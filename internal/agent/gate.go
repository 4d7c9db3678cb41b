package agent

import (
	"sync"

	"lynxgate.dev/lynxgate/internal/orders"
	"lynxgate.dev/lynxgate/internal/outcome"
)

// gate admits requests to the backend server while it serves the version
// that a request is pinned to, and counts those in progress. It is shared by
// the control loop, which opens and closes it, and the traffic goroutines.
type gate struct {
	mu      sync.Mutex
	open    bool
	leaving bool
	// backendLeaves: the backend server has said that it takes no new requests.
	backendLeaves bool
	ref           orders.Ref
	inFlight      int
	// idle is closed and replaced whenever inFlight falls to zero.
	idle chan struct{}
	// changed receives a signal when what the gate admits has changed.
	changed func()
}

// admitted is the empty reason of a request that was let in.
const admitted outcome.Reason = ""

func newGate(changed func()) *gate {
	return &gate{idle: make(chan struct{}), changed: changed}
}

// enter admits a request pinned to ref, or returns the reason why not.
// Whoever was admitted calls leave.
func (g *gate) enter(ref orders.Ref) outcome.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving || g.backendLeaves {
		return outcome.Leaving
	}
	if !g.open || g.ref != ref {
		return outcome.VersionNotLive
	}
	g.inFlight++
	return admitted
}

// leave ends a request admitted by enter.
func (g *gate) leave() {
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

// stop refuses new requests; those in progress go on.
func (g *gate) stop() {
	g.mu.Lock()
	g.open = false
	g.mu.Unlock()
	g.changed()
}

// setLeaving refuses all new requests for good.
func (g *gate) setLeaving() {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.changed()
}

// setBackendLeaves refuses new requests, or takes them again, and tells whether that is a
// change.
func (g *gate) setBackendLeaves(leaves bool) bool {
	g.mu.Lock()
	was := g.backendLeaves
	g.backendLeaves = leaves
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

// gateState is a copy of what the gate admits.
type gateState struct {
	open          bool
	leaving       bool
	backendLeaves bool
	ref           orders.Ref
	inFlight      int
}

func (g *gate) state() gateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return gateState{open: g.open, leaving: g.leaving, backendLeaves: g.backendLeaves, ref: g.ref, inFlight: g.inFlight}
}
