package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A follower whose disk has lost entries that it had acknowledged, without a trace, is
// brought up to date by the same leader, though that had counted it as further.
func TestFollowerThatLostItsTailIsBroughtUpToDate(t *testing.T) {
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
	require.Equal(t, leader, s.leader(), "no election helped")
	require.Equal(t, leader.core.log.lastIndex(), follower.core.log.lastIndex())
	require.Equal(t, leader.core.log.commit, follower.core.log.commit)
}
