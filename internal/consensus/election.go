package consensus

// resetElectionTimeout draws a random timeout to avoid split votes.
func (c *Core) resetElectionTimeout() {
	c.electionTimeout = c.cfg.ElectionTicks + c.rand.IntN(c.cfg.ElectionTicks)
}

func (c *Core) becomeFollower(term uint64, leader ServerID) {
	if term > c.hard.CurrentTerm {
		c.hard = HardState{CurrentTerm: term}
	}
	c.failReads()
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.peers = nil
	c.transferee = ServerID{}
	c.electionElapsed = 0
	c.resetElectionTimeout()
}

// mayCampaign reports whether this server may start an election: it is a voter
// in the newest membership of its log, and the bootstrap is complete.
func (c *Core) mayCampaign() bool {
	members, _ := c.log.membership()
	return members.IsVoter(c.id) && c.bootstrapComplete()
}

// campaignPreVote starts a pre-vote, which does not raise the term: a server
// that was partitioned does not disrupt a working leader.
func (c *Core) campaignPreVote() {
	c.becomeFollower(c.hard.CurrentTerm, ServerID{})
	c.role = PreCandidate
	c.requestVotes(KindPreVote, c.hard.CurrentTerm+1, 0)
}

// campaign starts an election. The server's vote for itself becomes durable
// before the requests are sent.
func (c *Core) campaign(context uint64) {
	c.becomeFollower(c.hard.CurrentTerm, ServerID{})
	c.role = Candidate
	c.hard = HardState{CurrentTerm: c.hard.CurrentTerm + 1, VotedFor: c.id}
	c.requestVotes(KindRequestVote, c.hard.CurrentTerm, context)
}

func (c *Core) requestVotes(kind Kind, term, context uint64) {
	c.votes = map[ServerID]bool{c.id: true}
	if c.countVotes() {
		return
	}
	members, _ := c.log.membership()
	for _, id := range members.Voters() {
		if id == c.id {
			continue
		}
		c.send(Message{
			Kind: kind, To: id, Term: term, Context: context,
			Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(),
		})
	}
}

// canGrantVote checks the conditions that pre-votes and votes have in common.
func (c *Core) canGrantVote(m Message) bool {
	return !c.blank() && c.log.upToDate(m.Index, m.LogTerm)
}

func (c *Core) handlePreVote(m Message) {
	grant := m.Term > c.hard.CurrentTerm && c.canGrantVote(m)
	reply := Message{Kind: KindPreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	c.send(reply)
}

func (c *Core) handleRequestVote(m Message) {
	free := c.hard.VotedFor.IsZero() || c.hard.VotedFor == m.From
	grant := free && c.leader.IsZero() && c.canGrantVote(m)
	if grant {
		c.hard.VotedFor = m.From
		c.electionElapsed = 0
	}
	c.send(Message{Kind: KindRequestVoteReply, To: m.From, Reject: !grant})
}

func (c *Core) handleVoteReply(m Message) {
	expected := map[Kind]Role{KindPreVoteReply: PreCandidate, KindRequestVoteReply: Candidate}
	if c.role != expected[m.Kind] {
		return
	}
	if m.Kind == KindPreVoteReply && !m.Reject && m.Term != c.hard.CurrentTerm+1 {
		return
	}
	c.votes[m.From] = !m.Reject
	if !c.countVotes() && c.electionLost() {
		c.becomeFollower(c.hard.CurrentTerm, ServerID{})
	}
}

// countVotes starts the election or the leadership if a majority of the voters
// has granted its vote. Votes count per identity, including the incarnation.
func (c *Core) countVotes() bool {
	members, _ := c.log.membership()
	granted := 0
	for _, id := range members.Voters() {
		if c.votes[id] {
			granted++
		}
	}
	if granted < members.Quorum() {
		return false
	}
	if c.role == PreCandidate {
		c.campaign(0)
		return true
	}
	c.becomeLeader()
	return true
}

// electionLost reports whether a majority can no longer be reached.
func (c *Core) electionLost() bool {
	members, _ := c.log.membership()
	refused := 0
	for _, id := range members.Voters() {
		if granted, answered := c.votes[id]; answered && !granted {
			refused++
		}
	}
	return len(members.Voters())-refused < members.Quorum()
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.id
	c.votes = nil
	c.electionElapsed = 0
	c.heartbeatTick = c.now
	c.peers = map[ServerID]*progress{}
	c.reads = readQueue{}
	c.join.invalidateRequests(c)
	c.syncPeers()
	for _, p := range c.peers {
		p.active = true // each peer has a full timeout to respond
	}
	// Entries of earlier terms are committed only through one of this term.
	c.appendAsLeader(Entry{Kind: EntryNoOp})
}

// handleTimeoutNow starts an election at the request of the leader.
func (c *Core) handleTimeoutNow() {
	if c.role == Follower && c.mayCampaign() {
		c.campaign(TransferContext)
	}
}

// TransferLeadership transfers the leadership to the given voter or, if to is
// zero, to the most up-to-date one. It returns false if there is no such voter.
func (c *Core) TransferLeadership(to ServerID) bool {
	if c.role != Leader {
		return false
	}
	if to.IsZero() {
		to = c.mostUpToDateVoter()
	}
	members, _ := c.log.membership()
	if to.IsZero() || to == c.id || !members.IsVoter(to) {
		return false
	}
	c.transferee = to
	c.electionElapsed = 0
	c.continueTransfer()
	return true
}

// mostUpToDateVoter returns the recently active voter with the highest match index.
func (c *Core) mostUpToDateVoter() ServerID {
	members, _ := c.log.membership()
	var best ServerID
	for _, id := range members.Voters() {
		if !c.recentlyActive(id) {
			continue
		}
		if best.IsZero() || c.peers[id].matchIndex > c.peers[best].matchIndex {
			best = id
		}
	}
	return best
}

// continueTransfer sends TimeoutNow once the target has the whole log.
func (c *Core) continueTransfer() {
	if c.transferee.IsZero() {
		return
	}
	if p, ok := c.peers[c.transferee]; ok && p.matchIndex == c.log.lastIndex() {
		c.send(Message{Kind: KindTimeoutNow, To: c.transferee})
	}
}
