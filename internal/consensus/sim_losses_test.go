package consensus

import (
	"slices"
)

// mayWipe tells whether the cluster must survive the loss of this disk.
func (s *sim) mayWipe(victim *simServer) bool {
	return s.bearsLossOf(victim, s.membershipInForce())
}

// bearsLossOf tells whether every membership that a server knows bears the loss of this
// disk. Learners count in those from index inForce on only: a leader that knows an older
// one can commit nothing by it.
func (s *sim) bearsLossOf(victim *simServer, inForce uint64) bool {
	intact := func(id ServerID) bool {
		w := s.servers[id.Name]
		return w != nil && w != victim && w.id == id
	}
	for _, name := range s.names {
		v := s.servers[name]
		if v.core == nil || v.core.blank() {
			return false // somebody is still coming up
		}
		members, index := v.core.log.membership()
		if index < inForce {
			members = votersOf(members)
		}
		if !bearsLosses(members, intact) || !v.core.foundingComplete() {
			return false
		}
	}
	return true
}

// membershipInForce is the index of the newest membership that was committed.
func (s *sim) membershipInForce() uint64 {
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

// bearsLosses tells whether a majority stays intact whatever becomes of the learners.
// One whose disk is lost is a lost server like any other, and counts as a voter: what it
// acknowledged before may still be under way, and its promotion with it. One that is
// intact never makes a majority harder to come by, so it may be left out.
func bearsLosses(members Membership, intact func(ServerID) bool) bool {
	voters, held := 0, 0
	for _, member := range members {
		switch whole := intact(member.ID); {
		case whole && !member.Learner:
			voters++
			held++
		case !whole:
			voters++
		}
	}
	return held >= voters/2+1
}

// lastHolder tells whether v is the only server that holds state.
func (s *sim) lastHolder(v *simServer) bool {
	for _, name := range s.peers {
		w := s.servers[name]
		if w != v && w.disk.Snapshot.Index > 0 {
			return false
		}
	}
	return true
}
