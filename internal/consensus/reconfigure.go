package consensus

// proposeMembership appends a membership change. At most one voter changes,
// and only one change is in progress: any majority of the old voters and any
// majority of the new ones then have a server in common.
func (c *Core) proposeMembership(next Membership) (index, term uint64, err error) {
	members, changedAt := c.log.membership()
	switch {
	case c.role != Leader:
		return 0, 0, ErrNotLeader
	case !c.transferee.IsZero():
		return 0, 0, ErrTransferring
	case changedAt > c.log.commit:
		return 0, 0, ErrChangePending
	case !c.committedInTerm():
		return 0, 0, ErrNotReady
	case votersChanged(members, next) > 1 || len(next.Voters()) == 0:
		return 0, 0, ErrBadChange
	}
	index = c.log.lastIndex() + 1
	c.join.forget(c)
	c.log.append([]Entry{{
		Index: index, Term: c.hard.CurrentTerm, Kind: EntryMembership, Data: encodeMembership(next),
	}})
	c.syncPeers()
	c.broadcastAppend()
	return index, c.hard.CurrentTerm, nil
}

// committedInTerm tells whether an entry of the current term is committed:
// until then a membership change of an earlier leader may be unfinished.
func (c *Core) committedInTerm() bool {
	term, _ := c.log.term(c.log.commit)
	return term == c.hard.CurrentTerm
}

// ProposeLearner adds a server that has asked to join, as a learner.
func (c *Core) ProposeLearner(name string) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	members, _ := c.log.membership()
	if _, exists := members.FindName(name); exists {
		return 0, 0, ErrNoChange // another incarnation takes its place by itself
	}
	heard, ok := c.join.heard[name]
	if !ok {
		return 0, 0, ErrUnknownServer
	}
	next := heard.member
	next.Learner = true
	return c.proposeMembership(members.with(next))
}

// ProposePromote makes a caught-up learner a voter.
func (c *Core) ProposePromote(name string) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	members, _ := c.log.membership()
	member, ok := members.FindName(name)
	if !ok {
		return 0, 0, ErrUnknownServer
	}
	if !member.Learner {
		return 0, 0, ErrNoChange
	}
	if !c.caughtUp(member.ID) {
		return 0, 0, ErrNotCaughtUp
	}
	member.Learner = false
	member.PromoteWhenReady = false
	return c.proposeMembership(members.with(member))
}

// ProposeRemove removes a member.
func (c *Core) ProposeRemove(name string) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	members, _ := c.log.membership()
	if _, ok := members.FindName(name); !ok {
		return 0, 0, ErrUnknownServer
	}
	return c.proposeMembership(members.without(name))
}

// replaceIncarnation puts a server in the place of the member whose name it
// has: what the old incarnation promised is lost. One that is still heard is
// not replaced: somebody runs two servers under one name. A refused change is
// tried again at the next hello.
func (c *Core) replaceIncarnation(id ServerID, addr string) {
	members, _ := c.log.membership()
	old, ok := members.FindName(id.Name)
	if !ok || old.ID == id || c.recentlyHeard(old.ID) {
		return
	}
	next := Member{ID: id, Addr: addr, Learner: true, PromoteWhenReady: !old.Learner || old.PromoteWhenReady}
	_, _, _ = c.proposeMembership(members.with(next))
}

// admitNewcomer adds a server of an unknown name as a learner that becomes a
// voter. A refused change is tried again at the next hello.
func (c *Core) admitNewcomer(id ServerID, addr string) {
	if !c.cfg.AdmitNewcomers {
		return
	}
	members, _ := c.log.membership()
	if _, known := members.FindName(id.Name); known {
		return
	}
	next := Member{ID: id, Addr: addr, Learner: true, PromoteWhenReady: true}
	_, _, _ = c.proposeMembership(members.with(next))
}

// retireLost removes a member that was not heard for RetireTicks: a learner, or
// a voter whose removal lowers the quorum. That is so for an even number of
// voters only; in an odd one a lost voter costs the others nothing. A voter that
// MinVoters needs is kept: it is most likely away with its disk, and where others
// lose theirs later, its vote is what brings a majority about.
func (c *Core) retireLost() {
	if c.cfg.RetireTicks <= 0 {
		return
	}
	members, changedAt := c.log.membership()
	if changedAt > c.log.commit || !c.committedInTerm() {
		return
	}
	voters := len(members.Voters())
	spare := voters%2 == 0 && voters > c.cfg.MinVoters
	for _, member := range members {
		if member.ID == c.id || (!member.Learner && !spare) {
			continue
		}
		if c.unheardFor(member.ID, c.retirement(member)) {
			_, _, _ = c.proposeMembership(members.without(member.ID.Name))
			return
		}
	}
}

// retirement is for how many ticks a member must be silent to be removed. A voter that
// can be spared only makes a majority harder to come by, and goes sooner.
func (c *Core) retirement(member Member) uint64 {
	if !member.Learner && c.cfg.SpareTicks > 0 {
		return uint64(c.cfg.SpareTicks)
	}
	return uint64(c.cfg.RetireTicks)
}

// unheardFor tells whether a peer was not heard for this many ticks, counted
// from the start of this leadership at the earliest.
func (c *Core) unheardFor(id ServerID, ticks uint64) bool {
	p, ok := c.peers[id]
	return ok && c.now-max(p.heardTick, p.addedTick) > ticks
}

// promoteReadyLearner makes a replaced server a voter again.
func (c *Core) promoteReadyLearner() {
	members, _ := c.log.membership()
	for _, member := range members {
		if member.Learner && member.PromoteWhenReady && c.caughtUp(member.ID) {
			_, _, _ = c.ProposePromote(member.ID.Name)
			return
		}
	}
}

// caughtUp tells whether a learner holds all that is committed and was heard
// within an election timeout.
func (c *Core) caughtUp(id ServerID) bool {
	return c.recentlyHeard(id) && c.peers[id].matchIndex >= c.log.commit
}

// recentlyHeard tells whether a peer was heard within an election timeout.
func (c *Core) recentlyHeard(id ServerID) bool {
	p, ok := c.peers[id]
	return ok && p.heard && c.now-p.heardTick <= uint64(c.cfg.ElectionTicks)
}

// leaveLeadership ends the leadership of a server that is no longer a member.
func (c *Core) leaveLeadership() {
	c.broadcastCommit()
	if next := c.furthestVoter(); !next.IsZero() {
		c.send(Message{Kind: KindTimeoutNow, To: next})
	}
	c.becomeFollower(c.hard.CurrentTerm, ServerID{})
}
