package entry

import (
	"context"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// watchRetry is waited before a lost watch is opened again.
const watchRetry = 500 * time.Millisecond

// watches keeps one watch open on every agent of the entry's subset.
type watches struct {
	entry *Entry

	mu sync.Mutex
	// open maps VMs to the watch on their agent.
	open map[string]*watch
}

// watch is one open watch.
type watch struct {
	member inventory.Member
	cancel context.CancelFunc
}

func newWatches(e *Entry) *watches {
	return &watches{entry: e, open: map[string]*watch{}}
}

// update opens and closes watches as members come, go or move.
func (w *watches) update(ctx context.Context, view *keyspace.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	present := map[string]bool{}
	for _, m := range keyspace.List[inventory.Member](view, inventory.PrefixMember) {
		if m.State == inventory.MemberDown {
			continue
		}
		present[m.VM] = true
		w.ensure(ctx, m)
	}
	for vm, open := range w.open {
		if !present[vm] {
			open.cancel()
			delete(w.open, vm)
			w.entry.backends.remove(vm)
		}
	}
}

func (w *watches) ensure(ctx context.Context, m inventory.Member) {
	w.entry.backends.setMember(m)
	if open, ok := w.open[m.VM]; ok {
		if open.member.Addr == m.Addr {
			return
		}
		open.cancel()
	}
	watchCtx, cancel := context.WithCancel(ctx)
	w.open[m.VM] = &watch{member: m, cancel: cancel}
	go w.entry.watchAgent(watchCtx, m)
}

// watchAgent follows the state of one agent until ctx is done.
func (e *Entry) watchAgent(ctx context.Context, m inventory.Member) {
	for ctx.Err() == nil {
		e.followAgent(ctx, m)
		if ctx.Err() != nil {
			return
		}
		e.backends.lost(m.VM)
		sleep(ctx, watchRetry)
	}
}

// followAgent takes over states of the agent until the watch is lost.
func (e *Entry) followAgent(ctx context.Context, m inventory.Member) {
	conn, err := rpcconn.Dial(ctx, m.Addr)
	if err != nil {
		return
	}
	defer conn.Close()
	stream, err := rpc.NewDRPCDispatchClient(conn).Watch(ctx, &rpc.WatchRequest{Entry: e.cfg.Name})
	if err != nil {
		return
	}
	defer stream.Close()
	for {
		state, err := stream.Recv()
		if err != nil {
			return
		}
		if state.Vm != m.VM {
			return
		}
		e.backends.setState(state)
	}
}
