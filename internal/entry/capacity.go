package entry

import (
	"context"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/routing"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// capacityInterval is the least time between two updates of the capacity that
// are caused by agents' request counts.
const capacityInterval = 5 * time.Millisecond

// updateCapacity sets how many more requests admission may let run now. Only a
// service without any usable backend server has no capacity at all.
//
// Entries share the same backend servers without communicating: an entry with
// queued requests claims one slot more than it sees free, and if there are too
// many requests, each entry gives up slots in proportion to those it uses. So
// the shares of all entries that have a queue converge.
func (r *router) updateCapacity() {
	view := r.table.View()
	now := time.Now()
	for _, service := range r.entry.catalog.Load().services {
		capacity := view.Capacity(now, routing.Request{Service: service.Name, Model: service.Model})
		if capacity.Servers == 0 {
			r.entry.admission.SetCapacity(service.Name, 0)
			continue
		}
		free := capacity.Free
		if capacity.InFlight < capacity.Slots && r.entry.admission.Status(service.Name).Queued > 0 {
			free++
		}
		r.entry.admission.SetFree(service.Name, free)
	}
	r.noteReports()
}

// noteInFlight applies an agent's count of its requests in flight, which is sent
// with the frames of an answer.
func (r *router) noteInFlight(ctx context.Context, vm string, inFlight int) {
	now := time.Now()
	r.step(ctx, routing.InFlightCounted{VM: vm, InFlight: inFlight})
	last := r.lastCountUpdate.Load()
	if now.UnixNano()-last >= int64(capacityInterval) && r.lastCountUpdate.CompareAndSwap(last, now.UnixNano()) {
		r.wakeCapacity()
	}
}

// noteReports closes allReported if its condition is met. It is called after an
// update of the capacity, so that admission knows the capacity by then.
func (r *router) noteReports() {
	if r.unreported.Load() > 0 || r.entry.catalog.Load().revision == 0 {
		return
	}
	select {
	case <-r.allReported:
	default:
		close(r.allReported)
	}
}

func (r *router) wakeCapacity() {
	select {
	case r.capacity <- struct{}{}:
	default:
	}
}

// changesCapacity reports whether two states differ in a field that capacity
// depends on. A heartbeat that differs in none only affects the age of the
// state, which each tick checks.
func changesCapacity(a, b *rpc.AgentState) bool {
	sameLive := slices.EqualFunc(a.Live, b.Live, func(x, y *rpc.LiveVersion) bool {
		return x.Model == y.Model && x.Version == y.Version
	})
	return !sameLive || a.Incarnation != b.Incarnation || a.Service != b.Service || a.Leaving != b.Leaving ||
		a.InFlight != b.InFlight || a.ReportedLoad != b.ReportedLoad || a.Concurrency != b.Concurrency
}
