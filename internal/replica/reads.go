package replica

import "lynxgate.dev/lynxgate/internal/consensus"

// requestReads requests one read index for all of reads.
func (n *Node) requestReads(reads []*read) {
	if len(reads) == 0 {
		return
	}
	n.readContext++
	for _, r := range reads {
		r.requestedAt = n.now
	}
	n.reads[n.readContext] = reads
	// Without a leader the reads stay pending, and retryReads requests them again.
	_ = n.core.ReadIndex(n.readContext)
}

// answerReads returns confirmed indexes to the callers. Rejected reads are retried
// at a later tick.
func (n *Node) answerReads(states []consensus.ReadState) {
	for _, state := range states {
		if state.Reject {
			continue
		}
		for _, r := range n.reads[state.Context] {
			r.done <- outcome{index: state.Index}
		}
		delete(n.reads, state.Context)
	}
}

// retryReads requests a read index again for reads without an answer after
// HeartbeatTicks, and fails the reads that have been pending for pendingCallTicks.
func (n *Node) retryReads() {
	var retries []*read
	for context, reads := range n.reads {
		if n.now-reads[0].requestedAt < uint64(n.cfg.HeartbeatTicks) {
			continue
		}
		delete(n.reads, context)
		for _, r := range reads {
			if n.now-r.startedAt > n.pendingCallTicks() {
				r.done <- outcome{err: ErrNoQuorum}
				continue
			}
			retries = append(retries, r)
		}
	}
	n.requestReads(retries)
}
