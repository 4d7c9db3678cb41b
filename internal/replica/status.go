package replica

import (
	"slices"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/consensus"
)

// Status returns the state of the node as of its last event.
func (n *Node) Status() Status {
	status := *n.status.Load()
	status.Applied = n.applier.appliedIndex()
	return status
}

// publish makes the state of the core available to other goroutines, and logs
// and counts its changes.
func (n *Node) publish() {
	state := n.core.State()
	n.updateAddrs(state.Members)
	status := &Status{
		Name: state.ID.Name, Incarnation: state.ID.Incarnation,
		Role: roleOf(state), Term: state.Term,
		LeaderName: state.Leader.Name, LeaderAddr: n.leaderAddr(state),
		Commit: state.Commit, Members: membersOf(state.Members),
	}
	if age, ok := n.core.QuorumAge(); ok && n.now-age != n.contactTick {
		n.contactTick = n.now - age
		n.contactAt = clock.Now()
	}
	status.LastQuorumContact = n.contactAt
	n.status.Store(status)
	n.recordState(state)
}

// recordState updates the metrics of a state, and logs changes of leader and membership.
func (n *Node) recordState(state consensus.State) {
	n.metrics.term.Set(float64(state.Term))
	n.metrics.commitIndex.Set(float64(state.Commit))
	leading := 0.0
	if state.Role == consensus.Leader {
		leading = 1
	}
	n.metrics.isLeader.Set(leading)
	if state.Leader != n.lastState.Leader {
		if !state.Leader.IsZero() {
			n.metrics.leaderChanges.Inc()
		}
		n.cfg.Logger.Info().Str("server", state.ID.Name).Str("leader", state.Leader.Name).
			Uint64("term", state.Term).Msg("leader changed")
	}
	if !slices.Equal(state.Members, n.lastState.Members) {
		n.cfg.Logger.Info().Str("server", state.ID.Name).Interface("members", membersOf(state.Members)).
			Msg("membership changed")
	}
	n.lastState = state
}

func (n *Node) updateAddrs(members consensus.Membership) {
	if slices.Equal(members, n.lastMembers) {
		return
	}
	n.lastMembers = members
	for _, m := range members {
		n.transport.setAddr(m.ID, m.Addr)
	}
}

func (n *Node) leaderAddr(state consensus.State) string {
	if state.Leader.IsZero() {
		return ""
	}
	if state.Leader == state.ID {
		return n.cfg.Addr
	}
	return n.transport.addr(state.Leader)
}

func roleOf(state consensus.State) Role {
	switch {
	case state.Blank:
		return RoleJoining
	case state.Role == consensus.Leader:
		return RoleLeader
	case state.Role != consensus.Follower:
		return RoleCandidate
	case !state.Members.IsVoter(state.ID):
		return RoleLearner
	}
	return RoleFollower
}

func membersOf(members consensus.Membership) []Member {
	out := make([]Member, len(members))
	for i, m := range members {
		out[i] = Member{Name: m.ID.Name, Addr: m.Addr, Incarnation: m.ID.Incarnation, Learner: m.Learner}
	}
	return out
}
