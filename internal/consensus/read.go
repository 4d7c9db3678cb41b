package consensus

// readRequest is a read waiting for the leader to be confirmed.
type readRequest struct {
	from    ServerID
	context uint64 // the asker's number
	index   uint64 // commit index when the read arrived
	round   uint64 // confirmed by a quorum answering this round or a later one
}

// readQueue holds the reads of a leader, oldest first.
type readQueue struct {
	round   uint64
	waiting []readRequest
	// early reads wait for the first commit of the leader's term: until then
	// its commit index may be behind.
	early []readRequest
}

// ReadIndex asks for the index a read must wait for. The answer comes as a
// ReadState with this context, on the leader and on followers alike; a
// message may be lost, so the caller asks again after a while. It returns
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
		c.reads.early = append(c.reads.early, r)
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

// flushEarlyReads starts the reads that waited for the first commit.
func (c *Core) flushEarlyReads() {
	early := c.reads.early
	c.reads.early = nil
	for _, r := range early {
		c.addRead(r)
	}
}

// confirmRead notes that a peer still took us for the leader in this round.
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

// failReads refuses all waiting reads: we are no longer the leader.
func (c *Core) failReads() {
	for _, r := range append(c.reads.waiting, c.reads.early...) {
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
