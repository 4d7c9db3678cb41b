package entry

import (
	"context"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/pause"
	"lynxgate.dev/lynxgate/internal/routing"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// watchRetry is waited before a lost watch is opened again.
const watchRetry = 500 * time.Millisecond

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
		pause.For(ctx, watchRetry)
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
