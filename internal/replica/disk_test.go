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

// badDisk is a storage whose writes stall or fail for a time.
type badDisk struct {
	storage

	mu sync.Mutex
	// stalled is closed when writes go on; nil if they do.
	stalled chan struct{}
	refuses bool
}

var errDisk = errors.New("disk refuses")

func (d *badDisk) write(do func() error) error {
	d.mu.Lock()
	stalled, refuses := d.stalled, d.refuses
	d.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	if refuses {
		return errDisk
	}
	return do()
}

func (d *badDisk) SaveHardState(h consensus.HardState) error {
	return d.write(func() error { return d.storage.SaveHardState(h) })
}

func (d *badDisk) Append(entries []consensus.Entry) error {
	return d.write(func() error { return d.storage.Append(entries) })
}

func (d *badDisk) stall() (goOn func()) {
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

func (d *badDisk) refuse(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuses = on
}

// newClusterOnBadDisks returns three servers that wait for their disks, and the disks by
// name.
func newClusterOnBadDisks(t *testing.T) (*cluster, map[string]*badDisk) {
	disks := map[string]*badDisk{}
	c := newCluster(t, 3, func(cfg *Config) {
		disk := &badDisk{}
		disks[cfg.Name] = disk
		cfg.RetryDisk = true
		cfg.wrapStorage = func(s storage) storage {
			disk.storage = s
			return disk
		}
	})
	return c, disks
}

// requireOtherLeader proposes until the leader is another one than old.
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
	}, waitLimit, tick)
}

// A leader whose disk stalls is replaced; it keeps what it had acknowledged, takes over
// what was decided meanwhile, and gives up nothing.
func TestLeaderWithAStalledDiskIsReplaced(t *testing.T) {
	c, disks := newClusterOnBadDisks(t)
	c.propose("one")
	c.requireList("one")
	old := c.leader()
	goOn := disks[old.cfg.Name].stall()
	defer func() {
		if goOn != nil {
			goOn()
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := old.node.Propose(ctx, []byte("never durable at its leader"))
	require.Error(t, err, "acknowledged by nobody")
	c.requireOtherLeader(old, "two")
	goOn()
	goOn = nil
	c.requireList("one", "two")
}

// A follower whose disk refuses writes for a time catches up; the others go on.
func TestFollowerWhoseDiskRefusesCatchesUp(t *testing.T) {
	c, disks := newClusterOnBadDisks(t)
	c.propose("one")
	c.requireList("one")
	leader := c.leader()
	for name, disk := range disks {
		if name != leader.cfg.Name {
			disk.refuse(true)
			defer disk.refuse(false)
			c.propose("two")
			c.propose("three")
			disk.refuse(false)
			break
		}
	}
	c.requireList("one", "two", "three")
}

// No change is acknowledged while the disks of a majority refuse writes.
func TestNoMajorityOfDisksNoAcknowledgement(t *testing.T) {
	c, disks := newClusterOnBadDisks(t)
	c.propose("one")
	c.requireList("one")
	leader := c.leader()
	for name, disk := range disks {
		if name != leader.cfg.Name {
			disk.refuse(true)
			defer disk.refuse(false)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err := leader.node.Propose(ctx, []byte("two"))
	require.Error(t, err)
	for _, disk := range disks {
		disk.refuse(false)
	}
	c.propose("three")
	c.requireList("one", "three")
}
