package replica

import "lynxgate.dev/lynxgate/internal/consensus"

// askReads starts one round of confirmation for all of reads.
func (n *Node) askReads(reads []*read) {
	if len(reads) == 0 {
		return
	}
	n.readContext++
	for _, r := range reads {
		r.asked = n.now
	}
	n.reads[n.readContext] = reads
	// Without a leader the reads wait here, to be asked again by tickReads.
	_ = n.core.ReadIndex(n.readContext)
}

// answerReads hands confirmed indexes to the callers. Refused reads are asked
// again at a later tick.
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

// tickReads asks reads again whose answer is overdue, and gives up those that
// have waited for too long.
func (n *Node) tickReads() {
	var again []*read
	for context, reads := range n.reads {
		if n.now-reads[0].asked < uint64(n.cfg.HeartbeatTicks) {
			continue
		}
		delete(n.reads, context)
		for _, r := range reads {
			if n.now-r.begun > n.giveUpTicks() {
				r.done <- outcome{err: ErrNoQuorum}
				continue
			}
			again = append(again, r)
		}
	}
	n.askReads(again)
}
