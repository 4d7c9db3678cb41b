package replica

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay passes connections on to a server. After cut, those it has swallow
// everything without an error, as after a silent cut of the network, and so do
// new ones until heal.
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
		born, down := r.cuts, r.down
		r.mu.Unlock()
		go r.pass(in, born, down)
	}
}

// pass copies until the connection is cut, and then goes on to swallow.
func (r *relay) pass(in net.Conn, born int, down bool) {
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
		cut := down || r.cuts > born
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

// A leader that is cut off silently gives up, another one takes over, and the
// old one catches up over new connections once the cut ends.
func TestSilentCutOfTheLeader(t *testing.T) {
	c, relays := relayed(t, nil)
	c.propose("one")
	old := c.leader()
	relays[old.cfg.Name].cut()
	require.Eventually(t, func() bool {
		return old.node.Status().Role != RoleLeader && c.leader() != old
	}, waitLimit, tick)
	c.propose("two")
	relays[old.cfg.Name].heal()
	c.requireList("one", "two")
}

// relayed starts three servers whose messages all pass relays, by name of the server they
// lead to.
func relayed(t *testing.T, adjust func(*Config)) (*cluster, map[string]*relay) {
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

// silence makes all connections to a server silent for good, while new ones work.
func (r *relay) silence() {
	r.cut()
	r.heal()
}

// Connections to one server go silent for good, without a reset, and those from it
// go on: it is heard, so nothing but its own renewed connections tells the others.
func TestConnectionsToAServerGoSilentForGood(t *testing.T) {
	for _, deaf := range []string{"leader", "follower"} {
		c, relays := relayed(t, nil)
		c.propose("one")
		c.requireList("one")
		leader := c.leader()
		for name := range c.servers {
			if (name == leader.cfg.Name) == (deaf == "leader") {
				relays[name].silence()
				break
			}
		}
		c.propose("two")
		c.requireList("one", "two")
	}
}

// The same with a majority that needs each of its connections.
func TestSilentConnectionsOfTheLastMajority(t *testing.T) {
	c, relays := relayed(t, nil)
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
			relays[name].silence()
		}
	}
	c.propose("two")
	c.requireList("one", "two")
}
