// Package control is the control server: it carries operators' changes, the
// announcements of daemons, plans and claims into the replicated log, and
// feeds the configuration that results to subscribers.
//
// State: the state machine belongs to the goroutine that applies the log; it
// publishes immutable views. The registry and all that only the leader keeps
// belong to the one goroutine of Server.Run (the loop). Calls of other
// goroutines reach the loop as typed events.
//
// Messages: rpc.Control and rpc.Feed from daemons, admin.Backend from the
// operators' API, state.Command to the log.
package control

import (
	"context"

	"storj.io/drpc"

	"lynxgate.dev/lynxgate/internal/replica"
)

// Log is what the control server needs of a replicated log; *replica.Node
// implements it.
type Log interface {
	Register(mux drpc.Mux) error
	Propose(ctx context.Context, data []byte) (any, error)
	ReadIndex(ctx context.Context) (uint64, error)
	WaitApplied(ctx context.Context, index uint64) error
	Status() replica.Status
	AddLearner(ctx context.Context, m replica.Member) error
	Promote(ctx context.Context, m replica.Member) error
	Remove(ctx context.Context, m replica.Member) error
	Stop(ctx context.Context) error
	// Done is closed when the log has stopped; Err says why.
	Done() <-chan struct{}
	Err() error
}

// OpenLog starts the log that drives a state machine.
type OpenLog func(replica.FSM) (Log, error)

// OpenReplica opens this server's replica of the log.
func OpenReplica(cfg replica.Config) OpenLog {
	return func(fsm replica.FSM) (Log, error) {
		node, err := replica.Start(cfg, fsm)
		if err != nil {
			return nil, err
		}
		return node, nil
	}
}
