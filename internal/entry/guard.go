package entry

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errSilent ends an attempt whose backend server is not heard of any more.
var errSilent = errors.New("the backend server's agent is silent")

// guard ends attempts at backend servers that have fallen silent without a
// broken connection, as when a VM freezes or a network is cut. Only attempts
// of idempotent calls are guarded: they can be made again elsewhere, while the
// others may yet be answered.
type guard struct {
	mu sync.Mutex
	// attempts by VM and attempt id.
	attempts map[string]map[string]context.CancelCauseFunc
}

func newGuard() *guard {
	return &guard{attempts: map[string]map[string]context.CancelCauseFunc{}}
}

// add guards an attempt; the returned function ends that.
func (g *guard) add(vm, id string, cancel context.CancelCauseFunc) (remove func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.attempts[vm] == nil {
		g.attempts[vm] = map[string]context.CancelCauseFunc{}
	}
	g.attempts[vm][id] = cancel
	return func() { g.remove(vm, id) }
}

func (g *guard) remove(vm, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.attempts[vm], id)
	if len(g.attempts[vm]) == 0 {
		delete(g.attempts, vm)
	}
}

// end ends the guarded attempts at the VMs and returns how many.
func (g *guard) end(vms []string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := 0
	for _, vm := range vms {
		for _, cancel := range g.attempts[vm] {
			cancel(errSilent)
			ended++
		}
	}
	return ended
}

// endSilent ends idempotent attempts at backend servers that fell silent.
func (r *router) endSilent() {
	silent := r.table.View().Silent(time.Now())
	if n := r.guard.end(silent); n > 0 {
		r.entry.metrics.silent.Add(float64(n))
	}
}
