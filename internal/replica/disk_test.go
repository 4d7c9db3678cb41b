package replica

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/consensus"
)

// faultyStorage is a storage whose writes can be made to stall or fail.
type faultyStorage struct {
	storage

	mu sync.Mutex
	// stalled is closed when stalled writes resume; nil if writes are not stalled.
	stalled chan struct{}
	failing bool
}

var errDisk = errors.New("write failed")

func (d *faultyStorage) write(do func() error) error {
	d.mu.Lock()
	stalled, failing := d.stalled, d.failing
	d.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	if failing {
		return errDisk
	}
	return do()
}

func (d *faultyStorage) SaveHardState(h consensus.HardState) error {
	return d.write(func() error { return d.storage.SaveHardState(h) })
}

func (d *faultyStorage) Append(entries []consensus.Entry) error {
	return d.write(func() error { return d.storage.Append(entries) })
}

func (d *faultyStorage) stall() (resume func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stalled := make(chan struct{})
	d.stalled = stalled
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.stalled = nil
		close(stalled)
	}
}

func (d *faultyStorage) setFailing(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
}

// newClusterWithFaultyDisks starts three servers that retry failed writes, and returns
// their storages by server name.
func newClusterWithFaultyDisks(t *testing.T) (*cluster, map[string]*faultyStorage) {
	disks := map[string]*faultyStorage{}
	c := newCluster(t, 3, func(cfg *Config) {
		disk := &faultyStorage{}
		disks[cfg.Name] = disk
		cfg.RetryDisk = true
		cfg.wrapStorage = func(s storage) storage {
			disk.storage = s
			return disk
		}
	})
	return c, disks
}

// requireOtherLeader waits until a leader other than old has accepted the command.
func (c *cluster) requireOtherLeader(old *server, command string) {
	require.Eventually(c.t, func() bool {
		for _, s := range c.servers {
			if s == old || s.node.Status().Role != RoleLeader {
				continue
			}
			ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
			_, err := s.node.Propose(ctx, []byte(command))
			cancel()
			return err == nil
		}
		return false
	}, waitLimit, pollInterval)
}

// A leader whose disk stalls must be replaced. When its disk recovers, it must keep its
// acknowledged entries and apply those committed meanwhile.
func TestLeaderWithAStalledDiskIsReplaced(t *testing.T) {
	c, disks := newClusterWithFaultyDisks(t)
	c.propose("one")
	c.requireList("one")
	old := c.leader()
	resume := disks[old.cfg.Name].stall()
	defer func() {
		if resume != nil {
			resume()
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := old.node.Propose(ctx, []byte("never durable at its leader"))
	require.Error(t, err, "a proposal must not be acknowledged while the disk stalls")
	c.requireOtherLeader(old, "two")
	resume()
	resume = nil
	c.requireList("one", "two")
}

// While a follower's writes fail, the other servers must accept proposals; afterwards the
// follower must catch up.
func TestFollowerCatchesUpAfterDiskErrors(t *testing.T) {
	c, disks := newClusterWithFaultyDisks(t)
	c.propose("one")
	c.requireList("one")
	leader := c.leader()
	for name, disk := range disks {
		if name != leader.cfg.Name {
			disk.setFailing(true)
			defer disk.setFailing(false)
			c.propose("two")
			c.propose("three")
			disk.setFailing(false)
			break
		}
	}
	c.requireList("one", "two", "three")
}

// No proposal may be acknowledged while writes fail on a majority of the disks.
func TestProposalNeedsMajorityOfDisks(t *testing.T) {
	c, disks := newClusterWithFaultyDisks(t)
	c.propose("one")
	c.requireList("one")
	leader := c.leader()
	for name, disk := range disks {
		if name != leader.cfg.Name {
			disk.setFailing(true)
			defer disk.setFailing(false)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err := leader.node.Propose(ctx, []byte("two"))
	require.Error(t, err)
	for _, disk := range disks {
		disk.setFailing(false)
	}
	c.propose("three")
	c.requireList("one", "three")
}
