package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// settledCluster returns a cluster with a leader and everything replicated.
func settledCluster(t *testing.T, size int) *sim {
	s := newSim(t, size, 7)
	s.requireSettled(t)
	return s
}

func (s *sim) requireSettled(t *testing.T) {
	for range 100 * simElectionTicks {
		s.runRound()
		if leader := s.leader(); leader != nil && s.settled(leader) {
			return
		}
	}
	t.Fatalf("not settled: %v", s.describe())
}

func (s *sim) rounds(n int) {
	for range n {
		s.runRound()
	}
}

func (s *sim) isolate(name string) {
	for _, other := range s.names {
		s.cut[[2]string{name, other}] = true
		s.cut[[2]string{other, name}] = true
	}
}

// others returns the servers but this one, in order.
func (s *sim) others(v *simServer) []*simServer {
	var out []*simServer
	for _, name := range s.names {
		if s.servers[name] != v {
			out = append(out, s.servers[name])
		}
	}
	return out
}

func TestPreVoteSparesLeader(t *testing.T) {
	s := settledCluster(t, 3)
	leader := s.leader()
	term := leader.core.hard.CurrentTerm
	away := s.others(leader)[0]
	s.isolate(away.id.Name)
	s.rounds(20 * simElectionTicks)
	require.Equal(t, term, away.core.hard.CurrentTerm, "a server that was cut off must not raise its term")
	s.heal()
	s.rounds(4 * simElectionTicks)
	require.Equal(t, term, leader.core.hard.CurrentTerm)
	require.Equal(t, Leader, leader.core.role)
}

// A leader that can send but not hear would keep everybody waiting.
func TestCheckQuorumEndsDeafLeader(t *testing.T) {
	s := settledCluster(t, 3)
	deaf := s.leader()
	for _, v := range s.others(deaf) {
		s.cut[[2]string{v.id.Name, deaf.id.Name}] = true
	}
	for range 10 * simElectionTicks {
		s.runRound()
		if leader := s.leader(); leader != nil && leader != deaf {
			return
		}
	}
	t.Fatal("the deaf leader was not replaced")
}

// A vote request does not reach through to servers that hear a leader, so a
// removed server can not depose it.
func TestVoteRequestIgnoredWhileLeaderIsHeard(t *testing.T) {
	s := settledCluster(t, 3)
	leader := s.leader()
	follower := s.others(leader)[0]
	term := leader.core.hard.CurrentTerm
	for _, v := range []*simServer{leader, follower} {
		v.core.Step(Message{
			Kind: KindRequestVote, From: ServerID{Name: "gone", Incarnation: 99}, To: v.id,
			Term: term + 5, Index: 1000, LogTerm: term,
		})
		require.Equal(t, term, v.core.hard.CurrentTerm)
	}
}

func TestTransferLeadership(t *testing.T) {
	s := settledCluster(t, 3)
	old := s.leader()
	target := s.others(old)[1]
	require.True(t, old.core.TransferLeadership(target.id))
	_, _, err := old.core.Propose([]byte("{}"))
	require.ErrorIs(t, err, ErrTransferring)
	s.process(old)
	s.rounds(4)
	require.Equal(t, target, s.leader())
	require.Equal(t, Follower, old.core.role)
}

func TestRemovedLeaderHandsOver(t *testing.T) {
	s := settledCluster(t, 3)
	old := s.leader()
	_, _, err := old.core.ProposeRemove(old.id.Name)
	require.NoError(t, err)
	s.process(old)
	s.rounds(6)
	require.NotEqual(t, old, s.leader())
	require.NotNil(t, s.leader())
	require.Equal(t, Follower, old.core.role)
}

func TestOneMembershipChangeAtATime(t *testing.T) {
	s := settledCluster(t, 5)
	leader := s.leader()
	others := s.others(leader)
	_, _, err := leader.core.ProposeRemove(others[0].id.Name)
	require.NoError(t, err)
	_, _, err = leader.core.ProposeRemove(others[1].id.Name)
	require.ErrorIs(t, err, ErrChangePending)
	s.process(leader)
	s.rounds(4)
	members, _ := leader.core.log.membership()
	_, _, err = leader.core.proposeMembership(members.without(others[1].id.Name).without(others[2].id.Name))
	require.ErrorIs(t, err, ErrBadChange)
	_, _, err = leader.core.ProposeRemove(others[1].id.Name)
	require.NoError(t, err)
}

// write commits one entry through the leader.
func (s *sim) write(t *testing.T, value string) {
	leader := s.leader()
	require.NotNil(t, leader)
	_, _, err := leader.core.Propose([]byte(`{"Key":"k","Value":"` + value + `"}`))
	require.NoError(t, err)
	s.process(leader)
	s.rounds(4)
	require.Equal(t, value, leader.state["k"])
}

// The case that must never form a quorum: a wiped server that restarts with
// its old settings, and one that has missed what was accepted.
func TestWipedServerAndLaggardFormNoQuorum(t *testing.T) {
	for _, wipedIsFounder := range []bool{false, true} {
		s := settledCluster(t, 3)
		leader := s.leader()
		wiped := s.others(leader)[1]
		if wipedIsFounder {
			wiped = s.servers["s0"]
		}
		for leader = s.leader(); leader == wiped; leader = s.leader() {
			require.True(t, leader.core.TransferLeadership(ServerID{}))
			s.process(leader)
			s.rounds(2 * simElectionTicks)
		}
		var laggard *simServer
		for _, v := range s.others(leader) {
			if v != wiped {
				laggard = v
			}
		}
		s.isolate(laggard.id.Name)
		s.write(t, "accepted")
		s.crash(leader)
		s.wipe(wiped)
		clear(s.cut)
		s.rounds(40 * simElectionTicks)
		require.Nil(t, s.leader(), "a wiped server and a laggard have elected a leader")

		s.start(leader)
		s.requireSettled(t)
		require.Equal(t, "accepted", wiped.state["k"])
		require.Equal(t, "accepted", laggard.state["k"])
		require.True(t, wiped.core.State().Members.IsVoter(wiped.id), "promoted again")
	}
}

// As long as one initial voter holds state, the others can not found anew.
func TestWipedMajorityCannotFoundAnew(t *testing.T) {
	s := settledCluster(t, 3)
	s.wipe(s.servers["s0"])
	s.wipe(s.servers["s1"])
	s.rounds(40 * simElectionTicks)
	require.Nil(t, s.leader())
	require.True(t, s.servers["s0"].core.blank())
	require.True(t, s.servers["s1"].core.blank())
}

// Nobody campaigns before every initial voter holds the founding snapshot:
// a server that does not would be free to found another cluster.
func TestFoundingNeedsEveryInitialVoter(t *testing.T) {
	s := newSim(t, 3, 7)
	s.isolate("s2")
	s.rounds(20 * simElectionTicks)
	require.True(t, s.servers["s0"].core.blank(), "founded without hearing s2")
	clear(s.cut)
	s.lose = func(m Message) bool { return m.Kind == KindFound && m.To.Name == "s2" }
	s.rounds(20 * simElectionTicks)
	require.False(t, s.servers["s1"].core.blank())
	require.True(t, s.servers["s2"].core.blank())
	require.Nil(t, s.leader(), "campaigned although s2 lacks the founding snapshot")
	s.lose = nil
	s.requireSettled(t)
}

// A hello that was delayed since before its server was wiped again must not
// put the lost incarnation into the place of the present one.
func TestStaleHelloReplacesNobody(t *testing.T) {
	s := settledCluster(t, 3)
	leader := s.leader()
	victim := s.others(leader)[0]
	s.wipe(victim)
	var hello Message // accepted by the leader
	s.lose = func(m Message) bool {
		if m.Kind == KindHello && m.To.Name == leader.id.Name && m.Context == leader.core.join.nonce {
			hello = m
		}
		return false
	}
	s.requireSettled(t)
	require.Equal(t, victim.id, hello.From)
	s.lose = nil
	s.wipe(victim)
	s.requireSettled(t)
	victim.frozen = true // not heard, so that only the nonce speaks for it
	s.rounds(2 * simElectionTicks)
	require.Equal(t, Leader, leader.core.role)
	leader.core.Step(hello)
	s.process(leader)
	require.True(t, leader.core.State().Members.IsVoter(victim.id))
}

// A server that asked another leader, or before the last change, may be gone.
func TestLearnerMustHaveAskedLately(t *testing.T) {
	s := settledCluster(t, 3)
	s.addServer("s9")
	s.rounds(2 * simElectionTicks)
	leader := s.leader()
	require.Contains(t, leader.core.join.heard, "s9")
	s.crash(s.servers["s9"])
	require.True(t, leader.core.TransferLeadership(ServerID{}))
	s.process(leader)
	s.rounds(2 * simElectionTicks)
	require.True(t, s.leader().core.TransferLeadership(leader.id))
	s.process(s.leader())
	s.rounds(2 * simElectionTicks)
	require.Equal(t, leader, s.leader())
	_, _, err := leader.core.ProposeLearner("s9")
	require.ErrorIs(t, err, ErrUnknownServer)
}

// A second server under a name in use does not push out the first.
func TestServerInUseIsNotReplaced(t *testing.T) {
	s := settledCluster(t, 3)
	leader := s.leader()
	inUse := s.others(leader)[0]
	hello := Message{
		Kind: KindHello, From: ServerID{Name: inUse.id.Name, Incarnation: 99}, To: ServerID{Name: leader.id.Name},
		Context: leader.core.join.nonce,
	}
	leader.core.Step(hello)
	s.process(leader)
	s.rounds(simElectionTicks)
	require.True(t, leader.core.State().Members.IsVoter(inUse.id))

	s.crash(inUse)
	s.rounds(2 * simElectionTicks)
	leader.core.Step(hello)
	require.False(t, leader.core.State().Members.IsVoter(inUse.id))
}

func TestMembershipEntryRoundTrip(t *testing.T) {
	members := Membership{
		{ID: ServerID{Name: "a", Incarnation: 1}, Addr: "127.0.0.1:1"},
		{ID: ServerID{Name: "b", Incarnation: 1 << 63}, Learner: true, PromoteWhenReady: true},
	}
	require.Equal(t, members, decodeMembership(Entry{Data: encodeMembership(members)}))
}

// A crash may come between the two writes of the bootstrap.
func TestFoundingSurvivesHalfAWrite(t *testing.T) {
	for _, name := range []string{"s0", "s1", "s2"} {
		s := newSim(t, 3, 7)
		v := s.servers[name]
		v.crashAt = crashHalfSync
		for v.core != nil {
			s.runRound()
		}
		require.EqualValues(t, FoundingTerm, v.disk.HardState.CurrentTerm)
		require.Zero(t, v.disk.Snapshot.Index)
		s.start(v)
		s.requireSettled(t)
	}
}

// The change that adds a server may be lost with its leader: until it is
// committed, the server goes on asking to join.
func TestUncommittedMemberAsksToJoin(t *testing.T) {
	s := settledCluster(t, 3)
	leader := s.leader()
	wiped := s.others(leader)[0]
	s.wipe(wiped)
	s.lose = func(m Message) bool { return m.Kind == KindAppendEntriesReply && m.From.Name != wiped.id.Name }
	listed := false
	for i := 0; i < 20*simElectionTicks && !listed; i++ {
		s.runRound()
		members, _ := wiped.core.log.membership()
		_, listed = members.Find(wiped.id)
	}
	require.True(t, listed)
	require.False(t, wiped.core.log.membershipAt(wiped.core.log.commit).IsVoter(wiped.id))
	s.crash(leader)
	require.True(t, s.asksToJoin(wiped))
}

func (s *sim) asksToJoin(v *simServer) bool {
	asks := false
	s.lose = func(m Message) bool {
		asks = asks || (m.Kind == KindHello && m.From == v.id)
		return false
	}
	for range 2 * simElectionTicks {
		s.tick(v)
	}
	s.lose = nil
	return asks
}
