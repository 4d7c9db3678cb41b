package entry

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errSilent is the cause of the cancellation of an attempt whose backend server
// no longer reports.
var errSilent = errors.New("the backend server's agent is silent")

// guard cancels attempts at backend servers whose agents have stopped reporting
// although the connection is not closed, as when a VM freezes or a network is
// partitioned. It covers only attempts of idempotent calls: these can be retried
// elsewhere, while a call of the other kind may still be answered.
type guard struct {
	mu sync.Mutex
	// attempts holds the cancel functions by VM and attempt id.
	attempts map[string]map[string]context.CancelCauseFunc
}

func newGuard() *guard {
	return &guard{attempts: map[string]map[string]context.CancelCauseFunc{}}
}

// add registers an attempt until the returned function is called.
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

// cancel cancels the registered attempts at the VMs and returns their number.
func (g *guard) cancel(vms []string) int {
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

// cancelSilent cancels idempotent attempts at backend servers that have stopped
// reporting.
func (r *router) cancelSilent() {
	silent := r.table.View().Silent(time.Now())
	if n := r.guard.cancel(silent); n > 0 {
		r.entry.metrics.silentAttempts.Add(float64(n))
	}
}
