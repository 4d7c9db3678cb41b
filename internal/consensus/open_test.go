package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// openCluster is a settled cluster that admits newcomers and retires lost voters.
func openCluster(t *testing.T, size int) *sim {
	s := newSim(t, size, 7)
	s.open = true
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

func TestNewcomerTakesThePlaceOfALostVoter(t *testing.T) {
	s := openCluster(t, 3)
	s.write(t, "accepted")
	lost := s.others(s.leader())[0]
	s.isolate(lost.id.Name)
	s.rounds(4 * simRetireTicks)
	require.Len(t, s.voters(), 3, "of three voters a lost one costs the others nothing")

	s.addServer("s9")
	s.isolate(lost.id.Name)
	s.rounds(4 * simRetireTicks)
	require.Len(t, s.voters(), 3)
	require.Contains(t, s.voters(), "s9")
	require.NotContains(t, s.voters(), lost.id.Name)
	require.Equal(t, "accepted", s.servers["s9"].state["k"])

	// The lost one comes back, and is admitted anew.
	clear(s.cut)
	s.rounds(4 * simRetireTicks)
	require.Contains(t, s.voters(), lost.id.Name)
}

// simCatchUpTicks is to simRetireTicks as the time that a successor has until the server
// whose place it takes counts as lost no longer (bounds.catchUpS, 4 s) is to the time after
// which a control server is retired (6 s).
const simCatchUpTicks = simRetireTicks * 4 / 6

// A voter that was removed for good is one lost server until its successor has had its
// time. After that another one may lose its disk, the leader too.
func TestSecondDiskIsLostOnceTheSuccessorHasHadItsTime(t *testing.T) {
	s := openCluster(t, 3)
	s.write(t, "accepted")
	removed := s.others(s.leader())[0]
	s.isolate(removed.id.Name)
	s.addServer("s9")
	s.isolate(removed.id.Name)
	s.rounds(simCatchUpTicks)

	s.wipe(s.leader())
	s.rounds(100 * simElectionTicks)
	require.NotNil(t, s.leader(), "nobody leads: %v", s.describe())
	s.write(t, "accepted later")
	require.Len(t, s.voters(), 3)
	require.NotContains(t, s.voters(), removed.id.Name)
}

func TestServerThatOnlyJoinsNeverFounds(t *testing.T) {
	s := openCluster(t, 3)
	for _, name := range s.names {
		s.wipe(s.servers[name])
	}
	s.rounds(40 * simElectionTicks)
	for _, name := range s.names {
		require.True(t, s.servers[name].core.blank(), "founded without being the first start")
	}
}

func TestClosedClusterAdmitsNobody(t *testing.T) {
	s := settledCluster(t, 3)
	s.addServer("s9")
	s.rounds(40 * simElectionTicks)
	require.NotContains(t, s.voters(), "s9")
}
