package replica

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay forwards connections to a server. cut simulates a network partition: open
// connections, and new ones until heal, discard all data without an error.
type relay struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	down  bool
	cuts  int
	conns []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{lis: lis, target: target}
	go r.serve()
	t.Cleanup(func() {
		lis.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, conn := range r.conns {
			conn.Close()
		}
	})
	return r
}

func (r *relay) serve() {
	for {
		in, err := r.lis.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns = append(r.conns, in)
		cutsAtAccept, down := r.cuts, r.down
		r.mu.Unlock()
		go r.forward(in, cutsAtAccept, down)
	}
}

// forward copies data to the server until the connection is cut, and discards it
// from then on.
func (r *relay) forward(in net.Conn, cutsAtAccept int, down bool) {
	defer in.Close()
	var out net.Conn
	if !down {
		var err error
		if out, err = net.Dial("tcp", r.target); err != nil {
			return
		}
		defer out.Close()
		go func() { _, _ = io.Copy(in, out) }()
	}
	buf := make([]byte, 4096)
	for {
		n, err := in.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		cut := down || r.cuts > cutsAtAccept
		r.mu.Unlock()
		if cut {
			continue
		}
		if _, err := out.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	r.cuts++
}

func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = false
}

// A leader in a partition without connection resets must step down, another server must
// be elected, and the old leader must catch up over new connections afterwards.
func TestSilentPartitionOfLeader(t *testing.T) {
	c, relays := newRelayedCluster(t, nil)
	c.propose("one")
	old := c.leader()
	relays[old.cfg.Name].cut()
	require.Eventually(t, func() bool {
		return old.node.Status().Role != RoleLeader && c.leader() != old
	}, waitLimit, pollInterval)
	c.propose("two")
	relays[old.cfg.Name].heal()
	c.requireList("one", "two")
}

// newRelayedCluster starts three servers, each reachable only through a relay, and returns
// the relays by server name.
func newRelayedCluster(t *testing.T, adjust func(*Config)) (*cluster, map[string]*relay) {
	c := &cluster{t: t, servers: map[string]*server{}}
	relays := map[string]*relay{}
	listen := map[string]string{}
	for _, name := range []string{"c0", "c1", "c2"} {
		listen[name] = reserveAddr(t)
		relays[name] = newRelay(t, listen[name])
		c.peers = append(c.peers, Member{Name: name, Addr: relays[name].lis.Addr().String()})
	}
	for _, p := range c.peers {
		c.addAt(p, listen[p.Name], adjust)
	}
	return c, relays
}

// silenceOpenConns makes all open connections to a server discard their data permanently. New
// connections work.
func (r *relay) silenceOpenConns() {
	r.cut()
	r.heal()
}

// All connections to one server discard their data without a reset, while those from it
// work. Since the others receive its messages, only missing receipts reveal the failure.
func TestSilentConnectionsToServerAreReplaced(t *testing.T) {
	for _, target := range []string{"leader", "follower"} {
		c, relays := newRelayedCluster(t, nil)
		c.propose("one")
		c.requireList("one")
		leader := c.leader()
		for name := range c.servers {
			if (name == leader.cfg.Name) == (target == "leader") {
				relays[name].silenceOpenConns()
				break
			}
		}
		c.propose("two")
		c.requireList("one", "two")
	}
}

// The same failure when only a minimal majority runs, which needs every connection.
func TestSilentConnectionsInMinimalMajorityAreReplaced(t *testing.T) {
	c, relays := newRelayedCluster(t, nil)
	c.propose("one")
	c.requireList("one")
	leader := c.leader()
	for name, s := range c.servers {
		if s != leader {
			s.kill()
			delete(c.servers, name)
			break
		}
	}
	for name := range c.servers {
		if name != leader.cfg.Name {
			relays[name].silenceOpenConns()
		}
	}
	c.propose("two")
	c.requireList("one", "two")
}
