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

// watchRetryDelay is the wait before a lost watch is reopened.
const watchRetryDelay = 500 * time.Millisecond

// watch applies the states of one agent to the table until ctx is done.
func (r *router) watch(ctx context.Context, vm, addr string) {
	reported := sync.OnceFunc(func() { r.unreported.Add(-1) })
	defer reported()
	for ctx.Err() == nil {
		r.followAgent(ctx, vm, addr, reported)
		if ctx.Err() != nil {
			return
		}
		r.step(ctx, routing.WatchLost{VM: vm})
		reported()
		r.wakeCapacity()
		pause.For(ctx, watchRetryDelay)
	}
}

// followAgent opens a watch and applies the agent's states until it fails.
func (r *router) followAgent(ctx context.Context, vm, addr string, reported func()) {
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
		reported()
		if last == nil || changesCapacity(last, state) {
			r.wakeCapacity()
		}
		last = state
	}
}
