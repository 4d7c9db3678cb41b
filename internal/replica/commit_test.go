package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/consensus"
)

// Guards against a server that takes the time at which it learns of a commit for that of the leader.
func TestFollowersKnowWhichServerMayHaveCommittedBefore(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.propose("one")
	c.requireList("one")
	var decider *server
	for _, s := range c.servers {
		if len(s.fsm.commit("one").Deciders) == 0 {
			assert.Nil(t, decider, "two servers that have committed it")
			decider = s
		}
	}
	if decider == nil {
		return // the leader changed meanwhile
	}
	for _, s := range c.servers {
		if s != decider {
			commit := s.fsm.commit("one")
			assert.Contains(t, commit.Deciders, decider.cfg.Addr)
			assert.False(t, commit.At.Before(decider.fsm.commit("one").At))
		}
	}
}

// Guards against a leader that takes the election for the time of what the one before it had committed.
func TestEntriesOfEarlierTermsMayHaveBeenCommittedByAnyLeaderSince(t *testing.T) {
	id := func(name string) consensus.ServerID { return consensus.ServerID{Name: name, Incarnation: 1} }
	self, a, b, removed := id("self"), id("a"), id("b"), id("removed")
	n := &Node{
		leaders:   map[uint64]consensus.ServerID{3: a, 4: self, 5: b, 7: self, 8: removed, 10: a},
		transport: newTransport([]Member{{Name: "self", Addr: "self:1"}, {Name: "a", Addr: "a:1"}, {Name: "b", Addr: "b:1"}, {Name: "removed", Addr: "removed:1"}}, time.Second, newMetrics()),
	}
	members := consensus.Membership{{ID: self}, {ID: a}, {ID: b}}
	for _, c := range []struct {
		entry, current uint64
		want           []string
	}{
		{7, 7, nil},
		{4, 4, nil},
		{3, 3, []string{"a:1"}},
		{3, 4, []string{"a:1"}},
		{4, 5, []string{"b:1"}},
		{3, 5, []string{"a:1", "b:1"}},
		{5, 7, []string{"a:1", "b:1"}},
		{2, 3, []string{"a:1", "b:1"}},
		{5, 6, []string{"a:1", "b:1"}},
		{8, 11, []string{"a:1", "b:1", "removed:1"}},
		{8, 10, []string{"a:1", "b:1", "removed:1"}},
	} {
		assert.Equal(t, c.want, n.deciders(c.entry, consensus.State{ID: self, Term: c.current, Members: members}), "entry of term %d in term %d", c.entry, c.current)
	}
}
