package entry

import (
	"context"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/routing"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// capacityInterval is the least time between two updates of the capacity for
// agents' counts.
const capacityInterval = 5 * time.Millisecond

// updateCapacity tells admission how many more requests may run now; only a
// service without any usable backend server has no capacity at all.
//
// Entries before the same backend servers share them without talking to each
// other: one with a queue asks for a slot more than it sees free, and when
// there are too many requests, each gives up slots in proportion to its own.
// So the parts of entries that all have a queue grow equal.
func (r *router) updateCapacity() {
	view := r.table.View()
	now := time.Now()
	for _, service := range r.entry.catalog.Load().services {
		room := view.Room(now, routing.Request{Service: service.Name, Model: service.Model})
		if room.Servers == 0 {
			r.entry.admission.SetCapacity(service.Name, 0)
			continue
		}
		free := room.Free
		if room.Own < room.Slots && r.entry.admission.Status(service.Name).Queued > 0 {
			free++
		}
		r.entry.admission.SetFree(service.Name, free)
	}
	r.noteSettled()
}

// counted takes over an agent's count of requests that came with an answer.
func (r *router) counted(ctx context.Context, vm string, inFlight int) {
	now := time.Now()
	r.step(ctx, routing.Counted{VM: vm, InFlight: inFlight})
	last := r.countedAt.Load()
	if now.UnixNano()-last >= int64(capacityInterval) && r.countedAt.CompareAndSwap(last, now.UnixNano()) {
		r.wakeCapacity()
	}
}

// noteSettled closes settled when that has come about. It is called after the
// capacity was updated, so that admission knows it too.
func (r *router) noteSettled() {
	if r.unheard.Load() > 0 || r.entry.catalog.Load().revision == 0 {
		return
	}
	select {
	case <-r.settled:
	default:
		close(r.settled)
	}
}

func (r *router) wakeCapacity() {
	select {
	case r.capacity <- struct{}{}:
	default:
	}
}

// changesCapacity says whether a state differs from the one before in what
// capacity depends on; of a heartbeat that repeats it, time alone is news, and
// that is looked at with each tick.
func changesCapacity(a, b *rpc.AgentState) bool {
	sameLive := slices.EqualFunc(a.Live, b.Live, func(x, y *rpc.LiveVersion) bool {
		return x.Model == y.Model && x.Version == y.Version
	})
	return !sameLive || a.Incarnation != b.Incarnation || a.Service != b.Service || a.Leaving != b.Leaving ||
		a.InFlight != b.InFlight || a.ReportedLoad != b.ReportedLoad || a.Concurrency != b.Concurrency
}
