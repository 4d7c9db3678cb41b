package replica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/raftlog"
)

type assertT = assert.CollectT

// pollInterval is the polling interval for conditions.
const pollInterval = 5 * time.Millisecond

func TestReplicatesAndRestarts(t *testing.T) {
	for _, size := range []int{1, 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(t, size, nil)
			var want []string
			for i := range 20 {
				want = append(want, fmt.Sprint("a", i))
				c.propose(want[i])
			}
			c.requireList(want...)

			for _, s := range c.servers {
				s.kill()
			}
			for _, s := range c.servers {
				c.start(s)
			}
			want = append(want, "after")
			c.propose("after")
			c.requireList(want...)
		})
	}
}

func TestConcurrentProposalsShareSyncs(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose("first")
	leader := c.leader()
	var wg sync.WaitGroup
	errs := make(chan error, 200)
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := leader.node.Propose(context.Background(), []byte(fmt.Sprint(i)))
			errs <- err
		}()
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
	c.requireList("first")
}

// A follower that restarts with an empty disk must rejoin with a new incarnation, first
// as a learner, and receive the whole state.
func TestWipedFollowerIsRebuilt(t *testing.T) {
	c := newCluster(t, 3, func(cfg *Config) { cfg.SnapshotEntries = 10 })
	c.propose("one")
	follower := c.follower()
	old := follower.node.Status().Incarnation
	follower.kill()
	for i := range 50 {
		c.propose(fmt.Sprint("b", i))
	}
	follower.cfg.Dir = t.TempDir()
	c.start(follower)
	require.NotEqual(t, old, follower.node.Status().Incarnation)
	c.requireList("one", "b0", "b49")
	c.requireVoters("c0", "c1", "c2")
	require.Eventually(t, func() bool {
		return follower.node.Status().Role == RoleFollower
	}, waitLimit, pollInterval)

	// The cluster must tolerate another failure right after the rebuild.
	c.leader().kill()
	c.propose("after")
	c.requireList("one", "b49", "after")
}

func TestLeaderKilled(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose("one")
	c.leader().kill()
	c.propose("two")
	c.requireList("one", "two")
}

// Stop must return only when another server leads, without waiting for an election
// timeout.
func TestStopTransfersLeadership(t *testing.T) {
	c := newCluster(t, 3, func(cfg *Config) { cfg.ElectionTicks = 2000 })
	c.propose("one")
	c.requireList("one")
	old := c.leader()
	node := old.node
	require.NoError(t, node.Stop(context.Background()))
	old.close()
	old.node = nil
	status := node.Status()
	require.NotEmpty(t, status.LeaderName)
	require.NotEqual(t, status.Name, status.LeaderName)
	c.propose("two")
	c.requireList("one", "two")
}

func TestLaggingFollowerInstallsSnapshot(t *testing.T) {
	c := newCluster(t, 3, func(cfg *Config) { cfg.SnapshotEntries = 10 })
	c.propose("one")
	follower := c.follower()
	follower.kill()
	for i := range 100 {
		c.propose(fmt.Sprint("b", i))
	}
	c.start(follower)
	c.requireList("one", "b99")
	require.Positive(t, follower.counter("lynxgate_consensus_snapshots_installed_total"))

	// The follower's log from before the snapshot must not prevent its next start.
	c.propose("more")
	c.requireList("one", "b99", "more")
	follower.kill()
	c.start(follower)
	c.propose("last")
	c.requireList("one", "b99", "more", "last")
}

func hasMember(name string) func(members []Member) bool {
	return func(members []Member) bool {
		return slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
	}
}

func TestAddAndRemoveServer(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose("one")
	added := c.add(Member{Name: "c3", Addr: reserveAddr(t)}, nil)
	c.change(func(ctx context.Context, n *Node) error { return n.AddLearner(ctx, Member{Name: "c3"}) }, hasMember("c3"))
	c.change(func(ctx context.Context, n *Node) error { return n.Promote(ctx, Member{Name: "c3"}) }, func(members []Member) bool {
		return slices.ContainsFunc(members, func(m Member) bool { return m.Name == "c3" && !m.Learner })
	})
	c.requireVoters("c0", "c1", "c2", "c3")
	c.requireList("one")

	var removed *server
	for _, s := range c.servers {
		if s != c.leader() && s != added {
			removed = s
		}
	}
	c.change(func(ctx context.Context, n *Node) error { return n.Remove(ctx, Member{Name: removed.cfg.Name}) }, func(members []Member) bool {
		return !hasMember(removed.cfg.Name)(members)
	})
	removed.kill()
	require.Eventually(t, func() bool { return len(c.leader().node.Status().Members) == 3 }, waitLimit, pollInterval)
	c.propose("two")
	c.requireList("one", "two")
}

func TestReadIndexCoversAcceptedProposals(t *testing.T) {
	c := newCluster(t, 3, nil)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for i := range 10 {
		command := fmt.Sprint(i)
		c.propose(command)
		for _, s := range c.servers {
			index, err := s.node.ReadIndex(ctx)
			require.NoError(t, err)
			require.NoError(t, s.node.WaitApplied(ctx, index))
			require.Contains(t, s.fsm.list(), command)
		}
	}
}

// A server without a majority must reject proposals and reads.
func TestMinorityRejectsProposalsAndReads(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose("one")
	leader := c.leader()
	for _, s := range c.servers {
		if s != leader {
			s.kill()
		}
	}
	require.Eventually(t, func() bool { return leader.node.Status().Role != RoleLeader }, waitLimit, pollInterval)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	_, err := leader.node.Propose(ctx, []byte("two"))
	require.ErrorIs(t, err, ErrNoQuorum)
	_, err = leader.node.ReadIndex(ctx)
	require.ErrorIs(t, err, ErrNoQuorum)
}

// Damage in the last synced write must make a server rejoin with a new incarnation; damage
// before it must prevent the start until the data folder is wiped.
func TestDamagedLog(t *testing.T) {
	c := newCluster(t, 3, nil)
	for i := range 10 {
		c.propose(fmt.Sprint("a", i))
	}
	c.requireList("a9")
	follower := c.follower()
	old := follower.node.Status().Incarnation
	follower.kill()
	path := filepath.Join(follower.cfg.Dir, "log-0000000000000001.seg")
	data, err := os.ReadFile(path)
	require.NoError(t, err)

	// Damage in the last synced write.
	data[len(data)-1] ^= 1
	require.NoError(t, os.WriteFile(path, data, 0o600))
	c.start(follower)
	require.NotEqual(t, old, follower.node.Status().Incarnation)
	c.propose("b")
	c.requireList("a9", "b")
	c.requireVoters("c0", "c1", "c2")

	// Damage before the last synced write.
	follower.kill()
	data, err = os.ReadFile(path)
	require.NoError(t, err)
	data[len(data)/2] ^= 1
	require.NoError(t, os.WriteFile(path, data, 0o600))
	_, err = Start(follower.cfg, &listFSM{})
	var corrupt *raftlog.CorruptError
	require.ErrorAs(t, err, &corrupt)
	require.NoError(t, os.RemoveAll(follower.cfg.Dir))
	c.start(follower)
	c.propose("c")
	c.requireList("a9", "b", "c")
	c.requireVoters("c0", "c1", "c2")
}
