package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/routing"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

const (
	// watchRetry is waited before a lost watch is opened again.
	watchRetry = 500 * time.Millisecond
	// routerTick lets time pass in the routing table.
	routerTick = time.Second
	// capacityInterval is the least time between two updates of the capacity
	// for agents' counts.
	capacityInterval = 5 * time.Millisecond
)

// router feeds the routing table: members and rules from the configuration,
// agents' states from the watches it keeps open. Its one goroutine owns the
// watches; traffic goroutines use the table.
type router struct {
	entry *Entry
	table *routing.Router
	guard *guard
	// members holds the revision of each member known to the table.
	members map[string]uint64
	watches map[string]context.CancelFunc
	// actions brings what steps on other goroutines ask for.
	actions chan []routing.Action
	// capacity is signalled when backend servers came, went or changed.
	capacity chan struct{}
	// unheard counts watches that have neither brought a state nor failed yet.
	unheard atomic.Int64
	// settled is closed once there is a configuration and no watch is unheard.
	settled chan struct{}
	// countedAt is when an agent's count last led to an update of the
	// capacity, a Unix time in nanoseconds.
	countedAt atomic.Int64
}

func newRouter(e *Entry) *router {
	cfg := routing.DefaultConfig()
	cfg.Entry = e.cfg.Name
	cfg.Zone = e.cfg.Zone
	cfg.Policy = e.cfg.Policy
	if e.cfg.WatchSubset > 0 {
		cfg.SubsetSize = e.cfg.WatchSubset
	}
	return &router{
		entry:    e,
		table:    routing.NewRouter(cfg),
		guard:    newGuard(),
		members:  map[string]uint64{},
		watches:  map[string]context.CancelFunc{},
		actions:  make(chan []routing.Action),
		capacity: make(chan struct{}, 1),
		settled:  make(chan struct{}),
	}
}

// step applies an event from a traffic or watch goroutine.
func (r *router) step(ctx context.Context, event routing.Event) {
	actions := r.table.Step(time.Now(), event)
	if len(actions) == 0 {
		return
	}
	select {
	case r.actions <- actions:
	case <-ctx.Done():
	}
}

// run follows the configuration and carries out the table's actions.
func (r *router) run(ctx context.Context) {
	ticker := time.NewTicker(routerTick)
	defer ticker.Stop()
	changed := r.follow(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			changed = r.follow(ctx)
		case actions := <-r.actions:
			r.carryOut(ctx, actions)
		case <-ticker.C:
			r.apply(ctx, routing.Tick{})
			r.updateCapacity()
			r.endSilent()
		case <-r.capacity:
			r.updateCapacity()
		}
	}
}

// apply steps the table on the router's own goroutine.
func (r *router) apply(ctx context.Context, event routing.Event) {
	r.carryOut(ctx, r.table.Step(time.Now(), event))
}

// follow takes over the configuration in force and returns the channel that
// tells of the next one.
func (r *router) follow(ctx context.Context) <-chan struct{} {
	changed := r.entry.feed.Changed()
	view := r.entry.feed.View()
	r.entry.follow(view)
	r.apply(ctx, routing.ZonesChanged{Zones: keyspace.List[inventory.Zone](view, inventory.PrefixZone)})
	r.apply(ctx, routing.RulesChanged{
		Rules:    keyspace.List[inventory.Rule](view, inventory.PrefixRule),
		Services: keyspace.List[inventory.Service](view, inventory.PrefixService),
	})
	r.apply(ctx, routing.VMsChanged{VMs: keyspace.List[inventory.VM](view, inventory.PrefixVM)})
	r.followMembers(ctx, view)
	r.updateCapacity()
	return changed
}

// followMembers tells the table which members have changed.
func (r *router) followMembers(ctx context.Context, view *keyspace.View) {
	present := map[string]bool{}
	for _, entry := range view.Prefix(inventory.PrefixMember) {
		vm := entry.Key[len(inventory.PrefixMember):]
		present[vm] = true
		if r.members[vm] == entry.Revision {
			continue
		}
		if member, ok := keyspace.Lookup[inventory.Member](view, entry.Key); ok {
			r.members[vm] = entry.Revision
			r.apply(ctx, routing.MemberChanged{Member: member})
		}
	}
	for vm := range r.members {
		if !present[vm] {
			delete(r.members, vm)
			r.apply(ctx, routing.MemberGone{VM: vm})
		}
	}
}

func (r *router) carryOut(ctx context.Context, actions []routing.Action) {
	for _, action := range actions {
		switch act := action.(type) {
		case routing.StartWatch:
			r.stopWatch(act.VM)
			watchCtx, cancel := context.WithCancel(ctx)
			r.watches[act.VM] = cancel
			r.unheard.Add(1)
			go r.watch(watchCtx, act.VM, act.Addr)
		case routing.StopWatch:
			r.stopWatch(act.VM)
		case routing.SetAside:
			r.entry.metrics.aside.WithLabelValues(string(act.Cause)).Inc()
			r.entry.cfg.Logger.Warn().Str("vm", act.VM).Str("cause", string(act.Cause)).Msg("backend server set aside")
		case routing.PutBack:
			r.entry.cfg.Logger.Info().Str("vm", act.VM).Msg("backend server put back")
		}
	}
}

func (r *router) stopWatch(vm string) {
	if cancel, ok := r.watches[vm]; ok {
		cancel()
		delete(r.watches, vm)
	}
}

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

// endSilent ends idempotent attempts at backend servers that fell silent.
func (r *router) endSilent() {
	silent := r.table.View().Silent(time.Now())
	if n := r.guard.end(silent); n > 0 {
		r.entry.metrics.silent.Add(float64(n))
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

// watch follows the state of one agent until ctx is done.
func (r *router) watch(ctx context.Context, vm, addr string) {
	heard := sync.OnceFunc(func() { r.unheard.Add(-1) })
	defer heard()
	for ctx.Err() == nil {
		r.followAgent(ctx, vm, addr, heard)
		if ctx.Err() != nil {
			return
		}
		r.step(ctx, routing.WatchLost{VM: vm})
		heard()
		r.wakeCapacity()
		sleep(ctx, watchRetry)
	}
}

// followAgent takes over states of the agent until the watch is lost.
func (r *router) followAgent(ctx context.Context, vm, addr string, heard func()) {
	conn, err := rpcconn.Dial(ctx, addr)
	if err != nil {
		return
	}
	defer conn.Close()
	stream, err := rpc.NewDRPCDispatchClient(conn).Watch(ctx, &rpc.WatchRequest{Entry: r.entry.cfg.Name})
	if err != nil {
		return
	}
	defer stream.Close()
	var last *rpc.AgentState
	for {
		state, err := stream.Recv()
		if err != nil || state.Vm != vm {
			return
		}
		r.step(ctx, routing.StateFromRPC(state))
		heard()
		if last == nil || changesCapacity(last, state) {
			r.wakeCapacity()
		}
		last = state
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
