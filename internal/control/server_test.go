package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/configfeed"
	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// waitLong bounds waits for conditions; it is not a performance requirement.
const waitLong = 30 * time.Second

// testServer is a control server on a loopback listener.
type testServer struct {
	*Server
	addr string
	stop func()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return lis
}

// serve serves a mux until the returned function is called.
func serve(lis net.Listener, mux *drpcmux.Mux) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.New(mux).Serve(ctx, lis)
	}()
	return func() {
		cancel()
		<-done
	}
}

func startServer(t *testing.T, name string, lis net.Listener, cfg Config, open OpenLog) *testServer {
	t.Helper()
	cfg.Name = name
	cfg.Addr = lis.Addr().String()
	cfg.AdminAddr = "admin-of-" + name
	cfg.Incarnation = uint64(time.Now().UnixNano())
	cfg.Registerer = prometheus.NewRegistry()
	if cfg.ConfirmWindow == 0 {
		cfg.ConfirmWindow = 500 * time.Millisecond
	}
	s, err := New(cfg, open)
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, s.Register(mux))
	stopServing := serve(lis, mux)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	stopped := false
	ts := &testServer{Server: s, addr: lis.Addr().String(), stop: func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		<-done
		_ = s.Stop(context.Background())
		stopServing()
	}}
	t.Cleanup(ts.stop)
	return ts
}

// startFakes starts n servers with a fake log.
func startFakes(t *testing.T, n int, cfg Config) (*fakeCluster, []*testServer) {
	cluster := newFakeCluster()
	listeners := make([]net.Listener, n)
	for i := range listeners {
		listeners[i] = listen(t)
		cfg.Peers = append(cfg.Peers, listeners[i].Addr().String())
	}
	servers := make([]*testServer, n)
	for i := range servers {
		name := fmt.Sprintf("c%d", i)
		servers[i] = startServer(t, name, listeners[i], cfg, cluster.open(name, listeners[i].Addr().String()))
	}
	return cluster, servers
}

func startFeed(t *testing.T, name string, upstreams []string, prefixes ...string) *configfeed.Client {
	t.Helper()
	c, err := configfeed.NewClient(configfeed.ClientConfig{
		Name:         name,
		Upstreams:    upstreams,
		Prefixes:     prefixes,
		FloorPath:    filepath.Join(t.TempDir(), "floor"),
		StartWait:    300 * time.Millisecond,
		StaleTimeout: 3 * time.Second,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

func change(id string, base uint64, records ...any) inventory.ChangeRequest {
	req := inventory.ChangeRequest{OperationID: id, Operator: "op", BaseRevision: base}
	for _, r := range records {
		value, err := json.Marshal(r)
		if err != nil {
			panic(err)
		}
		req.Changes = append(req.Changes, inventory.Change{Key: r.(interface{ Key() string }).Key(), Value: value})
	}
	return req
}

var fleet = []any{
	inventory.Zone{Name: "z1", Region: "r1"},
	inventory.VM{Name: "vm1", Zone: "z1"},
	inventory.VM{Name: "vm2", Zone: "z1"},
	inventory.Service{Name: "writer", Kind: inventory.KindModel, Model: "m"},
	inventory.ModelVersion{Model: "m", Version: "1", Origin: "http://127.0.0.1:1", Manifest: fmt.Sprintf("%064x", 1)},
	inventory.Rule{Name: "r", Service: "writer", Version: "1", Copies: 2},
}

func announceAgent(vm string, incarnation uint64) *rpc.AnnounceRequest {
	return &rpc.AnnounceRequest{
		Name: vm, Role: "agent", Zone: "z1", Addr: "127.0.0.1:9", Service: "writer",
		Incarnation: incarnation, Capacity: 1,
	}
}

func within(t *testing.T, check func() bool, what string) {
	t.Helper()
	require.Eventually(t, check, waitLong, 5*time.Millisecond, what)
}

func accept(t *testing.T, s *testServer, req inventory.ChangeRequest) uint64 {
	t.Helper()
	res, err := s.Apply(context.Background(), req)
	require.NoError(t, err)
	require.Equal(t, inventory.VerdictAccepted, res.Verdict, "%v", res.Problems)
	return res.Revision
}

func getAssignment(c *configfeed.Client, vm string) (inventory.Assignment, bool) {
	var a inventory.Assignment
	e := c.View().Get(inventory.PrefixAssign + vm)
	if e == nil {
		return a, false
	}
	return a, json.Unmarshal(e.Value, &a) == nil
}

// TestFromAnnouncementToAssignment follows one change from the operator to an
// agent's assignment, through an entry that relays the feed.
func TestFromAnnouncementToAssignment(t *testing.T) {
	_, servers := startFakes(t, 3, Config{})
	leader := servers[0]
	accept(t, leader, change("1", 0, fleet...))

	entry := startFeed(t, "entry", []string{servers[1].addr, servers[2].addr})
	relay := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterFeed(relay, configfeed.NewSource(configfeed.SourceConfig{
		Store:     entry.Store(),
		Confirmed: entry.Confirmed,
		Confirm:   controlclient.New(controlclient.Config{Addrs: []string{servers[2].addr}}).ReadIndex,
	})))
	lis := listen(t)
	t.Cleanup(serve(lis, relay))
	agent := startFeed(t, "vm1", []string{lis.Addr().String()}, inventory.PrefixAssign, inventory.PrefixModel)

	// the follower's address comes first: the client has to find the leader
	client := controlclient.New(controlclient.Config{Addrs: []string{servers[2].addr, servers[0].addr}})
	for _, vm := range []string{"vm1", "vm2"} {
		resp, err := client.Announce(context.Background(), announceAgent(vm, 7))
		require.NoError(t, err)
		require.Equal(t, rpc.Status_STATUS_OK, resp.Status)
		require.Equal(t, "admin-of-c0", resp.LeaderAdminAddr)
	}
	within(t, func() bool {
		a, ok := getAssignment(agent, "vm1")
		b, also := getAssignment(agent, "vm2")
		return ok && also && len(a.Wants) == 1 && len(b.Wants) == 1 && a.Fence > 0
	}, "both agents are assigned the version")
	require.Nil(t, agent.View().Get(inventory.PrefixMember+"vm1"), "an agent gets its prefixes only")
	within(t, func() bool { return !agent.Unconfirmed() }, "confirmed through the relay")

	resp, err := client.Announce(context.Background(), announceAgent("vm1", 6))
	require.NoError(t, err)
	require.Equal(t, rpc.Status_STATUS_INVALID, resp.Status)
	require.EqualValues(t, 7, resp.KnownIncarnation)

	within(t, func() bool {
		st, err := leader.Status(context.Background())
		return err == nil && st.Quorum && len(st.Daemons) == 5 && len(st.Replicas) == 1 && st.Replicas[0].Wanted == 2
	}, "the leader knows three servers and two agents")
	_, err = servers[1].Apply(context.Background(), change("2", 0, fleet[0]))
	var notLeader *admin.NotLeaderError
	require.ErrorAs(t, err, &notLeader)
	require.Equal(t, "c0", notLeader.Leader)
	records, err := servers[2].Audit(context.Background(), admin.AuditQuery{Key: "rule/"})
	require.NoError(t, err)
	require.Len(t, records, 1)
	require.Equal(t, "1", records[0].OperationID)
}

// TestLeasesAcrossLeaderChange checks that under a new leader a member without
// announcements is down after its lease, that its next incarnation is up again,
// and that a member remains leaving.
func TestLeasesAcrossLeaderChange(t *testing.T) {
	cluster, servers := startFakes(t, 2, Config{Lease: minLease})
	accept(t, servers[0], change("1", 0, fleet...))
	client := controlclient.New(controlclient.Config{Addrs: []string{servers[0].addr, servers[1].addr}})
	stateOf := func(vm string) inventory.MemberState {
		e := servers[0].store.View().Get(inventory.PrefixMember + vm)
		if e == nil {
			return ""
		}
		return decodeDerived[inventory.Member](e.Key, e.Value).State
	}
	announce := func(req *rpc.AnnounceRequest) {
		resp, err := client.Announce(context.Background(), req)
		require.NoError(t, err)
		require.Equal(t, rpc.Status_STATUS_OK, resp.Status)
	}
	announce(announceAgent("vm1", 1))
	announce(announceAgent("vm2", 1))
	require.Equal(t, inventory.MemberUp, stateOf("vm1"))
	cluster.elect(1)
	announce(announceAgent("vm2", 1))
	within(t, func() bool { return stateOf("vm1") == inventory.MemberDown }, "its lease has expired")
	announce(announceAgent("vm1", 2))
	require.Equal(t, inventory.MemberUp, stateOf("vm1"))
	leaving := announceAgent("vm1", 2)
	leaving.Leaving = true
	announce(leaving)
	require.Equal(t, inventory.MemberLeaving, stateOf("vm1"))
	announce(announceAgent("vm1", 2))
	require.Equal(t, inventory.MemberLeaving, stateOf("vm1"), "a delayed announcement does not cancel leaving")
}

// TestStatusCountsLeasedReplicas lets the lease of an agent with a live replica
// expire: the status still lists the agent, but not its replica as live.
func TestStatusCountsLeasedReplicas(t *testing.T) {
	_, servers := startFakes(t, 1, Config{Lease: minLease})
	accept(t, servers[0], change("1", 0, fleet...))
	client := controlclient.New(controlclient.Config{Addrs: []string{servers[0].addr}})
	req := announceAgent("vm1", 1)
	req.Replicas = []*rpc.ReplicaReport{{Model: "m", Version: "v1", Phase: "live"}}
	_, err := client.Announce(context.Background(), req)
	require.NoError(t, err)
	live := func() int {
		status, err := servers[0].Status(context.Background())
		require.NoError(t, err)
		n := 0
		for _, r := range status.Replicas {
			n += r.Live
		}
		return n
	}
	require.Equal(t, 1, live())
	within(t, func() bool { return live() == 0 }, "its lease has expired")
}

// TestPartitionedServerIsNotConfirmed partitions a follower: it is unconfirmed,
// and a new subscriber does not start with its old state.
func TestPartitionedServerIsNotConfirmed(t *testing.T) {
	cluster, servers := startFakes(t, 2, Config{})
	accept(t, servers[0], zoneChange("1", 0, "r1"))
	within(t, func() bool { return servers[1].Confirmed() }, "confirmed")
	cluster.setPartitioned(1, true)
	accept(t, servers[0], zoneChange("2", 1, "r2"))
	within(t, func() bool { return !servers[1].Confirmed() }, "notices the partition")
	_, err := servers[1].Get(context.Background(), "zone/")
	require.ErrorIs(t, err, admin.ErrNoQuorum)
	_, err = servers[1].Members(context.Background())
	require.ErrorIs(t, err, admin.ErrNoQuorum, "it may have been removed")
	feed := startFeed(t, "new", []string{servers[1].addr, servers[0].addr})
	<-feed.Ready()
	require.EqualValues(t, 2, feed.Revision())
	cluster.setPartitioned(1, false)
	within(t, func() bool { return servers[1].Confirmed() }, "confirmed again")
	require.EqualValues(t, 2, servers[1].store.Revision())
}
