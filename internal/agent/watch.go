package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// HeartbeatInterval is the maximum time between two states on a watch.
const HeartbeatInterval = 2 * time.Second

// watchers wakes the goroutines of all open watches when the state changes.
type watchers struct {
	mu    sync.Mutex
	woken chan struct{}
	count atomic.Int64
}

func newWatchers() *watchers {
	return &watchers{woken: make(chan struct{})}
}

// wake makes every watch send the state immediately.
func (w *watchers) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.woken)
	w.woken = make(chan struct{})
}

// next returns a channel that is closed by the next call of wake.
func (w *watchers) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.woken
}

// Watch implements rpc.DRPCDispatchServer: it sends the agent's state on
// every change and at least every HeartbeatInterval.
func (a *Agent) Watch(_ *rpc.WatchRequest, stream rpc.DRPCDispatch_WatchStream) error {
	a.watchers.count.Add(1)
	defer a.watchers.count.Add(-1)
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	var cacheSeq uint64
	for {
		woken := a.watchers.next()
		state := a.agentState(cacheSeq)
		cacheSeq = lastCacheSeq(state, cacheSeq)
		if err := stream.Send(state); err != nil {
			return err
		}
		select {
		case <-woken:
		case <-ticker.C:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// agentState returns the state sent to entries, with the cache events after
// cacheSeq.
func (a *Agent) agentState(cacheSeq uint64) *rpc.AgentState {
	gate := a.gate.state()
	report := a.report.Load()
	state := &rpc.AgentState{
		Vm:           a.cfg.VM,
		Incarnation:  a.incarnation,
		Seq:          a.stateSeq.Add(1),
		Service:      a.cfg.Service,
		Leaving:      gate.leaving || gate.backendLeaving,
		InFlight:     uint32(gate.inFlight),
		ReportedLoad: report.load,
		Concurrency:  uint32(report.concurrency),
	}
	if gate.open {
		state.Live = []*rpc.LiveVersion{{Model: gate.ref.Model, Version: gate.ref.Version}}
	}
	for _, event := range report.cacheEvents {
		if event.Seq > cacheSeq {
			state.CacheEvents = append(state.CacheEvents, event)
		}
	}
	return state
}

func lastCacheSeq(state *rpc.AgentState, seq uint64) uint64 {
	for _, event := range state.CacheEvents {
		seq = max(seq, event.Seq)
	}
	return seq
}
