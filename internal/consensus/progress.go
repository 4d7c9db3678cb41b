package consensus

// Limits of what a leader sends ahead of acknowledgements.
const (
	// maxAppendBytes bounds the entries of one message; one entry always fits.
	maxAppendBytes = 512 << 10
	// entryOverhead is the encoded size of an entry besides its data, about.
	entryOverhead = 16
	// maxInflight bounds the unacknowledged messages per follower.
	maxInflight = 64
)

// progressState is how a leader treats one follower.
type progressState uint8

const (
	// stateProbe: the match is not known; one message per reply or heartbeat.
	stateProbe progressState = iota
	// stateReplicate: messages are sent ahead of acknowledgements.
	stateReplicate
	// stateSnapshot: a snapshot is under way; nothing else is sent.
	stateSnapshot
)

// progress is what a leader knows of one follower.
type progress struct {
	state      progressState
	matchIndex uint64
	nextIndex  uint64
	// probeSent pauses stateProbe until the next reply.
	probeSent bool
	inflight  []uint64 // last index of each unacknowledged message
	// snapshotIndex and snapshotTick are of the snapshot under way.
	snapshotIndex uint64
	snapshotTick  uint64
	// active: heard since the last quorum check. heardTick: when last heard.
	active    bool
	heardTick uint64
	heard     bool
	// addedTick is when this leader began to follow the peer.
	addedTick uint64
	// readRound is the newest read round answered; commitSent the highest
	// commit index sent by itself.
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

// acked records that entries up to index match, and tells whether that is news.
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

// lost takes back what a peer had acknowledged above an index: it refuses what it had, so
// its disk has lost it without a trace. Entries that are committed stay so. A refusal that
// is only late costs entries sent twice.
func (p *progress) lost(above uint64) {
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
