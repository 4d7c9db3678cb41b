package consensus

import (
	"slices"
)

// mayWipe reports whether the cluster must tolerate the loss of this disk.
func (s *sim) mayWipe(victim *simServer) bool {
	return s.toleratesLossOf(victim, s.committedMembershipIndex())
}

// toleratesLossOf reports whether the newest membership of every server tolerates the loss of
// this disk. Learners count only in memberships from committedIndex on: a leader with an
// older one can't commit anything.
func (s *sim) toleratesLossOf(victim *simServer, committedIndex uint64) bool {
	intact := func(id ServerID) bool {
		w := s.servers[id.Name]
		return w != nil && w != victim && w.id == id
	}
	for _, name := range s.names {
		v := s.servers[name]
		if v.core == nil || v.core.blank() {
			return false // a server is still starting
		}
		members, index := v.core.log.membership()
		if index < committedIndex {
			members = votersOf(members)
		}
		if !toleratesLosses(members, intact) || !v.core.bootstrapComplete() {
			return false
		}
	}
	return true
}

// committedMembershipIndex returns the index of the newest committed membership.
func (s *sim) committedMembershipIndex() uint64 {
	newest := uint64(0)
	for index, e := range s.committed {
		if e.Kind == EntryMembership {
			newest = max(newest, index)
		}
	}
	return newest
}

func votersOf(members Membership) Membership {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Learner })
}

// toleratesLosses reports whether a majority stays intact whether or not learners are promoted.
// A learner whose disk is lost counts as a lost voter: acknowledgements it sent before may
// still be in flight and promote it. An intact learner never makes a majority harder to
// reach, so it is not counted.
func toleratesLosses(members Membership, intact func(ServerID) bool) bool {
	voters, remaining := 0, 0
	for _, member := range members {
		switch diskIntact := intact(member.ID); {
		case diskIntact && !member.Learner:
			voters++
			remaining++
		case !diskIntact:
			voters++
		}
	}
	return remaining >= voters/2+1
}

// onlyVoterWithState reports whether v is the only initial voter with state.
func (s *sim) onlyVoterWithState(v *simServer) bool {
	for _, name := range s.peers {
		w := s.servers[name]
		if w != v && w.disk.Snapshot.Index > 0 {
			return false
		}
	}
	return true
}
