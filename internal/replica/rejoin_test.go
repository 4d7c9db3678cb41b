package replica

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// A server that comes back with an empty disk knows the servers of its settings only,
// and so do those that it asks: a leader that was added later is known by the
// membership alone.
func TestWipedServerFindsALeaderThatNoSettingsName(t *testing.T) {
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
	require.Eventually(t, func() bool { return wiped.node.Status().Role == RoleFollower }, waitLimit, tick)
	c.requireVoters("c0", "c1", "c2", "c3", "c4")
}
