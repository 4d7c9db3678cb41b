package control

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"lynxgate.dev/lynxgate/internal/replica"
)

// fakeCluster is a replicated log of several servers in memory: a proposal at
// the leader is applied by every server that isn't partitioned.
type fakeCluster struct {
	mu      sync.Mutex
	entries [][]byte
	nodes   []*fakeLog
	leader  int
	term    uint64
}

// fakeLog is the log of one server of a fakeCluster.
type fakeLog struct {
	cluster     *fakeCluster
	member      replica.Member
	fsm         replica.FSM
	applied     int
	partitioned bool
}

func newFakeCluster() *fakeCluster { return &fakeCluster{term: 1} }

// open returns an OpenLog that adds a server to the cluster.
func (c *fakeCluster) open(name, addr string) OpenLog {
	return func(fsm replica.FSM) (Log, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		l := &fakeLog{cluster: c, fsm: fsm, member: replica.Member{Name: name, Addr: addr}}
		c.nodes = append(c.nodes, l)
		return l, nil
	}
}

func (c *fakeCluster) elect(leader int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
	c.term++
}

func (c *fakeCluster) setPartitioned(node int, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[node].partitioned = partitioned
	c.nodes[node].catchUp()
}

func (c *fakeCluster) leaderLog() *fakeLog { return c.nodes[c.leader] }

// catchUp applies the missing entries and returns the result of the last one.
func (l *fakeLog) catchUp() any {
	var result any
	for !l.partitioned && l.applied < len(l.cluster.entries) {
		result = l.fsm.Apply(uint64(l.applied+1), l.cluster.entries[l.applied])
		l.applied++
	}
	return result
}

func (l *fakeLog) Register(drpc.Mux) error { return nil }

func (l *fakeLog) Propose(_ context.Context, data []byte) (any, error) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	if l.partitioned {
		return nil, replica.ErrNoQuorum
	}
	if l.cluster.leaderLog() != l {
		return nil, &replica.NotLeaderError{Leader: l.cluster.leaderLog().member.Addr}
	}
	l.cluster.entries = append(l.cluster.entries, data)
	for _, n := range l.cluster.nodes {
		if n != l {
			n.catchUp()
		}
	}
	return l.catchUp(), nil
}

func (l *fakeLog) ReadIndex(context.Context) (uint64, error) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	if l.partitioned || l.cluster.leaderLog().partitioned {
		return 0, replica.ErrNoQuorum
	}
	return uint64(len(l.cluster.entries)), nil
}

func (l *fakeLog) WaitApplied(ctx context.Context, index uint64) error {
	for {
		l.cluster.mu.Lock()
		applied := uint64(l.applied)
		l.cluster.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

func (l *fakeLog) Status() replica.Status {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	st := replica.Status{
		Name:       l.member.Name,
		Role:       replica.RoleFollower,
		Term:       l.cluster.term,
		LeaderName: l.cluster.leaderLog().member.Name,
		LeaderAddr: l.cluster.leaderLog().member.Addr,
		Commit:     uint64(len(l.cluster.entries)),
		Applied:    uint64(l.applied),
	}
	for _, n := range l.cluster.nodes {
		st.Members = append(st.Members, n.member)
	}
	if l.cluster.leaderLog() == l {
		st.Role = replica.RoleLeader
	}
	return st
}

func (l *fakeLog) AddLearner(context.Context, replica.Member) error { return nil }
func (l *fakeLog) Promote(context.Context, replica.Member) error    { return nil }
func (l *fakeLog) Remove(context.Context, replica.Member) error     { return nil }
func (l *fakeLog) Stop(context.Context) error                       { return nil }

func (l *fakeLog) Done() <-chan struct{} { return nil }
func (l *fakeLog) Err() error            { return nil }
