package agent

import (
	"context"
	"time"

	"lynxgate.dev/lynxgate/internal/engine"
	"lynxgate.dev/lynxgate/internal/orders"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const (
	// loadUnknown stands for a backend server that reports no load.
	loadUnknown = -1
	// maxCacheEvents kept for watches that have not seen them yet.
	maxCacheEvents = 256
	// plainCheckInterval is the time between checks of a plain service.
	plainCheckInterval = time.Second
)

// report is what the backend server last said of itself. It is replaced
// whole, never changed.
type report struct {
	load        float64
	concurrency int
	cacheEvents []*rpc.CacheEvent
}

// keepReport takes over the engine's load and fetches new cache events.
func (l *loop) keepReport(ctx context.Context, state engine.State) {
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

// runPlain stands for a plain service: it is served while it accepts
// connections.
func (a *Agent) runPlain(ctx context.Context) error {
	go func() { _ = a.announcer.Run(ctx) }()
	ticker := time.NewTicker(plainCheckInterval)
	defer ticker.Stop()
	up := false
	for {
		changed := a.feed.Changed()
		reachable := a.backend.reachable(ctx)
		if reachable != up {
			a.setPlainUp(reachable)
			up = reachable
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-changed:
			a.announcer.Changed()
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
	a.backendEnded()
	a.gate.stop()
}
