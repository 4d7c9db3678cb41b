package fleetcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

var crashing = quarantine.DigestOf("org", "POST", "h", "/x", nil)

func ends(servers ...string) []quarantine.News {
	var out []quarantine.News
	for i, server := range servers {
		out = append(out, quarantine.News{Digest: crashing, Server: server, At: clock.Now().Add(time.Duration(i-10) * time.Second)})
	}
	return out
}

func TestNewsOfEndsReachesEntriesAndControlServersOnce(t *testing.T) {
	h := testHub()
	entry := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	peer := h.join(&rpc.FollowerMessage{Name: "c", Role: RoleControl})
	agent := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleAgent})
	for _, f := range []*follower{entry, peer, agent} {
		h.next(f)
	}
	h.suspected(ends("s-1"))
	h.suspected(ends("s-1")) // from another entry, or back from a peer
	for _, f := range []*follower{entry, peer} {
		u := h.next(f)
		require.NotNil(t, u)
		assert.Len(t, u.Suspicions, 1)
		assert.Nil(t, h.next(f))
	}
	assert.Nil(t, h.next(agent), "agents send no requests")
	late := h.join(&rpc.FollowerMessage{Name: "late", Role: RoleEntry})
	assert.Len(t, h.next(late).Suspicions, 1, "an entry that has just started is told all")
}

func TestWorkThatIsHeldIsToldAndRecorded(t *testing.T) {
	h := testHub()
	entry := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	h.suspected(ends("s-1", "s-2", "s-3"))
	assert.Empty(t, h.unrecorded(), "not judged yet")
	h.settle()
	u := h.next(entry)
	assert.Len(t, u.Suspicions, 4, "three ends and the verdict")
	held := h.unrecorded()
	require.Len(t, held, 1)
	commit(t, h, 1, held)
	h.next(entry)
	assert.Empty(t, h.unrecorded(), "the log knows it")
}

func commit(t *testing.T, h *hub, index uint64, held [][]byte) {
	t.Helper()
	data, err := proto.Marshal(&rpc.FleetCommand{Held: held})
	require.NoError(t, err)
	h.ledger.Apply(index, data)
}

// TestHeldWorkComesWithTheFirstConfiguration: after a loss of power entries must not send it
// before they are told.
func TestHeldWorkComesWithTheFirstConfiguration(t *testing.T) {
	h := testHub()
	entry := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	h.next(entry)
	commit(t, h, 1, [][]byte{crashing[:]})
	putConfig(t, h, 2)
	u := h.next(entry)
	assert.EqualValues(t, 2, u.ConfigVersion)
	require.Len(t, u.Suspicions, 1)
	assert.Empty(t, u.Suspicions[0].Server)
}

func TestOneEntryAtATimeHasTheTurn(t *testing.T) {
	h := testHub()
	a := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleEntry})
	b := h.join(&rpc.FollowerMessage{Name: "b", Role: RoleEntry})
	given := func(f *follower) bool {
		require.True(t, h.turnMessage(f, &rpc.FollowerMessage{TurnWanted: crashing[:]}))
		u := h.next(f)
		require.NotNil(t, u)
		require.Len(t, u.Turns, 1)
		return u.Turns[0].Given
	}
	assert.True(t, given(a))
	assert.False(t, given(b))
	assert.True(t, h.turnMessage(b, &rpc.FollowerMessage{TurnEnded: crashing[:]}), "not its own")
	assert.False(t, given(b))
	h.turnMessage(a, &rpc.FollowerMessage{TurnEnded: crashing[:]})
	assert.True(t, given(b))
	h.leave(b)
	assert.True(t, given(a), "one that is gone has none")
	assert.True(t, h.turns.ask(clock.Now().Add(turnLimit), crashing, b), "one that does not give it back loses it")
}
