package consensus

// Limits of what a leader sends before it is acknowledged.
const (
	// maxAppendBytes limits the entries of one message; one entry always fits.
	maxAppendBytes = 512 << 10
	// entryOverhead is the approximate encoded size of an entry without its data.
	entryOverhead = 16
	// maxInflight limits the unacknowledged messages per follower.
	maxInflight = 64
)

// progressState is the mode in which a leader replicates to a follower.
type progressState uint8

const (
	// stateProbe: the match index is not known; one message per reply or heartbeat.
	stateProbe progressState = iota
	// stateReplicate: messages are sent without waiting for acknowledgements.
	stateReplicate
	// stateSnapshot: a snapshot is in flight; no entries are sent.
	stateSnapshot
)

// progress is a leader's view of one follower.
type progress struct {
	state      progressState
	matchIndex uint64
	nextIndex  uint64
	// probeSent pauses stateProbe until the next reply.
	probeSent bool
	inflight  []uint64 // last index of each unacknowledged message
	// snapshotIndex and snapshotTick are the index and send time of the snapshot in flight.
	snapshotIndex uint64
	snapshotTick  uint64
	// active means contact since the last quorum check; contactTick is the time of the last
	// contact, if contacted is set.
	active      bool
	contactTick uint64
	contacted   bool
	// addedTick is when this leader added the peer.
	addedTick uint64
	// readRound is the latest read round the peer answered; commitSent is the
	// highest commit index sent by sendCommit.
	readRound  uint64
	commitSent uint64
}

func (p *progress) paused() bool {
	switch p.state {
	case stateProbe:
		return p.probeSent
	case stateReplicate:
		return len(p.inflight) >= maxInflight
	}
	return true
}

// acked records that entries up to index match. It reports whether the match index advanced.
func (p *progress) acked(index uint64) bool {
	p.probeSent = false
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	p.nextIndex = max(p.nextIndex, index+1)
	if index <= p.matchIndex {
		return false
	}
	p.matchIndex = index
	return true
}

// lowerMatch lowers the match index of a peer that rejects entries it had acknowledged: its disk
// has lost them undetected. Committed entries stay committed. If the rejection was only
// delayed, some entries are sent twice.
func (p *progress) lowerMatch(above uint64) {
	p.matchIndex = min(p.matchIndex, above)
	p.commitSent = min(p.commitSent, above)
}

func (p *progress) toProbe(next uint64) {
	p.state = stateProbe
	p.probeSent = false
	p.inflight = nil
	p.nextIndex = max(next, p.matchIndex+1)
}

func (p *progress) toReplicate() {
	p.state = stateReplicate
	p.inflight = nil
	p.nextIndex = p.matchIndex + 1
}
