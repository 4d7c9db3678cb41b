package entry

import (
	"context"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/routing"
)

// routerTick is the interval of the routing table's ticks.
const routerTick = time.Second

// router updates the routing table with members and rules from the
// configuration and with the agents' states from its watches. Its one goroutine
// owns the watches; the goroutines that serve requests use the table.
type router struct {
	entry *Entry
	table *routing.Router
	guard *guard
	// members holds the revision of each member in the table.
	members map[string]uint64
	watches map[string]context.CancelFunc
	// actions carries the table's actions from steps on other goroutines.
	actions chan []routing.Action
	// capacity is signalled when backend servers were added, removed or changed.
	capacity chan struct{}
	// unreported counts watches that have neither received a state nor failed yet.
	unreported atomic.Int64
	// allReported is closed once there is a configuration and unreported is 0.
	allReported chan struct{}
	// lastCountUpdate is when an agent's request count last caused an update of the
	// capacity, as a Unix time in nanoseconds.
	lastCountUpdate atomic.Int64
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
		entry:       e,
		table:       routing.NewRouter(cfg),
		guard:       newGuard(),
		members:     map[string]uint64{},
		watches:     map[string]context.CancelFunc{},
		actions:     make(chan []routing.Action),
		capacity:    make(chan struct{}, 1),
		allReported: make(chan struct{}),
	}
}

// step applies an event from a goroutine that serves a request or a watch.
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

// run applies each new configuration and carries out the table's actions.
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
			r.cancelSilent()
		case <-r.capacity:
			r.updateCapacity()
		}
	}
}

// apply applies an event on the router's own goroutine.
func (r *router) apply(ctx context.Context, event routing.Event) {
	r.carryOut(ctx, r.table.Step(time.Now(), event))
}

// follow applies the configuration in force and returns the channel that is
// closed at the next change.
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

// followMembers applies the changes of members to the table.
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
			r.unreported.Add(1)
			go r.watch(watchCtx, act.VM, act.Addr)
		case routing.StopWatch:
			r.stopWatch(act.VM)
		case routing.Ejected:
			r.entry.metrics.ejections.WithLabelValues(string(act.Cause)).Inc()
			r.entry.cfg.Logger.Warn().Str("vm", act.VM).Str("cause", string(act.Cause)).Msg("backend server set aside")
		case routing.Restored:
			r.entry.cfg.Logger.Info().Str("vm", act.VM).Msg("backend server gets its full share of requests again")
		}
	}
}

func (r *router) stopWatch(vm string) {
	if cancel, ok := r.watches[vm]; ok {
		cancel()
		delete(r.watches, vm)
	}
}
