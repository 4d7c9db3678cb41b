package replica

import (
	"context"
	"fmt"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/consensus"
)

const (
	// maxBatchEvents limits the events handled before the next sync.
	maxBatchEvents = 1024
	// maxBatchBytes is the size of commands from which on a batch takes no more events.
	maxBatchBytes = 4 << 20
	// pendingCallTimeouts is the number of election timeouts after which pending
	// reads, and pending proposals of a former leader, fail.
	pendingCallTimeouts = 2
	// closeIdleTicks is the interval at which connections of idle peers are closed.
	closeIdleTicks = 200
)

// batch collects proposals and reads that arrived together. They share one
// sync, one message to each peer and one quorum confirmation.
type batch struct {
	proposals []*proposal
	bytes     int
	reads     []*read
}

func (n *Node) run() {
	defer close(n.loopDone)
	ticker := time.NewTicker(n.cfg.TickInterval)
	defer ticker.Stop()
	for {
		var b batch
		select {
		case <-n.stopped:
			return
		case <-ticker.C:
			n.tick()
		case e := <-n.events:
			n.handle(e, &b)
			n.drain(&b)
		}
		n.flush(&b)
		if err := n.processReady(); err != nil {
			n.fail(err)
			return
		}
		n.publish()
	}
}

// drain handles the events that are already queued.
func (n *Node) drain(b *batch) {
	for i := 0; i < maxBatchEvents && b.bytes < maxBatchBytes; i++ {
		select {
		case e := <-n.events:
			n.handle(e, b)
		default:
			return
		}
	}
}

func (n *Node) handle(e event, b *batch) {
	switch e := e.(type) {
	case messageEvent:
		m := e.message
		if m.Kind == consensus.KindJoinRequest || m.Kind == consensus.KindJoinNonce {
			n.transport.setAddr(m.From, m.Addr)
		}
		n.core.Step(m)
	case proposeEvent:
		b.proposals = append(b.proposals, e.proposal)
		b.bytes += len(e.proposal.data)
	case readEvent:
		e.read.startedAt = n.now
		b.reads = append(b.reads, e.read)
	case changeEvent:
		n.handleChange(e.change)
	case transferEvent:
		n.core.TransferLeadership(consensus.ServerID{})
	case snapshotTaken:
		n.saveSnapshot(e)
	case snapshotSaved:
		n.handleSnapshotSaved(e)
	}
}

func (n *Node) tick() {
	n.now++
	n.core.Tick()
	if n.core.State().Role == consensus.Leader {
		n.lastLeaderTick = n.now
	}
	if n.now-n.lastLeaderTick > n.pendingCallTicks() {
		n.applier.failWaiters()
	}
	n.retryReads()
	if n.now%closeIdleTicks == 0 {
		n.transport.closeIdlePeers(clock.Now())
	}
}

func (n *Node) pendingCallTicks() uint64 { return uint64(pendingCallTimeouts * n.cfg.ElectionTicks) }

// flush passes the batch to the core.
func (n *Node) flush(b *batch) {
	n.requestReads(b.reads)
	var taken []*proposal
	var commands [][]byte
	for _, p := range b.proposals {
		if p.taken.CompareAndSwap(false, true) {
			taken = append(taken, p)
			commands = append(commands, p.data)
		}
	}
	if len(taken) == 0 {
		return
	}
	index, term, err := n.core.Propose(commands...)
	if err != nil {
		unavailable := n.unavailableError()
		for _, p := range taken {
			p.done <- outcome{err: unavailable}
		}
		return
	}
	n.metrics.proposals.Add(float64(len(taken)))
	for i, p := range taken {
		n.applier.wait(index+uint64(i), term, p.done)
	}
}

// processReady persists, sends and applies the output of the core until there is
// none left.
func (n *Node) processReady() error {
	for n.core.HasReady() {
		rd := n.core.Ready()
		n.recordLeader()
		n.lastIndex.Store(n.core.State().Last)
		commits := n.commits(rd.Committed, clock.Now()) // before other servers hear of them
		n.send(rd.Early)
		if err := n.persistWithRetry(rd); err != nil {
			return err
		}
		n.send(rd.Messages)
		if rd.Snapshot != nil {
			n.metrics.snapshotInstalls.Inc()
			n.applier.push(applyItem{snapshot: rd.Snapshot})
		}
		if len(rd.Committed) > 0 {
			n.applier.push(applyItem{entries: rd.Committed, commits: commits})
		}
		n.core.Advance()
		n.answerReads(rd.ReadStates)
	}
	return nil
}

// diskRetryInterval is the delay between retries of a failed write. If the node
// leads, the others wait at most an election timeout for a new leader meanwhile.
const diskRetryInterval = 100 * time.Millisecond

// persistWithRetry calls persist, and retries it if RetryWrites is set, for example
// while the disk is full. All steps of persist are idempotent: they write the same
// bytes to the same positions.
func (n *Node) persistWithRetry(rd consensus.Ready) error {
	for {
		err := n.persist(rd)
		if err == nil || !n.cfg.RetryWrites {
			return err
		}
		n.cfg.Logger.Error().Err(err).Msg("write to the log failed; retrying")
		select {
		case <-n.stopped:
			return err
		case <-time.After(diskRetryInterval):
		}
	}
}

// persist writes the state in rd that must be durable, in an order that leaves
// a valid state if the server crashes in between.
func (n *Node) persist(rd consensus.Ready) error {
	if rd.HardState != nil {
		if err := n.store.SaveHardState(*rd.HardState); err != nil {
			return fmt.Errorf("save term and vote: %w", err)
		}
	}
	if rd.Snapshot != nil {
		if err := n.store.SaveSnapshot(*rd.Snapshot); err != nil {
			return fmt.Errorf("save snapshot: %w", err)
		}
		if err := n.store.Reset(rd.Snapshot.Index); err != nil {
			return fmt.Errorf("reset log: %w", err)
		}
	}
	if len(rd.Entries) == 0 {
		return nil
	}
	n.metrics.syncs.Inc()
	start := time.Now()
	err := n.store.Append(rd.Entries)
	n.recordSync(time.Since(start))
	if err != nil {
		return fmt.Errorf("append to log: %w", err)
	}
	return nil
}

// slowSync is the duration from which on a synced write is logged as slow. It is half
// an election timeout of 500 ms, after which other members start an election.
const slowSync = 250 * time.Millisecond

func (n *Node) recordSync(duration time.Duration) {
	n.metrics.syncSeconds.Observe(duration.Seconds())
	if duration >= slowSync {
		n.cfg.Logger.Warn().Dur("took_ms", duration).Msg("disk is slow")
	}
}

func (n *Node) send(messages []consensus.Message) {
	if len(messages) == 0 {
		return
	}
	now := clock.Now()
	for _, m := range messages {
		n.transport.send(m, now)
	}
}

// saveSnapshot writes a snapshot on a separate goroutine, so that it does not
// block the event loop.
func (n *Node) saveSnapshot(e snapshotTaken) {
	snapshot, ok := n.core.SnapshotAt(e.index, e.data)
	if !ok {
		return
	}
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		err := n.store.SaveSnapshot(snapshot)
		_ = n.post(context.Background(), snapshotSaved{snapshot: snapshot, err: err})
	}()
}

func (n *Node) handleSnapshotSaved(e snapshotSaved) {
	if e.err != nil && n.cfg.RetryWrites {
		n.cfg.Logger.Error().Err(e.err).Msg("snapshot not saved; log not compacted")
		return
	}
	if e.err != nil {
		n.fail(fmt.Errorf("save snapshot: %w", e.err))
		return
	}
	n.metrics.snapshots.Inc()
	n.core.Compact(e.snapshot)
	err := n.store.Compact(e.snapshot.Index)
	if err != nil && n.cfg.RetryWrites {
		n.cfg.Logger.Error().Err(err).Msg("old log segments not removed; retrying after the next snapshot")
		return
	}
	if err != nil {
		n.fail(fmt.Errorf("compact log: %w", err))
	}
}
