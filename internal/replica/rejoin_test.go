package replica

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// A server that restarts with an empty disk must join even if the leader was added later:
// neither its settings nor those of the servers it asks contain the leader's address.
func TestWipedServerJoinsThroughLeaderNotInSettings(t *testing.T) {
	admit := func(cfg *Config) { cfg.AdmitNewcomers = true }
	c := newCluster(t, 3, admit)
	c.propose("one")
	added := []string{"c3", "c4"}
	for _, name := range added {
		c.add(Member{Name: name, Addr: reserveAddr(t)}, admit)
	}
	c.requireVoters("c0", "c1", "c2", "c3", "c4")
	for leader := c.leader(); !slices.Contains(added, leader.cfg.Name); leader = c.leader() {
		leader.kill()
		c.propose("another leader")
		c.start(leader)
		c.requireList("one")
	}

	wiped := c.servers["c1"]
	wiped.kill()
	wiped.cfg.Dir, wiped.cfg.JoinOnly = t.TempDir(), true
	c.start(wiped)
	require.Eventually(t, func() bool { return wiped.node.Status().Role == RoleFollower }, waitLimit, pollInterval)
	c.requireVoters("c0", "c1", "c2", "c3", "c4")
}
