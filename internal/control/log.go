// Package control implements the control server: it proposes operators' changes,
// the announcements of daemons, plans and claims to the replicated log, and
// serves the resulting configuration to subscribers.
//
// State: the state machine is owned by the goroutine that applies the log; it
// publishes immutable views. The registry and all other state of the leader are
// owned by one goroutine of Server.Run (the loop). Calls from other goroutines
// reach the loop as typed events.
//
// Messages: rpc.Control and rpc.Feed from daemons, admin.Backend from the
// operators' API, state.Command to the log.
package control

import (
	"context"

	"storj.io/drpc"

	"lynxgate.dev/lynxgate/internal/replica"
)

// Log is the part of a replicated log that the control server uses. *replica.Node
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
	// Done is closed when the log has stopped; Err returns the cause.
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
