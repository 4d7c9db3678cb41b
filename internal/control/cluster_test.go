package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/configfeed"
	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/replica"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// cluster is a set of control servers with the real log, on loopback.
type cluster struct {
	t       *testing.T
	cfg     Config
	members []replica.Member
	dirs    []string
	servers []*testServer
}

func startCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, servers: make([]*testServer, n)}
	listeners := make([]net.Listener, n)
	for i := range n {
		listeners[i] = listen(t)
		addr := listeners[i].Addr().String()
		c.cfg.Peers = append(c.cfg.Peers, addr)
		c.members = append(c.members, replica.Member{Name: fmt.Sprintf("c%d", i), Addr: addr})
		c.dirs = append(c.dirs, t.TempDir())
	}
	for i := range n {
		c.start(i, listeners[i])
	}
	return c
}

func (c *cluster) start(i int, lis net.Listener) {
	c.servers[i] = startServer(c.t, c.members[i].Name, lis, c.cfg, OpenReplica(replica.Config{
		Name:            c.members[i].Name,
		Addr:            c.members[i].Addr,
		Dir:             c.dirs[i],
		Peers:           c.members,
		TickInterval:    20 * time.Millisecond,
		ElectionTicks:   20,
		HeartbeatTicks:  4,
		SnapshotEntries: 50,
	}))
}

func (c *cluster) restart(i int) {
	lis, err := net.Listen("tcp", c.members[i].Addr)
	require.NoError(c.t, err)
	c.start(i, lis)
}

// leader waits for a leader that is confirmed with a quorum and returns its index.
func (c *cluster) leader() int {
	found := -1
	within(c.t, func() bool {
		for i, s := range c.servers {
			if s != nil && s.log.Status().Role == replica.RoleLeader && s.Confirmed() {
				found = i
				return true
			}
		}
		return false
	}, "a leader")
	return found
}

func (c *cluster) stop(i int) {
	c.servers[i].stop()
	c.servers[i] = nil
}

// apply sends a request to the running servers in turn until one returns a
// result.
func (c *cluster) apply(req inventory.ChangeRequest) inventory.ChangeResult {
	var running []*testServer
	for _, s := range c.servers {
		if s != nil {
			running = append(running, s)
		}
	}
	return applyAnywhere(running, req)
}

func zoneChange(id string, base uint64, region string) inventory.ChangeRequest {
	return change(id, base, inventory.Zone{Name: "z", Region: region})
}

// watchRevisions checks that the revisions of the feeds never decrease and that
// each view has the value accepted at its revision. The returned function stops
// the checks and fails the test if one of them failed.
func watchRevisions(t *testing.T, feeds []*configfeed.Client) func() {
	stop := make(chan struct{})
	faults := make(chan error, len(feeds))
	var wg sync.WaitGroup
	for _, f := range feeds {
		wg.Go(func() {
			var last uint64
			for {
				changed := f.Changed()
				view := f.View()
				if view.Revision() < last {
					faults <- fmt.Errorf("revision decreased from %d to %d", last, view.Revision())
					return
				}
				last = view.Revision()
				want := fmt.Sprintf(`"r%d"`, last)
				if e := view.Get("zone/z"); last > 0 && !strings.Contains(string(e.Value), want) {
					faults <- fmt.Errorf("revision %d has %s", last, e.Value)
					return
				}
				select {
				case <-changed:
				case <-stop:
					return
				}
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
		close(faults)
		for err := range faults {
			require.NoError(t, err)
		}
	}
}

// TestLeaderStops stops leaders during a series of changes and checks that every
// accepted change comes into force once on all subscribers, and that no
// subscriber's revision decreases.
func TestLeaderStops(t *testing.T) {
	c := startCluster(t, 3)
	c.leader()
	var feeds []*configfeed.Client
	for i := range 6 {
		name := fmt.Sprint("s", i)
		feeds = append(feeds, startFeed(t, name, configfeed.RendezvousOrder(name, c.cfg.Peers)))
	}
	watched := watchRevisions(t, feeds)
	const changes = 120
	down := -1
	for i := range changes {
		if i%40 == 20 {
			down = c.leader()
			c.stop(down)
		}
		res := c.apply(zoneChange(fmt.Sprint("op", i), uint64(i), fmt.Sprint("r", i+1)))
		require.Equal(t, inventory.VerdictAccepted, res.Verdict)
		require.EqualValues(t, i+1, res.Revision, "one revision per change")
		if i%40 == 30 {
			c.restart(down)
		}
	}
	for _, f := range feeds {
		within(t, func() bool { return f.Revision() == changes && !f.Unconfirmed() }, "in force everywhere")
	}
	for i, s := range c.servers {
		within(t, func() bool { return s.store.Revision() == changes }, "on all servers")
		require.Len(t, s.machine.Audit(), changes, "server %d", i)
	}
	watched()
}

// TestMinority stops two of three servers: the third refuses changes, still serves
// its configuration and reports that it is unconfirmed.
func TestMinority(t *testing.T) {
	c := startCluster(t, 3)
	c.leader()
	require.Equal(t, inventory.VerdictAccepted, c.apply(zoneChange("1", 0, "r1")).Verdict)
	old := startFeed(t, "old", c.cfg.Peers)
	within(t, func() bool { return old.Revision() == 1 && !old.Unconfirmed() }, "confirmed")
	for _, s := range c.servers {
		within(t, func() bool { return s.store.Revision() == 1 }, "on all servers")
	}
	c.stop(0)
	c.stop(1)
	left := c.servers[2]
	within(t, func() bool { return !left.Confirmed() }, "notices the loss of the quorum")
	within(t, func() bool {
		_, err := left.Apply(context.Background(), zoneChange("refused", 1, "r2"))
		require.Error(t, err)
		return errors.Is(err, admin.ErrNoQuorum)
	}, "refuses changes")
	_, err := left.Get(context.Background(), "zone/")
	require.ErrorIs(t, err, admin.ErrNoQuorum)
	client := controlclient.New(controlclient.Config{Addrs: c.cfg.Peers, CallTimeout: 200 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = client.ReadIndex(ctx)
	require.Error(t, err)
	fresh := startFeed(t, "fresh", c.cfg.Peers)
	within(t, func() bool { return fresh.Revision() == 1 }, "a new subscriber gets the unconfirmed configuration")
	require.True(t, fresh.Unconfirmed())
	within(t, old.Unconfirmed, "an old subscriber becomes unconfirmed")
	require.EqualValues(t, 1, old.Revision())

	c.restart(0)
	within(t, func() bool { return !old.Unconfirmed() && !fresh.Unconfirmed() }, "confirmed again")
	res := c.apply(zoneChange("2", 1, "r2"))
	require.Equal(t, inventory.VerdictAccepted, res.Verdict)
	require.EqualValues(t, 2, res.Revision, "the refused change made no revision")
}

// TestClaimIsGrantedOnce claims one key in several attempts while leaders stop:
// only the first attempt is granted it.
func TestClaimIsGrantedOnce(t *testing.T) {
	c := startCluster(t, 3)
	c.leader()
	client := controlclient.New(controlclient.Config{Addrs: c.cfg.Peers})
	claim := func(attempt string) *rpc.ClaimResponse {
		ctx, cancel := context.WithTimeout(context.Background(), waitLong)
		defer cancel()
		resp, err := client.Claim(ctx, &rpc.ClaimRequest{Organisation: "o", Key: "k", BodyDigest: []byte("b"),
			Entry: "e", TimeoutMs: time.Minute.Milliseconds(), Attempt: attempt})
		require.NoError(t, err)
		return resp
	}
	granted := claim("a")
	require.Equal(t, rpc.ClaimVerdict_CLAIM_GRANTED, granted.Verdict)
	down := c.leader()
	c.stop(down)
	require.Equal(t, rpc.ClaimVerdict_CLAIM_IN_PROGRESS, claim("b").Verdict)
	require.Equal(t, granted.Token, claim("a").Token, "the same attempt gets its claim again")
	c.restart(down)
	_, err := client.Settle(context.Background(), &rpc.SettleRequest{Organisation: "o", Key: "k", Token: granted.Token,
		Answer: &rpc.StoredAnswer{Status: 200, Body: []byte("yes")}})
	require.NoError(t, err)
	c.stop(c.leader())
	require.Equal(t, "yes", string(claim("c").Answer.GetBody()))
}
