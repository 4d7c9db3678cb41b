package agent

import (
	"context"
	"time"

	"lynxgate.dev/lynxgate/internal/engine"
	"lynxgate.dev/lynxgate/internal/orders"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const (
	// loadUnknown is the load of a backend server that reports none.
	loadUnknown = -1
	// maxCacheEvents is the number of cache events kept for watches that have
	// not sent them yet.
	maxCacheEvents = 256
	// plainCheckInterval is the interval between connection probes of a plain
	// service.
	plainCheckInterval = time.Second
)

// report is the state last reported by the backend server. It is immutable; a
// new report replaces it.
type report struct {
	load        float64
	concurrency int
	cacheEvents []*rpc.CacheEvent
}

// storeReport stores the engine's load and concurrency, and fetches new cache
// events.
func (l *loop) storeReport(ctx context.Context, state engine.State) {
	old := l.report.Load()
	next := &report{
		load:        state.Load,
		concurrency: state.Concurrency,
		cacheEvents: old.cacheEvents,
	}
	l.report.Store(next)
	if old.concurrency != next.concurrency {
		l.watchers.wake()
	}
	if l.machine.Serving() != (orders.Ref{}) {
		go l.fetchCacheEvents(ctx)
	}
}

func (l *loop) fetchCacheEvents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	old := l.report.Load()
	var since uint64
	if n := len(old.cacheEvents); n > 0 {
		since = old.cacheEvents[n-1].Seq
	}
	events, err := l.engine.CacheEvents(ctx, since)
	if err != nil || len(events) == 0 {
		return
	}
	next := *old
	next.cacheEvents = appendCacheEvents(old.cacheEvents, events)
	l.report.CompareAndSwap(old, &next)
}

func appendCacheEvents(kept []*rpc.CacheEvent, events []engine.CacheEvent) []*rpc.CacheEvent {
	out := append([]*rpc.CacheEvent{}, kept...)
	for _, e := range events {
		out = append(out, &rpc.CacheEvent{Seq: e.Seq, PrefixHash: e.PrefixHash, Evicted: e.Evicted})
	}
	return out[max(0, len(out)-maxCacheEvents):]
}

// runPlain runs the agent of a plain service. The gate is open while the
// service accepts connections.
func (a *Agent) runPlain(ctx context.Context) error {
	go func() { _ = a.announcer.Run(ctx) }()
	ticker := time.NewTicker(plainCheckInterval)
	defer ticker.Stop()
	up := false
	for {
		reachable := a.backend.reachable(ctx)
		if reachable != up {
			a.setPlainUp(reachable)
			up = reachable
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.leaveRequest:
			a.announcer.Changed()
		}
	}
}

func (a *Agent) setPlainUp(up bool) {
	if up {
		a.log.Info().Msg("serving")
		a.gate.serve(orders.Ref{})
		return
	}
	a.log.Warn().Msg("backend server does not accept connections")
	a.clearBackendLeaving()
	a.gate.stop()
}
