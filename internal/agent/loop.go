package agent

import (
	"context"
	"errors"
	"maps"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/orders"
	"lynxgate.dev/lynxgate/internal/weights/transfer"
)

// eventBuffer is the capacity of loop.events.
const eventBuffer = 16

// loop is the agent's control loop with the state that only it accesses.
type loop struct {
	*Agent
	machine *orders.Machine
	// events receives the results of asynchronous actions.
	events chan orders.Event
	// feedChanged is closed when the configuration changes after the view
	// that was applied last.
	feedChanged <-chan struct{}
	// phases are the replica phases published last.
	phases map[orders.Ref]string
}

// Serve runs the agent until ctx is done.
func (a *Agent) Serve(ctx context.Context) error {
	if a.plain() {
		return a.runPlain(ctx)
	}
	journal, err := readJournal(a.cfg.ScratchDir)
	if err != nil {
		return err
	}
	cfg := orders.Config{ChecksFencing: a.cfg.ChecksFencing, OrderTimeout: a.cfg.LoadTimeout}
	l := &loop{
		Agent:   a,
		machine: orders.New(cfg, journal, time.Now()),
		events:  make(chan orders.Event, eventBuffer),
		phases:  map[orders.Ref]string{},
	}
	go func() { _ = a.announcer.Run(ctx) }()
	return l.run(ctx)
}

func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l.applyConfiguration(ctx)
	l.applyStaged(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-l.events:
			l.step(ctx, event)
		case <-ticker.C:
			l.step(ctx, orders.Tick{})
		case <-l.feedChanged:
			l.applyConfiguration(ctx)
		case <-l.transfers.Changed():
			l.applyStaged(ctx)
		case <-l.leaveRequest:
			l.step(ctx, orders.Leave{})
		}
	}
}

// step passes one event to the order machine and executes its actions.
func (l *loop) step(ctx context.Context, event orders.Event) {
	if e, ok := event.(orders.EngineReported); ok && e.Err == nil {
		l.storeReport(ctx, e.State)
	} else if ok && errors.Is(e.Err, syscall.ECONNREFUSED) {
		l.clearBackendLeaving()
	}
	for _, action := range l.machine.Step(time.Now(), event) {
		l.execute(ctx, action)
	}
	l.publish()
}

func (l *loop) execute(ctx context.Context, action orders.Action) {
	switch act := action.(type) {
	case orders.Serve:
		l.log.Info().Str("model", act.Ref.Model).Str("version", act.Ref.Version).Msg("serving")
		l.gate.serve(act.Ref)
	case orders.StopServing:
		l.log.Info().Msg("stopped serving, draining")
		l.gate.stop()
		go l.awaitDrained(ctx)
	case orders.WriteJournal:
		if err := writeJournal(l.cfg.ScratchDir, act.Journal); err != nil {
			l.log.Error().Err(err).Msg("writing the order journal failed")
		}
	case orders.Load:
		l.log.Info().Str("model", act.Order.Model).Str("version", act.Order.Version).
			Uint64("fence", act.Order.Fence).Msg("ordering engine to load")
		go l.order(ctx, "load", func(ctx context.Context) error { return l.engine.Load(ctx, act.Order) })
	case orders.Unload:
		l.log.Info().Uint64("fence", act.Fence).Msg("ordering engine to unload")
		go l.order(ctx, "unload", func(ctx context.Context) error { return l.engine.Unload(ctx, act.Fence) })
	case orders.QueryEngine:
		go l.query(ctx, act.ID)
	}
}

func (l *loop) awaitDrained(ctx context.Context) {
	select {
	case <-l.gate.drained():
		l.post(ctx, orders.Drained{})
	case <-ctx.Done():
	}
}

func (l *loop) order(ctx context.Context, kind string, give func(context.Context) error) {
	orderCtx, cancel := context.WithTimeout(ctx, l.cfg.LoadTimeout+orderMargin)
	defer cancel()
	err := give(orderCtx)
	result := "done"
	if err != nil {
		result = "failed"
		l.log.Warn().Err(err).Str("kind", kind).Msg("order to the engine failed")
	}
	l.metrics.orders.WithLabelValues(kind, result).Inc()
	l.post(ctx, orders.OrderDone{Err: err})
}

func (l *loop) query(ctx context.Context, id uint64) {
	queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	state, err := l.engine.State(queryCtx)
	l.post(ctx, orders.EngineReported{ID: id, State: state, Err: err})
}

func (l *loop) post(ctx context.Context, event orders.Event) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// applyConfiguration applies the assignment and the swarm members of the configuration.
func (l *loop) applyConfiguration(ctx context.Context) {
	l.feedChanged = l.feed.Changed()
	view := l.feed.View()
	l.transfers.SetWanted(wantedTransfers(view, l.cfg.VM))
	if assignment, ok := keyspace.Lookup[inventory.Assignment](view, inventory.PrefixAssign+l.cfg.VM); ok {
		l.step(ctx, orders.Assigned{Assignment: assignment})
	}
}

// applyStaged passes the staged weights to the order machine.
func (l *loop) applyStaged(ctx context.Context) {
	staged := map[orders.Ref]orders.Weights{}
	for _, p := range l.transfers.Status() {
		if p.Staged {
			staged[orders.Ref{Model: p.Model, Version: p.Version}] = orders.Weights{Path: p.Path, Digest: p.Digest}
		}
	}
	l.staged.Store(&staged)
	l.step(ctx, orders.StagedChanged{Staged: staged})
}

// publish stores the replica reports for the announcer. A change of phase
// triggers an announcement; progress waits for the next regular one.
func (l *loop) publish() {
	reports := l.replicaReports()
	l.replicas.Store(&reports)
	phases := map[orders.Ref]string{}
	for _, r := range reports {
		phases[orders.Ref{Model: r.Model, Version: r.Version}] = r.Phase
	}
	if !maps.Equal(phases, l.phases) {
		l.phases = phases
		l.announcer.ChangedUrgently()
	}
}

// wantedTransfers returns the versions assigned to vm with the members of
// their swarms.
func wantedTransfers(view *keyspace.View, vm string) []transfer.Wanted {
	own, ok := keyspace.Lookup[inventory.Assignment](view, inventory.PrefixAssign+vm)
	if !ok {
		return nil
	}
	var wanted []transfer.Wanted
	for _, want := range own.Wants {
		key := inventory.PrefixModel + want.Model + "@" + want.Version
		ref, ok := keyspace.Lookup[inventory.ModelVersion](view, key)
		if !ok {
			continue
		}
		wanted = append(wanted, transfer.Wanted{
			Ref:    ref,
			Prefer: want.Prefer,
			Peers:  swarmMembers(view, want.Model, want.Version),
		})
	}
	return wanted
}

func swarmMembers(view *keyspace.View, model, version string) []transfer.Peer {
	var peers []transfer.Peer
	for _, a := range keyspace.List[inventory.Assignment](view, inventory.PrefixAssign) {
		for _, want := range a.Wants {
			if want.Model == model && want.Version == version {
				peers = append(peers, transfer.Peer{VM: a.VM, Zone: a.Zone, Addr: a.Addr})
				break
			}
		}
	}
	return peers
}
