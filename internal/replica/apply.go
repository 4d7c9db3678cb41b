package replica

import (
	"context"
	"sync"

	"lynxgate.dev/lynxgate/internal/consensus"
)

// maxLogBytes is the total size of applied commands from which on a snapshot is
// taken regardless of their number, since the log is kept in memory.
const maxLogBytes = 16 << 20

// applyItem is a snapshot to restore or entries to apply.
type applyItem struct {
	snapshot *consensus.Snapshot
	entries  []consensus.Entry
	// commits tells when the entries of each term were committed.
	commits map[uint64]Commit
}

// waiter is a proposer that waits for the entry at one index. If an entry of
// another term is committed there, the proposed entry was replaced and is never
// applied.
type waiter struct {
	term uint64
	done chan outcome
}

// applier applies committed entries on its own goroutine. Its queue needs no
// bound, since the log keeps the queued entries in memory anyway.
type applier struct {
	node *Node
	fsm  FSM
	wake chan struct{}

	mu      sync.Mutex
	queue   []applyItem
	waiters map[uint64]waiter
	applied uint64
	// watchers maps channels to indexes; a channel is closed once its index is applied.
	watchers map[chan struct{}]uint64

	snapshotIndex uint64 // of the last snapshot taken or restored
	snapshotBytes int    // size of the commands applied since then
}

func newApplier(n *Node, fsm FSM, applied uint64) *applier {
	return &applier{
		node: n, fsm: fsm, wake: make(chan struct{}, 1),
		waiters: map[uint64]waiter{}, watchers: map[chan struct{}]uint64{},
		applied: applied, snapshotIndex: applied,
	}
}

func (a *applier) push(item applyItem) {
	a.mu.Lock()
	a.queue = append(a.queue, item)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) run() {
	for {
		select {
		case <-a.wake:
		case <-a.node.stopped:
			return
		}
		a.mu.Lock()
		queue := a.queue
		a.queue = nil
		a.mu.Unlock()
		for _, item := range queue {
			if err := a.apply(item); err != nil {
				a.node.fail(err)
				return
			}
		}
	}
}

func (a *applier) apply(item applyItem) error {
	if item.snapshot != nil {
		return a.restore(*item.snapshot)
	}
	for _, e := range item.entries {
		var result any
		if e.Kind == consensus.EntryCommand {
			result = a.applyCommand(e, item.commits[e.Term])
			a.snapshotBytes += len(e.Data)
		}
		a.finish(e, result)
	}
	return a.maybeSnapshot()
}

func (a *applier) applyCommand(e consensus.Entry, c Commit) any {
	if dated, ok := a.fsm.(DatedFSM); ok {
		return dated.ApplyCommitted(e.Index, e.Data, c)
	}
	return a.fsm.Apply(e.Index, e.Data)
}

func (a *applier) restore(s consensus.Snapshot) error {
	if s.Index > consensus.BootstrapIndex {
		if err := a.fsm.Restore(s.Data); err != nil {
			return err
		}
	}
	a.snapshotIndex, a.snapshotBytes = s.Index, 0
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, w := range a.waiters {
		if index <= s.Index {
			w.done <- outcome{err: ErrResultUnknown}
			delete(a.waiters, index)
		}
	}
	a.advance(s.Index)
	return nil
}

// finish advances the applied index to an entry and answers its proposer.
func (a *applier) finish(e consensus.Entry, result any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w, ok := a.waiters[e.Index]; ok {
		delete(a.waiters, e.Index)
		if w.term == e.Term {
			w.done <- outcome{result: result, index: e.Index}
		} else {
			w.done <- outcome{err: a.node.notLeaderError()}
		}
	}
	a.advance(e.Index)
}

// advance sets the applied index. The caller holds mu.
func (a *applier) advance(index uint64) {
	a.applied = index
	a.node.metrics.appliedIndex.Set(float64(index))
	for ch, want := range a.watchers {
		if want <= index {
			close(ch)
			delete(a.watchers, ch)
		}
	}
}

// maybeSnapshot takes a snapshot if enough entries were applied since the last one.
func (a *applier) maybeSnapshot() error {
	applied := a.appliedIndex()
	if applied-a.snapshotIndex < uint64(a.node.cfg.SnapshotEntries) && a.snapshotBytes < maxLogBytes {
		return nil
	}
	data, err := a.fsm.Snapshot()
	if err != nil {
		return err
	}
	a.snapshotIndex, a.snapshotBytes = applied, 0
	return ignoreStopped(a.node.post(context.Background(), snapshotTaken{index: applied, data: data}))
}

func (a *applier) appliedIndex() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied
}

// wait registers a proposer of the entry at index.
func (a *applier) wait(index, term uint64, done chan outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old, ok := a.waiters[index]; ok {
		// The earlier waiter's entry has an earlier term and was replaced.
		old.done <- outcome{err: a.node.notLeaderError()}
	}
	a.waiters[index] = waiter{term: term, done: done}
}

// failWaiters returns ErrResultUnknown to all waiting proposers.
func (a *applier) failWaiters() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, w := range a.waiters {
		w.done <- outcome{err: ErrResultUnknown}
		delete(a.waiters, index)
	}
}

func (a *applier) waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiters)
}

// watch returns a channel that is closed once index is applied, or nil if it
// already is.
func (a *applier) watch(index uint64) chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.applied >= index {
		return nil
	}
	ch := make(chan struct{})
	a.watchers[ch] = index
	return ch
}

func (a *applier) unwatch(ch chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.watchers, ch)
}
