package fleetcontrol

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/rpc"
)

func TestSignalsReachEntriesAndControlServersOnce(t *testing.T) {
	h := testHub()
	entry := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	peer := h.join(&rpc.FollowerMessage{Name: "c", Role: RoleControl})
	agent := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleAgent})
	for _, f := range []*follower{entry, peer, agent} {
		h.next(f)
	}
	signal := backpressure.Update{Incarnation: "s-1", Limited: true, Rate: 2.3, At: clock.Now()}
	h.mergeSignals([]backpressure.Update{signal})
	signal.At = clock.Now()
	h.mergeSignals([]backpressure.Update{signal}) // from another entry, or from a control server
	for _, f := range []*follower{entry, peer} {
		u := h.next(f)
		require.NotNil(t, u)
		require.Len(t, u.Signals, 1)
		assert.Equal(t, 2.3, u.Signals[0].Rate)
		assert.Nil(t, h.next(f))
	}
	assert.Nil(t, h.next(agent), "agents dispatch no requests")
	late := h.join(&rpc.FollowerMessage{Name: "late", Role: RoleEntry})
	assert.Len(t, h.next(late).Signals, 1, "an entry that has just started receives all signals")
}
