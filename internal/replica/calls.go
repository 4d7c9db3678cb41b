package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lynxgate.dev/lynxgate/internal/consensus"
)

// MaxCommandBytes is the largest command that can be proposed.
const MaxCommandBytes = 1 << 20

// ErrTooLarge rejects a command larger than MaxCommandBytes.
var ErrTooLarge = errors.New("command is too large")

// Propose appends a command to the log and returns the result of applying it
// on this server. After ErrResultUnknown the command may or may not be applied
// later; after any other error it never is.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > MaxCommandBytes {
		return nil, ErrTooLarge
	}
	p := &proposal{data: data, done: make(chan outcome, 1)}
	if err := n.post(ctx, proposeEvent{proposal: p}); err != nil {
		return nil, err
	}
	select {
	case out := <-p.done:
		return out.result, out.err
	case <-ctx.Done():
		if p.taken.CompareAndSwap(false, true) {
			return nil, ctx.Err() // withdrawn before the event loop took it
		}
		return nil, fmt.Errorf("%w: %w", ErrResultUnknown, ctx.Err())
	case <-n.stopped:
		return n.resultAfterStop(p)
	}
}

// resultAfterStop returns the result of a proposal on a stopped node.
func (n *Node) resultAfterStop(p *proposal) (any, error) {
	select {
	case out := <-p.done:
		return out.result, out.err
	default:
	}
	if p.taken.CompareAndSwap(false, true) {
		return nil, ErrStopped
	}
	return nil, fmt.Errorf("%w: %w", ErrResultUnknown, ErrStopped)
}

// ReadIndex returns a log index such that a state applied up to it reflects
// every command accepted before the call. The leader confirms its leadership with
// a majority; a follower forwards the call to the leader.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	r := &read{done: make(chan outcome, 1)}
	if err := n.post(ctx, readEvent{read: r}); err != nil {
		return 0, err
	}
	select {
	case out := <-r.done:
		return out.index, out.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-n.stopped:
		return 0, ErrStopped
	}
}

// WaitApplied returns once the entry at index is applied on this server.
func (n *Node) WaitApplied(ctx context.Context, index uint64) error {
	ch := n.applier.watch(index)
	if ch == nil {
		return nil
	}
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		n.applier.unwatch(ch)
		return ctx.Err()
	case <-n.stopped:
		n.applier.unwatch(ch)
		return ErrStopped
	}
}

// AddLearner adds a server as a learner. It waits until the server has asked to
// join or ctx is done. The address is the one the server announces. Adding an
// existing member changes nothing.
func (n *Node) AddLearner(ctx context.Context, member Member) error {
	return n.change(ctx, changeAddLearner, member.Name)
}

// Promote makes a learner a voter once it has caught up.
func (n *Node) Promote(ctx context.Context, member Member) error {
	return n.change(ctx, changePromote, member.Name)
}

// Remove removes a member.
func (n *Node) Remove(ctx context.Context, member Member) error {
	return n.change(ctx, changeRemove, member.Name)
}

// change requests a membership change, and repeats the request while its
// preconditions are not met.
func (n *Node) change(ctx context.Context, kind changeKind, name string) error {
	for {
		err := n.changeOnce(ctx, kind, name)
		if !isRetryable(kind, err) {
			return translateChangeError(err)
		}
		select {
		case <-time.After(n.cfg.TickInterval):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", translateChangeError(err), ctx.Err())
		case <-n.stopped:
			return ErrStopped
		}
	}
}

func isRetryable(kind changeKind, err error) bool {
	switch {
	case errors.Is(err, consensus.ErrChangePending), errors.Is(err, consensus.ErrNotReady), errors.Is(err, consensus.ErrNotCaughtUp):
		return true
	case errors.Is(err, consensus.ErrUnknownServer):
		return kind == changeAddLearner
	}
	return false
}

func translateChangeError(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNoChange):
		return nil
	case errors.Is(err, consensus.ErrUnknownServer):
		return ErrUnknownServer
	case errors.Is(err, consensus.ErrChangePending), errors.Is(err, consensus.ErrNotReady):
		return ErrChangePending
	}
	return err
}

func (n *Node) changeOnce(ctx context.Context, kind changeKind, name string) error {
	c := &change{kind: kind, name: name, done: make(chan outcome, 1)}
	if err := n.post(ctx, changeEvent{change: c}); err != nil {
		return err
	}
	select {
	case out := <-c.done:
		return out.err
	case <-ctx.Done():
		if c.taken.CompareAndSwap(false, true) {
			return ctx.Err()
		}
		return fmt.Errorf("%w: %w", ErrResultUnknown, ctx.Err())
	case <-n.stopped:
		if c.taken.CompareAndSwap(false, true) {
			return ErrStopped
		}
		return fmt.Errorf("%w: %w", ErrResultUnknown, ErrStopped)
	}
}

// handleChange proposes a membership change. It runs on the event loop.
func (n *Node) handleChange(c *change) {
	if !c.taken.CompareAndSwap(false, true) {
		return
	}
	propose := map[changeKind]func(string) (uint64, uint64, error){
		changeAddLearner: n.core.ProposeLearner,
		changePromote:    n.core.ProposePromote,
		changeRemove:     n.core.ProposeRemove,
	}[c.kind]
	index, term, err := propose(c.name)
	if errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrTransferring) {
		err = n.unavailableError()
	}
	if err != nil {
		c.done <- outcome{err: err}
		return
	}
	n.applier.wait(index, term, c.done)
}

// unavailableError returns the error for a call that only the leader can serve.
// It runs on the event loop.
func (n *Node) unavailableError() error {
	state := n.core.State()
	if state.Leader.IsZero() {
		return ErrNoQuorum
	}
	if state.Leader == state.ID {
		return &NotLeaderError{} // transferring leadership
	}
	return &NotLeaderError{Leader: n.leaderAddr(state)}
}

// notLeaderError returns the error for a proposal whose entry was replaced by
// one of another leader.
func (n *Node) notLeaderError() error {
	status := n.status.Load()
	if status.LeaderName == status.Name {
		return &NotLeaderError{}
	}
	return &NotLeaderError{Leader: status.LeaderAddr}
}
