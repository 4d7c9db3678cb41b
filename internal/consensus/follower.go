package consensus

// recordLeaderContact records contact with the leader of the current term.
func (c *Core) recordLeaderContact(m Message) {
	if c.role != Follower {
		c.becomeFollower(m.Term, m.From)
	}
	c.leader = m.From
	c.electionElapsed = 0
	c.leaderContactTick = c.now
	c.leaderContacted = true
}

func (c *Core) handleAppendEntries(m Message) {
	if m.Index < c.log.commit {
		// Committed entries always match; the leader continues from there.
		c.send(Message{Kind: KindAppendEntriesReply, To: m.From, Index: c.log.commit})
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		c.send(Message{
			Kind: KindAppendEntriesReply, To: m.From, Reject: true, Index: m.Index,
			RejectHint: c.rejectHint(m),
		})
		return
	}
	for i, e := range m.Entries {
		if !c.log.matches(e.Index, e.Term) {
			c.log.append(m.Entries[i:])
			break
		}
	}
	last := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.send(Message{Kind: KindAppendEntriesReply, To: m.From, Index: last})
}

// rejectHint returns the highest index that may match, skipping all entries of
// terms newer than that of the leader's entry.
func (c *Core) rejectHint(m Message) uint64 {
	hint := min(m.Index-1, c.log.lastIndex())
	for hint > c.log.commit {
		if term, _ := c.log.term(hint); term <= m.LogTerm {
			break
		}
		hint--
	}
	return hint
}

func (c *Core) commitTo(index uint64) {
	c.log.commit = max(c.log.commit, min(index, c.log.lastIndex()))
}

func (c *Core) handleHeartbeat(m Message) {
	c.commitTo(m.Commit)
	c.send(Message{Kind: KindHeartbeatReply, To: m.From, Context: m.Context})
}

func (c *Core) handleInstallSnapshot(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	switch {
	case s.Index <= c.log.commit:
	case c.log.matches(s.Index, s.Term):
		c.commitTo(s.Index)
	default:
		c.log.restore(*s)
		c.newSnapshot = s
	}
	c.send(Message{Kind: KindAppendEntriesReply, To: m.From, Index: c.log.commit})
}
