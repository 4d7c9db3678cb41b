package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Router makes a Table safe for concurrent use: steps hold a lock for a short
// time, picks read a snapshot without it.
type Router struct {
	// latest is the latest snapshot.
	latest atomic.Pointer[View]
	// stale is true if a step has changed the table since. The next reader
	// makes a new snapshot, so that the heartbeats of many agents between two
	// requests cost only one.
	stale atomic.Bool
	mu    sync.Mutex
	table *Table
}

// NewRouter returns a router over an empty table.
func NewRouter(cfg Config) *Router {
	r := &Router{table: NewTable(cfg)}
	r.latest.Store(r.table.View())
	return r
}

// Step applies one event and returns the resulting actions.
func (r *Router) Step(now time.Time, event Event) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	actions := r.table.Step(now, event)
	if r.table.view == nil {
		r.stale.Store(true)
	}
	return actions
}

// maxAttempts bounds the picks of one Acquire when concurrent callers take the
// last slot first; the last pick may exceed the slots of a backend server. A
// backend server that is leaving is never acquired: the next snapshot excludes it.
const maxAttempts = 3

// Acquire picks a backend server and counts the request as dispatched, so
// that concurrent picks see it. Finished or NotRun with the same id must
// follow. It uses the top-level source of math/rand, which is safe for concurrent
// use; only Pick, which is deterministic, takes a seeded source.
func (r *Router) Acquire(now time.Time, id string, req Request) (Choice, Reason) {
	rng := rand.New(globalSource{})
	for attempt := 1; ; attempt++ {
		v := r.View()
		choice, reason := v.Pick(now, req, rng)
		if reason != Picked {
			return choice, reason
		}
		if r.dispatch(now, id, req.Unstreamed, choice, attempt >= maxAttempts) {
			return choice, Picked
		}
	}
}

// dispatch counts the request, unless the backend server has begun to leave or
// was removed since the snapshot was made, or has no free slot and force is not
// set.
func (r *Router) dispatch(now time.Time, id string, unstreamed bool, choice Choice, force bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.table.servers[choice.VM]
	if s == nil || s.isLeaving() {
		return false
	}
	if !force && s.count.inFlight.Load() >= int64(r.table.slots(s)) {
		return false
	}
	s.dispatched(now, id, unstreamed)
	return true
}

// View returns the current snapshot, for Pick without dispatch and for Capacity.
func (r *Router) View() *View {
	if !r.stale.Load() {
		return r.latest.Load()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.table.View()
	r.latest.Store(v)
	// After the store above: a reader that finds stale unset must see the new
	// snapshot.
	r.stale.Store(false)
	return v
}

// globalSource draws from the process-wide random source.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }
