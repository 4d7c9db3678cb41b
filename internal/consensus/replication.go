package consensus

import "slices"

// Propose appends commands to the log of the leader and returns the index of
// the first one and the term. They are committed once a majority has them.
func (c *Core) Propose(commands ...[]byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if !c.transferee.IsZero() {
		return 0, 0, ErrTransferring
	}
	entries := make([]Entry, len(commands))
	for i, command := range commands {
		entries[i] = Entry{Kind: EntryCommand, Data: command}
	}
	index = c.log.lastIndex() + 1
	c.appendAsLeader(entries...)
	return index, c.hard.CurrentTerm, nil
}

func (c *Core) appendAsLeader(entries ...Entry) {
	next := c.log.lastIndex() + 1
	for i := range entries {
		entries[i].Index = next + uint64(i)
		entries[i].Term = c.hard.CurrentTerm
	}
	c.log.append(entries)
	c.broadcastAppend()
}

// syncPeers updates the table of peers to the newest membership.
func (c *Core) syncPeers() {
	members, _ := c.log.membership()
	for id := range c.peers {
		if _, ok := members.Find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, member := range members {
		if _, ok := c.peers[member.ID]; !ok && member.ID != c.id {
			c.peers[member.ID] = &progress{nextIndex: c.log.lastIndex() + 1, addedTick: c.now}
		}
	}
}

// sortedPeers returns the peers in a fixed order, to keep the core deterministic.
func (c *Core) sortedPeers() []ServerID {
	members, _ := c.log.membership()
	ids := make([]ServerID, 0, len(members))
	for _, member := range members {
		if member.ID != c.id {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

func (c *Core) tickLeader() {
	if c.electionElapsed >= c.cfg.ElectionTicks {
		c.electionElapsed = 0
		c.transferee = ServerID{} // the transfer timed out
		if !c.quorumActive() {
			c.becomeFollower(c.hard.CurrentTerm, ServerID{})
			return
		}
	}
	c.promoteReadyLearner()
	c.removeInactive()
	if c.now-c.heartbeatTick >= uint64(c.cfg.HeartbeatTicks) {
		c.broadcastHeartbeat()
	}
}

// quorumActive is the quorum check: it reports whether a majority of the voters
// was active since the last check.
func (c *Core) quorumActive() bool {
	members, _ := c.log.membership()
	active := 0
	for _, id := range members.Voters() {
		if id == c.id || c.peers[id].active {
			active++
		}
	}
	for _, p := range c.peers {
		p.active = false
	}
	return active >= members.Quorum()
}

func (c *Core) broadcastHeartbeat() {
	c.heartbeatTick = c.now
	for _, id := range c.sortedPeers() {
		p := c.peers[id]
		c.sendEarly(Message{
			Kind: KindHeartbeat, To: id, Context: c.reads.round,
			Commit: min(p.matchIndex, c.log.commit),
		})
	}
}

func (c *Core) broadcastAppend() {
	for _, id := range c.sortedPeers() {
		c.sendAppend(id)
	}
}

// sendAppend sends missing entries to the peer as far as flow control allows.
func (c *Core) sendAppend(id ServerID) {
	p, ok := c.peers[id]
	if !ok {
		return // no longer the leader, or no longer a member
	}
	for !p.paused() {
		prev := p.nextIndex - 1
		prevTerm, ok := c.log.term(prev)
		if !ok {
			c.sendSnapshot(id, p)
			return
		}
		entries := c.nextEntries(p.nextIndex)
		if len(entries) == 0 && p.state == stateReplicate {
			return
		}
		c.sendEarly(Message{
			Kind: KindAppendEntries, To: id, Index: prev, LogTerm: prevTerm,
			Entries: entries, Commit: c.log.commit,
		})
		if p.state == stateProbe {
			p.probeSent = true
			return
		}
		p.nextIndex += uint64(len(entries))
		p.inflight = append(p.inflight, p.nextIndex-1)
	}
}

// nextEntries returns the entries from index on that fit in one message.
func (c *Core) nextEntries(index uint64) []Entry {
	entries := c.log.slice(index, c.log.lastIndex())
	size := 0
	for i := range entries {
		size += len(entries[i].Data) + entryOverhead
		if i > 0 && size > maxAppendBytes {
			entries = entries[:i]
			break
		}
	}
	return slices.Clone(entries)
}

func (c *Core) sendSnapshot(id ServerID, p *progress) {
	snapshot := c.log.snapshot
	p.state = stateSnapshot
	p.snapshotIndex = snapshot.Index
	p.snapshotTick = c.now
	c.sendEarly(Message{Kind: KindInstallSnapshot, To: id, Index: snapshot.Index, Snapshot: &snapshot})
}

// snapshotRetryTimeouts is the number of election timeouts after which an
// unacknowledged snapshot counts as lost.
const snapshotRetryTimeouts = 10

// recordPeerContact records contact with a peer and returns its progress.
func (c *Core) recordPeerContact(id ServerID) *progress {
	if c.role != Leader {
		return nil
	}
	p, ok := c.peers[id]
	if !ok {
		return nil
	}
	p.active = true
	p.contacted = true
	p.contactTick = c.now
	return p
}

func (c *Core) handleAppendEntriesReply(m Message) {
	p := c.recordPeerContact(m.From)
	if p == nil {
		return
	}
	if m.Reject {
		c.handleAppendRejected(m, p)
		return
	}
	if m.Index > c.log.lastIndex() {
		return // acknowledges entries this leader does not have: from another leadership
	}
	advanced := p.acked(m.Index) // the commit index may advance
	if p.state == stateProbe || (p.state == stateSnapshot && p.matchIndex >= p.snapshotIndex) {
		p.toReplicate()
	}
	if advanced {
		c.advanceCommit()
	}
	c.sendAppend(m.From)
	c.sendCommit(m.From)
	if m.From == c.transferee && advanced {
		c.continueTransfer()
	}
}

func (c *Core) handleAppendRejected(m Message, p *progress) {
	if p.state == stateSnapshot || m.Index < p.matchIndex || (m.Index == p.matchIndex && p.state != stateProbe) {
		return // stale
	}
	if p.state == stateProbe && m.Index != p.nextIndex-1 {
		return // reply to an earlier probe
	}
	if m.Index == p.matchIndex {
		p.lowerMatch(m.RejectHint)
	}
	p.toProbe(min(m.Index, m.RejectHint+1))
	c.sendAppend(m.From)
}

// leaderStable counts the leader's newly durable entries towards the commit index.
func (c *Core) leaderStable() { c.advanceCommit() }

// advanceCommit moves the commit index to the highest entry of the current
// term that is durable on a majority of the voters.
func (c *Core) advanceCommit() {
	members, _ := c.log.membership()
	var match []uint64
	for _, id := range members.Voters() {
		if id == c.id {
			match = append(match, c.log.stable)
			continue
		}
		match = append(match, c.peers[id].matchIndex)
	}
	if len(match) == 0 {
		return
	}
	slices.Sort(match)
	index := match[len(match)-members.Quorum()]
	term, _ := c.log.term(index)
	if index <= c.log.commit || term != c.hard.CurrentTerm {
		return
	}
	c.log.commit = index
	c.afterCommit()
}

// afterCommit runs the actions that wait for the leader's commit index to advance.
func (c *Core) afterCommit() {
	c.releasePendingReads()
	members, index := c.log.membership()
	if _, member := members.Find(c.id); !member && index <= c.log.commit {
		c.stepDown()
		return
	}
	c.broadcastCommit()
}

// broadcastCommit sends the commit index to all followers.
func (c *Core) broadcastCommit() {
	for _, id := range c.sortedPeers() {
		c.sendCommit(id)
	}
}

// sendCommit sends the commit index to a follower that has the entries, so that
// it applies them without waiting for the next heartbeat.
func (c *Core) sendCommit(id ServerID) {
	p, ok := c.peers[id]
	if !ok || p.state != stateReplicate {
		return
	}
	commit := min(p.matchIndex, c.log.commit)
	if commit <= p.commitSent {
		return
	}
	p.commitSent = commit
	c.sendEarly(Message{Kind: KindHeartbeat, To: id, Context: c.reads.round, Commit: commit})
}

func (c *Core) handleHeartbeatReply(m Message) {
	p := c.recordPeerContact(m.From)
	if p == nil {
		return
	}
	if p.state == stateSnapshot && c.now-p.snapshotTick > uint64(snapshotRetryTimeouts*c.cfg.ElectionTicks) {
		p.toProbe(p.matchIndex + 1)
	}
	c.resendMissing(m.From, p)
	c.confirmRead(m.From, m.Context)
}

// resendMissing detects lost appends: a follower that lacks entries rejects an
// empty append after the last one sent.
func (c *Core) resendMissing(id ServerID, p *progress) {
	p.probeSent = false
	if p.matchIndex >= c.log.lastIndex() {
		return
	}
	if p.state == stateReplicate && len(p.inflight) > 0 {
		prev := p.nextIndex - 1
		prevTerm, ok := c.log.term(prev)
		if !ok {
			p.toProbe(p.matchIndex + 1)
		} else {
			c.sendEarly(Message{Kind: KindAppendEntries, To: id, Index: prev, LogTerm: prevTerm, Commit: c.log.commit})
		}
	}
	c.sendAppend(id)
}
