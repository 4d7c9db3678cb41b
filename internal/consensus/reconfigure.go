package consensus

// proposeMembership appends a membership change. A change affects at most one
// voter, and only one change may be in progress, so that any majority of the
// old voters and any majority of the new ones overlap.
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
		return 0, 0, ErrInvalidChange
	}
	index = c.log.lastIndex() + 1
	c.join.invalidateRequests(c)
	c.log.append([]Entry{{
		Index: index, Term: c.hard.CurrentTerm, Kind: EntryMembership, Data: encodeMembership(next),
	}})
	c.syncPeers()
	c.broadcastAppend()
	return index, c.hard.CurrentTerm, nil
}

// committedInTerm reports whether an entry of the current term is committed.
// Until then a membership change of an earlier leader may be in progress.
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
		return 0, 0, ErrNoChange // another incarnation replaces it automatically
	}
	request, ok := c.join.requests[name]
	if !ok {
		return 0, 0, ErrUnknownServer
	}
	next := request.member
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

// replaceIncarnation replaces the member of the same name, whose disk is lost,
// by a new incarnation. A member that is still active is not replaced: then two
// servers run under one name. A change that is not accepted is retried at the
// next join request.
func (c *Core) replaceIncarnation(id ServerID, addr string) {
	members, _ := c.log.membership()
	old, ok := members.FindName(id.Name)
	if !ok || old.ID == id || c.recentlyActive(old.ID) {
		return
	}
	next := Member{ID: id, Addr: addr, Learner: true, PromoteWhenReady: !old.Learner || old.PromoteWhenReady}
	_, _, _ = c.proposeMembership(members.with(next))
}

// autoAddServer adds a server of an unknown name as a learner that becomes a
// voter. A change that is not accepted is retried at the next join request.
func (c *Core) autoAddServer(id ServerID, addr string) {
	if !c.cfg.AutoAddServers {
		return
	}
	members, _ := c.log.membership()
	if _, known := members.FindName(id.Name); known {
		return
	}
	next := Member{ID: id, Addr: addr, Learner: true, PromoteWhenReady: true}
	_, _, _ = c.proposeMembership(members.with(next))
}

// removeInactive removes a member without contact for longer than removeTicks: a learner,
// or a voter whose removal lowers the quorum, which is so only for an even number
// of voters. At MinVoters no voter is removed: an unreachable server most likely
// still has its disk, and if others lose theirs later, its vote may be needed for
// a majority.
func (c *Core) removeInactive() {
	if c.cfg.RemoveLearnerTicks <= 0 {
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
		if c.inactiveFor(member.ID, c.removeTicks(member)) {
			_, _, _ = c.proposeMembership(members.without(member.ID.Name))
			return
		}
	}
}

// removeTicks returns the number of ticks without contact after which a member is removed.
// A spare voter is removed sooner, because it only raises the quorum.
func (c *Core) removeTicks(member Member) uint64 {
	if !member.Learner && c.cfg.RemoveVoterTicks > 0 {
		return uint64(c.cfg.RemoveVoterTicks)
	}
	return uint64(c.cfg.RemoveLearnerTicks)
}

// inactiveFor reports whether the last contact with a peer, and its addition by this
// leader, are more than this many ticks ago.
func (c *Core) inactiveFor(id ServerID, ticks uint64) bool {
	p, ok := c.peers[id]
	return ok && c.now-max(p.contactTick, p.addedTick) > ticks
}

// promoteReadyLearner promotes a learner with PromoteWhenReady that has caught up.
func (c *Core) promoteReadyLearner() {
	members, _ := c.log.membership()
	for _, member := range members {
		if member.Learner && member.PromoteWhenReady && c.caughtUp(member.ID) {
			_, _, _ = c.ProposePromote(member.ID.Name)
			return
		}
	}
}

// caughtUp reports whether a learner has all committed entries and is recently
// active.
func (c *Core) caughtUp(id ServerID) bool {
	return c.recentlyActive(id) && c.peers[id].matchIndex >= c.log.commit
}

// recentlyActive reports whether there was contact with a peer within ElectionTicks.
func (c *Core) recentlyActive(id ServerID) bool {
	p, ok := c.peers[id]
	return ok && p.contacted && c.now-p.contactTick <= uint64(c.cfg.ElectionTicks)
}

// stepDown makes a leader that is no longer a member step down.
func (c *Core) stepDown() {
	c.broadcastCommit()
	if next := c.mostUpToDateVoter(); !next.IsZero() {
		c.send(Message{Kind: KindTimeoutNow, To: next})
	}
	c.becomeFollower(c.hard.CurrentTerm, ServerID{})
}
