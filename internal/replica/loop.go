package replica

import (
	"context"
	"fmt"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/consensus"
)

const (
	// maxBatchEvents bounds the events handled before the next sync.
	maxBatchEvents = 1024
	// maxBatchBytes bounds the commands that share one sync.
	maxBatchBytes = 4 << 20
	// giveUpTimeouts is after how many election timeouts without a leader
	// waiting calls are given up.
	giveUpTimeouts = 2
	// sweepTicks is the time between sweeps of unused connections.
	sweepTicks = 200
)

// batch collects the proposals and reads that arrived together: they share
// one sync, one message to each peer and one round of confirmation.
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

// drain handles what else has arrived without waiting for more.
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
		if m.Kind == consensus.KindHello || m.Kind == consensus.KindWelcome {
			n.transport.learn(m.From, m.Addr)
		}
		n.core.Step(m)
	case proposeEvent:
		b.proposals = append(b.proposals, e.proposal)
		b.bytes += len(e.proposal.data)
	case readEvent:
		e.read.begun = n.now
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
		n.notLeaderSince = n.now
	}
	if n.now-n.notLeaderSince > n.giveUpTicks() {
		n.applier.failWaiters()
	}
	n.tickReads()
	if n.now%sweepTicks == 0 {
		n.transport.sweep(clock.Now())
	}
}

func (n *Node) giveUpTicks() uint64 { return uint64(giveUpTimeouts * n.cfg.ElectionTicks) }

// flush hands the batch to the core.
func (n *Node) flush(b *batch) {
	n.askReads(b.reads)
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
		refused := n.refusal()
		for _, p := range taken {
			p.done <- outcome{err: refused}
		}
		return
	}
	n.metrics.proposals.Add(float64(len(taken)))
	for i, p := range taken {
		n.applier.wait(index+uint64(i), term, p.done)
	}
}

// processReady carries out what the core asks for, until it asks no more.
func (n *Node) processReady() error {
	for n.core.HasReady() {
		rd := n.core.Ready()
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
			n.applier.push(applyItem{entries: rd.Committed})
		}
		n.core.Advance()
		n.answerReads(rd.ReadStates)
	}
	return nil
}

// diskRetryInterval is the pause between tries at a disk that refuses writes; a
// write that succeeds late costs the others an election timeout at most.
const diskRetryInterval = 100 * time.Millisecond

// persistWithRetry is persist on a disk that may be full for a while. All steps
// of persist may be repeated: they write the same bytes to the same places.
func (n *Node) persistWithRetry(rd consensus.Ready) error {
	for {
		err := n.persist(rd)
		if err == nil || !n.cfg.RetryDisk {
			return err
		}
		n.cfg.Logger.Error().Err(err).Msg("disk refuses the log; trying again")
		select {
		case <-n.stopped:
			return err
		case <-time.After(diskRetryInterval):
		}
	}
}

// persist makes the durable part of rd durable, in the order that a crash in
// between leaves a state the protocol allows.
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
	began := time.Now()
	err := n.store.Append(rd.Entries)
	n.noteSync(time.Since(began))
	if err != nil {
		return fmt.Errorf("append to log: %w", err)
	}
	return nil
}

// slowSync is from when a synced write is told in the log: half an election timeout
// of 500 ms, beyond which others would stand for election.
const slowSync = 250 * time.Millisecond

func (n *Node) noteSync(took time.Duration) {
	n.metrics.syncSeconds.Observe(took.Seconds())
	if took >= slowSync {
		n.cfg.Logger.Warn().Dur("took_ms", took).Msg("disk is slow")
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

// saveSnapshot writes a snapshot beside the loop, which goes on meanwhile.
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
	if e.err != nil && n.cfg.RetryDisk {
		n.cfg.Logger.Error().Err(e.err).Msg("snapshot not saved; the log is kept")
		return
	}
	if e.err != nil {
		n.fail(fmt.Errorf("save snapshot: %w", e.err))
		return
	}
	n.metrics.snapshots.Inc()
	n.core.Compact(e.snapshot)
	err := n.store.Compact(e.snapshot.Index)
	if err != nil && n.cfg.RetryDisk {
		n.cfg.Logger.Error().Err(err).Msg("old log segments not removed; tried again with the next snapshot")
		return
	}
	if err != nil {
		n.fail(fmt.Errorf("compact log: %w", err))
	}
}
