package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// autoJoinCluster returns a settled cluster that adds servers that ask to join and removes lost voters.
func autoJoinCluster(t *testing.T, size int) *sim {
	s := newSim(t, size, 7)
	s.autoJoin = true
	for _, name := range s.names {
		s.start(s.servers[name])
	}
	s.requireSettled(t)
	return s
}

func (s *sim) voters() []string {
	leader := s.leader()
	if leader == nil {
		return nil
	}
	var names []string
	for _, id := range leader.core.State().Members.Voters() {
		names = append(names, id.Name)
	}
	return names
}

func TestNewcomerReplacesLostVoter(t *testing.T) {
	s := autoJoinCluster(t, 3)
	s.write(t, "accepted")
	lost := s.others(s.leader())[0]
	s.isolate(lost.id.Name)
	s.rounds(4 * simRemoveTicks)
	require.Len(t, s.voters(), 3, "one of three voters was removed, which doesn't lower the quorum")

	s.addServer("s9")
	s.isolate(lost.id.Name)
	s.rounds(4 * simRemoveTicks)
	require.Len(t, s.voters(), 3)
	require.Contains(t, s.voters(), "s9")
	require.NotContains(t, s.voters(), lost.id.Name)
	require.Equal(t, "accepted", s.servers["s9"].state["k"])

	// The removed server is reachable again, and is added again.
	clear(s.cut)
	s.rounds(4 * simRemoveTicks)
	require.Contains(t, s.voters(), lost.id.Name)
}

// simCatchUpTicks is the time a successor has to catch up before a second disk may be lost.
// Its ratio to simRemoveTicks is that of bounds.catchUpS (4 s) to the time after which a
// control server is removed (6 s).
const simCatchUpTicks = simRemoveTicks * 4 / 6

// A voter is lost for good. Once its successor has had the time to catch up, another server
// may lose its disk, even the leader.
func TestSecondDiskLossAfterSuccessorCaughtUp(t *testing.T) {
	s := autoJoinCluster(t, 3)
	s.write(t, "accepted")
	removed := s.others(s.leader())[0]
	s.isolate(removed.id.Name)
	s.addServer("s9")
	s.isolate(removed.id.Name)
	s.rounds(simCatchUpTicks)

	s.wipe(s.leader())
	s.rounds(100 * simElectionTicks)
	require.NotNil(t, s.leader(), "no leader: %v", s.describe())
	s.write(t, "accepted later")
	require.Len(t, s.voters(), 3)
	require.NotContains(t, s.voters(), removed.id.Name)
}

func TestJoinOnlyServerNeverBootstraps(t *testing.T) {
	s := autoJoinCluster(t, 3)
	for _, name := range s.names {
		s.wipe(s.servers[name])
	}
	s.rounds(40 * simElectionTicks)
	for _, name := range s.names {
		require.True(t, s.servers[name].core.blank(), "bootstrapped although not the first start")
	}
}

func TestServerNotAddedWithoutAutoAddServers(t *testing.T) {
	s := settledCluster(t, 3)
	s.addServer("s9")
	s.rounds(40 * simElectionTicks)
	require.NotContains(t, s.voters(), "s9")
}
