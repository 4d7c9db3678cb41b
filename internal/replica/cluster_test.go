package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// waitLimit is long enough for slow machines.
const waitLimit = 30 * time.Second

// listFSM records all commands in order.
type listFSM struct {
	mu       sync.Mutex
	commands []string
	commits  map[string]Commit
}

func (f *listFSM) ApplyCommitted(index uint64, data []byte, c Commit) any {
	f.mu.Lock()
	if f.commits == nil {
		f.commits = map[string]Commit{}
	}
	f.commits[string(data)] = c
	f.mu.Unlock()
	return f.Apply(index, data)
}

// commit returns when a command was committed, as the server knows it.
func (f *listFSM) commit(command string) Commit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.commits[command]
}

func (f *listFSM) Apply(_ uint64, data []byte) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, string(data))
	return len(f.commands)
}

func (f *listFSM) Snapshot() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return json.Marshal(f.commands)
}

func (f *listFSM) Restore(snapshot []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = nil
	return json.Unmarshal(snapshot, &f.commands)
}

func (f *listFSM) list() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.commands...)
}

// server is one node with its listener. Its data folder is kept when it stops.
type server struct {
	cfg   Config
	addr  string // listen address; cfg.Addr may be that of a relay
	node  *Node
	fsm   *listFSM
	close func()
}

type cluster struct {
	t       testing.TB
	servers map[string]*server
	peers   []Member
}

// reserveAddr returns a free loopback address. Its IP is random, so that it is still free
// when a server listens there: outgoing connections and other test processes use ports of
// 127.0.0.1.
func reserveAddr(t testing.TB) string {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	lis, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	defer lis.Close()
	return lis.Addr().String()
}

func newCluster(t testing.TB, size int, adjust func(*Config)) *cluster {
	c := &cluster{t: t, servers: map[string]*server{}}
	for i := range size {
		c.peers = append(c.peers, Member{Name: fmt.Sprintf("c%d", i), Addr: reserveAddr(t)})
	}
	for _, p := range c.peers {
		c.add(p, adjust)
	}
	return c
}

// add starts a server with an empty data folder.
func (c *cluster) add(m Member, adjust func(*Config)) *server {
	return c.addAt(m, m.Addr, adjust)
}

func (c *cluster) addAt(m Member, addr string, adjust func(*Config)) *server {
	cfg := Config{
		Name: m.Name, Addr: m.Addr, Dir: c.t.TempDir(), Peers: c.peers,
		TickInterval: 5 * time.Millisecond, Logger: zerolog.Nop(),
	}
	if adjust != nil {
		adjust(&cfg)
	}
	s := &server{cfg: cfg, addr: addr}
	c.servers[m.Name] = s
	c.start(s)
	c.t.Cleanup(s.kill)
	return s
}

func (c *cluster) start(s *server) {
	s.fsm = &listFSM{}
	node, err := Start(s.cfg, s.fsm)
	require.NoError(c.t, err)
	s.node = node
	mux := drpcmux.New()
	require.NoError(c.t, node.Register(mux))
	lis, err := net.Listen("tcp", s.addr)
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = drpcserver.New(mux).Serve(ctx, lis)
	}()
	s.close = func() {
		cancel()
		<-served
	}
}

// kill stops a server without a leadership transfer. It may be called repeatedly.
func (s *server) kill() {
	if s.node == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.node.shutDown()
	_ = s.node.Stop(ctx)
	s.close()
	s.node = nil
}

// counter returns the value of one counter of the node.
func (s *server) counter(name string) float64 {
	registry := prometheus.NewRegistry()
	registry.MustRegister(s.node)
	families, err := registry.Gather()
	if err != nil {
		panic(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	panic("no counter " + name)
}

func (c *cluster) leader() *server {
	var leader *server
	require.Eventually(c.t, func() bool {
		for _, s := range c.servers {
			if s.node != nil && s.node.Status().Role == RoleLeader {
				leader = s
				return true
			}
		}
		return false
	}, waitLimit, 5*time.Millisecond)
	return leader
}

// follower returns a server that is not the leader.
func (c *cluster) follower() *server {
	leader := c.leader()
	var follower *server
	for _, s := range c.servers {
		if s != leader {
			follower = s
		}
	}
	return follower
}

// propose repeats a proposal until a leader has accepted it.
func (c *cluster) propose(command string) {
	require.Eventually(c.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := c.leader().node.Propose(ctx, []byte(command))
		return err == nil
	}, waitLimit, 5*time.Millisecond)
}

// change repeats a membership change at the leader until it succeeds or done reports that
// it is in effect: a leader that is replaced meanwhile returns ErrResultUnknown.
func (c *cluster) change(call func(ctx context.Context, n *Node) error, done func(members []Member) bool) {
	require.Eventually(c.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		err := call(ctx, c.leader().node)
		return err == nil || done(c.leader().node.Status().Members)
	}, waitLimit, 5*time.Millisecond)
}

// requireList waits until every running server has applied the same commands,
// including all of want.
func (c *cluster) requireList(want ...string) {
	require.EventuallyWithT(c.t, func(t *assertT) {
		for _, s := range c.servers {
			if s.node != nil {
				require.Subset(t, s.fsm.list(), want, s.cfg.Name)
				require.Equal(t, c.leader().fsm.list(), s.fsm.list(), s.cfg.Name)
			}
		}
	}, waitLimit, 5*time.Millisecond)
}

func (c *cluster) requireVoters(names ...string) {
	require.EventuallyWithT(c.t, func(t *assertT) {
		var voters []string
		for _, m := range c.leader().node.Status().Members {
			if !m.Learner {
				voters = append(voters, m.Name)
			}
		}
		require.Equal(t, names, voters)
	}, waitLimit, 5*time.Millisecond)
}
