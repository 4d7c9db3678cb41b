package consensus

// readRequest is a read that waits for a confirmation of the leadership.
type readRequest struct {
	from    ServerID
	context uint64 // ID given by the sender
	index   uint64 // commit index when the read arrived
	round   uint64 // confirmed by a quorum of replies to this round or a later one
}

// readQueue holds the reads of a leader, oldest first.
type readQueue struct {
	round   uint64
	waiting []readRequest
	// pending reads wait for the first commit of the leader's term: until then
	// its commit index may be stale.
	pending []readRequest
}

// ReadIndex requests the index that must be applied before a read is served.
// The result is a ReadState with this context, on the leader and on followers;
// a message may be lost, so the caller must retry after a timeout. It returns
// ErrNotLeader if no leader is known.
func (c *Core) ReadIndex(context uint64) error {
	if c.role == Leader {
		c.addRead(readRequest{from: c.id, context: context})
		return nil
	}
	if c.leader.IsZero() {
		return ErrNotLeader
	}
	c.send(Message{Kind: KindReadIndex, To: c.leader, Context: context})
	return nil
}

func (c *Core) handleReadIndex(m Message) {
	if c.role != Leader {
		c.send(Message{Kind: KindReadIndexReply, To: m.From, Context: m.Context, Reject: true})
		return
	}
	c.addRead(readRequest{from: m.From, context: m.Context})
}

func (c *Core) addRead(r readRequest) {
	if term, _ := c.log.term(c.log.commit); term != c.hard.CurrentTerm {
		c.reads.pending = append(c.reads.pending, r)
		return
	}
	r.index = c.log.commit
	members, _ := c.log.membership()
	if members.Quorum() == 1 && members.IsVoter(c.id) {
		c.answerRead(r, false)
		return
	}
	c.reads.round++
	r.round = c.reads.round
	c.reads.waiting = append(c.reads.waiting, r)
	c.broadcastHeartbeat()
}

// releasePendingReads starts the reads that wait for the first commit of the term.
func (c *Core) releasePendingReads() {
	pending := c.reads.pending
	c.reads.pending = nil
	for _, r := range pending {
		c.addRead(r)
	}
}

// confirmRead records that a peer acknowledged the leadership in this round.
func (c *Core) confirmRead(from ServerID, round uint64) {
	p := c.peers[from]
	p.readRound = max(p.readRound, round)
	members, _ := c.log.membership()
	for len(c.reads.waiting) > 0 {
		r := c.reads.waiting[0]
		confirmed := 0
		for _, id := range members.Voters() {
			if id == c.id || c.peers[id].readRound >= r.round {
				confirmed++
			}
		}
		if confirmed < members.Quorum() {
			return
		}
		c.reads.waiting = c.reads.waiting[1:]
		c.answerRead(r, false)
	}
}

// failReads rejects all waiting reads after a loss of leadership.
func (c *Core) failReads() {
	for _, r := range append(c.reads.waiting, c.reads.pending...) {
		c.answerRead(r, true)
	}
	c.reads = readQueue{}
}

func (c *Core) answerRead(r readRequest, reject bool) {
	if r.from == c.id {
		c.readStates = append(c.readStates, ReadState{Context: r.context, Index: r.index, Reject: reject})
		return
	}
	c.send(Message{Kind: KindReadIndexReply, To: r.from, Context: r.context, Index: r.index, Reject: reject})
}
