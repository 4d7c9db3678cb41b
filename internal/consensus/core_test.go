package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// settledCluster returns a cluster with a leader and all entries replicated.
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

// others returns all servers except v, in order.
func (s *sim) others(v *simServer) []*simServer {
	var out []*simServer
	for _, name := range s.names {
		if s.servers[name] != v {
			out = append(out, s.servers[name])
		}
	}
	return out
}

func TestPreVoteDoesNotDisruptLeader(t *testing.T) {
	s := settledCluster(t, 3)
	leader := s.leader()
	term := leader.core.hard.CurrentTerm
	partitioned := s.others(leader)[0]
	s.isolate(partitioned.id.Name)
	s.rounds(20 * simElectionTicks)
	require.Equal(t, term, partitioned.core.hard.CurrentTerm, "a partitioned server must not raise its term")
	s.heal()
	s.rounds(4 * simElectionTicks)
	require.Equal(t, term, leader.core.hard.CurrentTerm)
	require.Equal(t, Leader, leader.core.role)
}

// A leader that can send but not receive blocks all writes until it steps down.
func TestCheckQuorumDeposesLeaderThatCannotReceive(t *testing.T) {
	s := settledCluster(t, 3)
	old := s.leader()
	for _, v := range s.others(old) {
		s.cut[[2]string{v.id.Name, old.id.Name}] = true
	}
	for range 10 * simElectionTicks {
		s.runRound()
		if leader := s.leader(); leader != nil && leader != old {
			return
		}
	}
	t.Fatal("the leader that can't receive was not replaced")
}

// Servers in contact with a leader ignore vote requests, so a removed server
// can't depose it.
func TestVoteRequestIgnoredWhileLeaderInContact(t *testing.T) {
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

func TestRemovedLeaderTransfersLeadership(t *testing.T) {
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
	require.ErrorIs(t, err, ErrInvalidChange)
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

// A wiped server that restarts with its old settings and a server that lacks an
// accepted write must not form a quorum.
func TestWipedAndLaggingServersFormNoQuorum(t *testing.T) {
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
		var lagging *simServer
		for _, v := range s.others(leader) {
			if v != wiped {
				lagging = v
			}
		}
		s.isolate(lagging.id.Name)
		s.write(t, "accepted")
		s.crash(leader)
		s.wipe(wiped)
		clear(s.cut)
		s.rounds(40 * simElectionTicks)
		require.Nil(t, s.leader(), "a wiped server and a lagging one have elected a leader")

		s.start(leader)
		s.requireSettled(t)
		require.Equal(t, "accepted", wiped.state["k"])
		require.Equal(t, "accepted", lagging.state["k"])
		require.True(t, wiped.core.State().Members.IsVoter(wiped.id), "promoted again")
	}
}

// While one initial voter has state, the others can't bootstrap a second cluster.
func TestWipedMajorityCannotBootstrapAgain(t *testing.T) {
	s := settledCluster(t, 3)
	s.wipe(s.servers["s0"])
	s.wipe(s.servers["s1"])
	s.rounds(40 * simElectionTicks)
	require.Nil(t, s.leader())
	require.True(t, s.servers["s0"].core.blank())
	require.True(t, s.servers["s1"].core.blank())
}

// No server campaigns before every initial voter has the bootstrap snapshot: one
// without it could bootstrap another cluster.
func TestBootstrapNeedsEveryInitialVoter(t *testing.T) {
	s := newSim(t, 3, 7)
	s.isolate("s2")
	s.rounds(20 * simElectionTicks)
	require.True(t, s.servers["s0"].core.blank(), "bootstrapped without contact to s2")
	clear(s.cut)
	s.dropIf = func(m Message) bool { return m.Kind == KindBootstrap && m.To.Name == "s2" }
	s.rounds(20 * simElectionTicks)
	require.False(t, s.servers["s1"].core.blank())
	require.True(t, s.servers["s2"].core.blank())
	require.Nil(t, s.leader(), "campaigned although s2 lacks the bootstrap snapshot")
	s.dropIf = nil
	s.requireSettled(t)
}

// A join request that was delayed until its server was wiped again must not replace the
// current incarnation by the lost one.
func TestStaleHelloReplacesNoMember(t *testing.T) {
	s := settledCluster(t, 3)
	leader := s.leader()
	victim := s.others(leader)[0]
	s.wipe(victim)
	var joinRequest Message // accepted by the leader
	s.dropIf = func(m Message) bool {
		if m.Kind == KindJoinRequest && m.To.Name == leader.id.Name && m.Context == leader.core.join.nonce {
			joinRequest = m
		}
		return false
	}
	s.requireSettled(t)
	require.Equal(t, victim.id, joinRequest.From)
	s.dropIf = nil
	s.wipe(victim)
	s.requireSettled(t)
	victim.frozen = true // not active, so that only the nonce protects it
	s.rounds(2 * simElectionTicks)
	require.Equal(t, Leader, leader.core.role)
	leader.core.Step(joinRequest)
	s.process(leader)
	require.True(t, leader.core.State().Members.IsVoter(victim.id))
}

// A server whose join request is from before the last change of leader or membership may
// be gone, so it can't be added.
func TestLearnerNotAddedAfterStaleHello(t *testing.T) {
	s := settledCluster(t, 3)
	s.addServer("s9")
	s.rounds(2 * simElectionTicks)
	leader := s.leader()
	require.Contains(t, leader.core.join.requests, "s9")
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

// A second server with the name of an active member does not replace it.
func TestActiveMemberIsNotReplaced(t *testing.T) {
	s := settledCluster(t, 3)
	leader := s.leader()
	active := s.others(leader)[0]
	joinRequest := Message{
		Kind: KindJoinRequest, From: ServerID{Name: active.id.Name, Incarnation: 99}, To: ServerID{Name: leader.id.Name},
		Context: leader.core.join.nonce,
	}
	leader.core.Step(joinRequest)
	s.process(leader)
	s.rounds(simElectionTicks)
	require.True(t, leader.core.State().Members.IsVoter(active.id))

	s.crash(active)
	s.rounds(2 * simElectionTicks)
	leader.core.Step(joinRequest)
	require.False(t, leader.core.State().Members.IsVoter(active.id))
}

func TestMembershipEntryRoundTrip(t *testing.T) {
	members := Membership{
		{ID: ServerID{Name: "a", Incarnation: 1}, Addr: "127.0.0.1:1"},
		{ID: ServerID{Name: "b", Incarnation: 1 << 63}, Learner: true, PromoteWhenReady: true},
	}
	require.Equal(t, members, decodeMembership(Entry{Data: encodeMembership(members)}))
}

// A crash between the two writes of the bootstrap leaves the term without the snapshot.
func TestBootstrapSurvivesPartialWrite(t *testing.T) {
	for _, name := range []string{"s0", "s1", "s2"} {
		s := newSim(t, 3, 7)
		v := s.servers[name]
		v.crashAt = crashHalfSync
		for v.core != nil {
			s.runRound()
		}
		require.EqualValues(t, BootstrapTerm, v.disk.HardState.CurrentTerm)
		require.Zero(t, v.disk.Snapshot.Index)
		s.start(v)
		s.requireSettled(t)
	}
}

// The change that adds a server may be lost with its leader, so the server keeps
// asking to join until the change is committed.
func TestUncommittedMemberAsksToJoin(t *testing.T) {
	s := settledCluster(t, 3)
	leader := s.leader()
	wiped := s.others(leader)[0]
	s.wipe(wiped)
	s.dropIf = func(m Message) bool { return m.Kind == KindAppendEntriesReply && m.From.Name != wiped.id.Name }
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
	asked := false
	s.dropIf = func(m Message) bool {
		asked = asked || (m.Kind == KindJoinRequest && m.From == v.id)
		return false
	}
	for range 2 * simElectionTicks {
		s.tick(v)
	}
	s.dropIf = nil
	return asked
}
