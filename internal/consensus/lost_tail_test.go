package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A follower's disk loses acknowledged entries undetected. The leader, whose match index for
// it is too high, must send them again without an election.
func TestFollowerThatLostAcknowledgedEntriesCatchesUp(t *testing.T) {
	s := settledCluster(t, 3)
	leader := s.leader()
	s.write(t, "a")
	s.write(t, "b")
	s.rounds(2 * simElectionTicks)
	follower := s.others(leader)[0]
	s.crash(follower)
	kept := len(follower.disk.Entries) - 2
	require.Positive(t, kept)
	follower.disk.Entries = follower.disk.Entries[:kept]
	s.start(follower)
	s.write(t, "c")
	s.rounds(10 * simElectionTicks)
	require.Equal(t, leader, s.leader(), "the leader changed")
	require.Equal(t, leader.core.log.lastIndex(), follower.core.log.lastIndex())
	require.Equal(t, leader.core.log.commit, follower.core.log.commit)
}
