package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Router makes a Table safe for concurrent use: steps take a short lock,
// picks read a snapshot without one.
type Router struct {
	// fresh is the snapshot last made.
	fresh atomic.Pointer[View]
	// stale says that a step has changed the table since. The next reader
	// makes a new snapshot, so that the heartbeats of many agents between two
	// requests cost one.
	stale atomic.Bool
	mu    sync.Mutex
	table *Table
}

// NewRouter returns a router over an empty table.
func NewRouter(cfg Config) *Router {
	r := &Router{table: NewTable(cfg)}
	r.fresh.Store(r.table.View())
	return r
}

// Step applies one event and returns what has to be done for it.
func (r *Router) Step(now time.Time, event Event) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	actions := r.table.Step(now, event)
	if r.table.view == nil {
		r.stale.Store(true)
	}
	return actions
}

// maxAttempts bounds how often Acquire picks again when others took the slot
// in the meantime; after that it overfills one. A backend server that is
// leaving is never taken: the next snapshot is without it.
const maxAttempts = 3

// Acquire picks a backend server and counts the request as dispatched, so
// that concurrent picks see it. Finished or NotRun with the same id must
// follow. The top-level source of math/rand is used: it is safe for
// concurrent use, and only the pure Pick needs a seeded one.
func (r *Router) Acquire(now time.Time, id string, req Request) (Choice, Reason) {
	rng := rand.New(globalSource{})
	for attempt := 1; ; attempt++ {
		v := r.View()
		choice, reason := v.Pick(now, req, rng)
		if reason != Picked {
			return choice, reason
		}
		if r.dispatch(now, id, req.Whole, choice, attempt >= maxAttempts) {
			return choice, Picked
		}
	}
}

// dispatch counts the request, unless the backend server is leaving or gone
// since the snapshot was made, or its slots are and force is not set.
func (r *Router) dispatch(now time.Time, id string, whole bool, choice Choice, force bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.table.servers[choice.VM]
	if s == nil || s.isLeaving() {
		return false
	}
	if !force && s.count.inFlight.Load() >= int64(r.table.slots(s)) {
		return false
	}
	s.dispatched(now, id, whole)
	return true
}

// View returns the present snapshot, for Pick without dispatch and for Room.
func (r *Router) View() *View {
	if !r.stale.Load() {
		return r.fresh.Load()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.table.View()
	r.fresh.Store(v)
	// Only now: a reader that sees no mark must find the new snapshot.
	r.stale.Store(false)
	return v
}

// globalSource draws from the process-wide random source.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }
